// Upstreams that are left alone for a while: refusals that this VM met, and what other VMs tell.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Why an upstream takes no work.
enum class AvoidReason
{
    ChangesRole, // an order has it away for some seconds
    Leaving, // its entry says so, or is gone
    Outdated, // at its address is nothing, or an engine that is not, or no longer does, what the entry says
};

/// What one VM tells the others of an upstream.
struct AvoidNotice
{
    std::string upstream;
    AvoidReason reason = AvoidReason::Leaving;
    EngineRole role = EngineRole::None; // of a role change: the new one
    Duration left = Duration::zero(); // how much longer it holds at the most

    auto operator==(const AvoidNotice &) const -> bool = default;
};

/// Keeps both kinds apart: refusals are this VM's own affair, notices are spread.
class AvoidList
{
public:
    /// An engine that had no room is not asked again until one of its streams should have ended, at least and at most so long.
    static constexpr Duration ShortestFullPause = milliseconds(60);
    static constexpr Duration LongestFullPause = milliseconds(600);
    /// One that refuses though it should have room is leaving, changing or broken: the pause doubles up to the longest.
    static constexpr Duration FirstPause = milliseconds(120);
    static constexpr Duration LongestPause = seconds(3);
    /// How long a notice of a leaving upstream is spread; VMs that reach the store know by themselves.
    static constexpr Duration LeavingLife = seconds(6);
    /// The store drops or replaces the entry within some heartbeats.
    static constexpr Duration OutdatedLife = seconds(5);
    static constexpr std::size_t MaxNotices = 40; // in one message
    /// A notice ends so long after it was first heard, however often it is told again.
    static constexpr Duration LongestNotice = seconds(40);
    /// After an upstream proved usable, what others still tell of it counts for nothing for so long: they hear of it later.
    static constexpr Duration ForgetMemory = seconds(5);

    /// Notes that the upstream refused this VM, or failed it, without a known reason.
    auto onRefused(std::string_view upstream, TimePoint now) -> void;

    /// Notes that the upstream refused as full while it was known to have `requests` under way, of `requestLength` each. It is
    /// asked again once it is known to have fewer: work that this VM has not heard of is not forgotten by a pause.
    auto onFull(std::string_view upstream, int requests, Duration requestLength, TimePoint now) -> void;

    auto onAccepted(std::string_view upstream) -> void;

    /// Notes what this VM knows for certain, to be spread.
    auto add(const AvoidNotice &notice, TimePoint now) -> void;

    /// Drops that the upstream's entry is outdated: it was written anew.
    auto onUpdated(std::string_view upstream, TimePoint now) -> void;

    /// Drops what is known of an upstream that is new or started again.
    auto forget(std::string_view upstream, TimePoint now) -> void;

    /// Takes in another VM's notice. It lasts no longer than the other said.
    auto hear(const AvoidNotice &notice, TimePoint now) -> void;

    /// Returns whether the upstream should get no work; `shown` is the role that its entry shows. A change of role is over once the
    /// entry shows the new one. Notices of leaving upstreams count only with `storeUnreachable`: a VM that reaches the store knows better.
    auto contains(std::string_view upstream, EngineRole shown, bool storeUnreachable, TimePoint now) const -> bool;

    /// Returns whether the upstream was full and still has as many requests under way.
    auto isFull(std::string_view upstream, int requests, TimePoint now) const -> bool;

    /// Returns the notices to tell.
    auto notices(TimePoint now) const -> std::vector<AvoidNotice>;

private:
    struct Refusal
    {
        int count = 0;
        TimePoint until;
    };

    struct Known
    {
        AvoidReason reason = AvoidReason::Leaving;
        EngineRole role = EngineRole::None;
        TimePoint firstAt;
        TimePoint until;
    };

    struct Full
    {
        int requests = 0; // known when it refused
        TimePoint until;
    };

    std::map<std::string, Refusal, std::less<>> m_refusals;
    std::map<std::string, Full, std::less<>> m_full;
    std::map<std::string, Known, std::less<>> m_known;
    std::map<std::string, TimePoint, std::less<>> m_forgottenAt;
};

} // namespace currantstack
