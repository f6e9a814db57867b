// Announcements to random peers: heartbeats, and sections that other controllers add.
#pragma once

#include "currantstack/context.h"

#include <functional>
#include <vector>

namespace currantstack
{

/// Sends and takes announcements and keeps the membership up to date.
class Announcer
{
public:
    using Produce = std::function<Json()>;
    using Consume = std::function<void(const std::string &vm, const Json &section)>;
    using OnChange = std::function<void()>;
    using OnReplaced = std::function<void()>;

    static constexpr int Fanout = 2; // peers told at each period
    static constexpr std::int64_t WholeEvery = 16; // announcements, of which one says all of every VM
    static constexpr std::size_t MaxEntries = 24; // of VMs in one announcement
    static constexpr Duration ForgetAfter = seconds(600);

    explicit Announcer(Context &context);

    /// Adds a section to each announcement.
    auto section(std::string key, Produce produce, Consume consume) -> void;

    /// Sets what runs when a VM comes, leaves or changes its state, and when this VM learns that others called it dead or that it was
    /// paused.
    auto onChange(OnChange hook) -> void;
    auto onReplaced(OnReplaced hook) -> void;

    auto start() -> void;

    /// Tells all live peers at once, before leaving.
    auto announceToAll() -> void;

    /// Tells a few random peers at once, when there is news.
    auto announceToSome() -> void;

private:
    struct Section
    {
        std::string key;
        Produce produce;
        Consume consume;
    };

    auto tick() -> void;
    auto compose() -> Json;
    auto take(const std::string &sender, const Json &body) -> void;
    auto tell(const std::string &address) -> void;
    auto nameOf(std::string_view address) const -> std::string;
    auto targets() -> std::vector<std::string>;
    auto replaced(std::string_view cause) -> void;
    auto discover() -> void;
    auto updateStates() -> void;

    Context &m_context;
    std::vector<Section> m_sections;
    std::vector<OnChange> m_onChange;
    std::vector<OnReplaced> m_onReplaced;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_discovery;
    TimePoint m_lastTick;
    std::int64_t m_announcements = 0;
    std::int64_t m_seenVersion = 0; // of the membership, for which the hooks have run
};

auto toJson(const Vm &vm) -> Json;

/// Returns what changes from one announcement to the next; the rest is known by those who have met the VM.
auto toShortJson(const Vm &vm) -> Json;
auto vmsFromJson(const Json &list) -> std::vector<Vm>;

} // namespace currantstack
