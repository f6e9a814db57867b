// Gossip between VMs: announcements of heartbeats, and of the sections that other controllers add.
#pragma once

#include "currantstack/context.h"

#include <functional>
#include <vector>

namespace currantstack
{

/// Sends and receives announcements and keeps the membership up to date.
class Announcer
{
public:
    using Produce = std::function<Json()>;
    using Consume = std::function<void(const std::string &vm, const Json &section)>;
    using OnChange = std::function<void()>;
    using OnReincarnated = std::function<void()>;

    static constexpr int Fanout = 2; // live peers that are sent an announcement in each period
    static constexpr std::int64_t FullAnnouncementInterval = 16; // one announcement in this many has full entries of all its VMs
    static constexpr std::size_t MaxEntries = 24; // VMs in one announcement
    static constexpr Duration DeadRetention = seconds(600); // after which a dead VM is removed from the membership

    explicit Announcer(Context &context);

    /// Adds a section to each announcement: `produce` returns its content, `consume` receives that of other VMs.
    auto addSection(std::string key, Produce produce, Consume consume) -> void;

    /// Adds a hook that runs when a VM joins, drains or changes its state.
    auto onChange(OnChange hook) -> void;

    /// Adds a hook that runs when this VM takes a new incarnation, because peers declared it dead or its process was paused: other
    /// VMs may have taken over what it owned.
    auto onReincarnated(OnReincarnated hook) -> void;

    auto start() -> void;

    /// Announces to all live peers immediately. Used when this VM starts draining.
    auto announceToAll() -> void;

    /// Announces to a few random peers immediately. Used to propagate a change before the next period.
    auto announceToRandom() -> void;

private:
    struct Section
    {
        std::string key;
        Produce produce;
        Consume consume;
    };

    auto tick() -> void;
    auto compose() -> Json;
    auto applyAnnouncement(const std::string &sender, const Json &body) -> void;
    auto announceTo(const std::string &address) -> void;
    auto nameOf(std::string_view address) const -> std::string;
    auto chooseTargets() -> std::vector<std::string>;
    auto reincarnate(std::string_view cause) -> void;
    auto discover() -> void;
    auto updateStates() -> void;

    Context &m_context;
    std::vector<Section> m_sections;
    std::vector<OnChange> m_onChange;
    std::vector<OnReincarnated> m_onReincarnated;
    std::unique_ptr<Timer> m_announceTimer;
    std::unique_ptr<Timer> m_discoveryTimer;
    TimePoint m_lastTick;
    std::int64_t m_announcements = 0;
    std::int64_t m_notifiedVersion = 0; // version of the membership for which the hooks last ran
};

auto toJson(const Vm &vm) -> Json;

/// Returns only the fields that change between announcements, for receivers that already have the VM's full entry.
auto toPartialJson(const Vm &vm) -> Json;

/// Returns the well-formed entries of an announcement and skips the others.
auto vmsFromJson(const Json &list) -> std::vector<Vm>;

} // namespace currantstack
