// Upstreams that temporarily get no new work, because they refused this VM or because a VM announced a reason.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Why an upstream is excluded.
enum class ExclusionReason
{
    ChangingRole, // an order to change its role makes it unavailable for some seconds
    Draining, // its store entry says so, or was removed
    Outdated, // its address is unreachable, or the engine there is another one or no longer matches the store entry
    Silent, // it leaves calls unanswered, see UpstreamSilence
};

/// An exclusion as VMs announce it to one another.
struct ExclusionNotice
{
    std::string upstream;
    ExclusionReason reason = ExclusionReason::Draining;
    EngineRole role = EngineRole::None; // the new role, for ChangingRole
    Duration remaining = Duration::zero(); // upper bound of the time until the exclusion ends

    auto operator==(const ExclusionNotice &) const -> bool = default;
};

/// Holds refusals, which only this VM uses, and notices, which are propagated to other VMs.
class ExclusionList
{
public:
    /// Bounds of the back-off after an upstream refused as full; the back-off is the expected time until one of its streams ends.
    static constexpr Duration ShortestFullBackoff = milliseconds(60);
    static constexpr Duration LongestFullBackoff = milliseconds(600);
    /// Bounds of the back-off after a refusal despite free capacity: the upstream is draining, changing its role or broken. The
    /// back-off doubles with each refusal.
    static constexpr Duration FirstBackoff = milliseconds(120);
    static constexpr Duration LongestBackoff = seconds(3);
    /// Lifetime of a draining notice. VMs that reach the store read the state there.
    static constexpr Duration DrainingLifetime = seconds(6);
    /// Lifetime of an outdated notice. The store drops or replaces the entry within a few heartbeats.
    static constexpr Duration OutdatedLifetime = seconds(5);
    /// Limit on the notices in one message.
    static constexpr std::size_t MaxNotices = 40;
    /// A notice expires this long after it was first received, even if other VMs keep repeating it.
    static constexpr Duration MaxNoticeLifetime = seconds(40);
    /// After `reset` removed a notice, further notices for the upstream are ignored for this time: they come from VMs that have
    /// not yet observed that it is usable.
    static constexpr Duration StaleNoticeWindow = seconds(5);

    /// Records that the upstream refused or failed a request of this VM without a known reason.
    auto onRefused(std::string_view upstream, TimePoint now) -> void;

    /// Records that the upstream refused as full with `requests` known to be in flight, each of which takes `requestDuration`. It
    /// counts as full until fewer are known to be in flight or the back-off ends. The known number is the threshold because the
    /// upstream may run requests that this VM has no report of.
    auto onFull(std::string_view upstream, int requests, Duration requestDuration, TimePoint now) -> void;

    /// Records that the upstream accepted a request, which ends its back-off.
    auto onAccepted(std::string_view upstream) -> void;

    /// Records that the upstream has sent something, so that it is not silent.
    auto onHeard(std::string_view upstream) -> void;

    /// Adds an exclusion that this VM observed itself. One for silence is left out while there is another reason.
    auto add(const ExclusionNotice &notice, TimePoint now) -> void;

    /// Records that the store entry was rewritten, or that the upstream answered under it. Resets an upstream that is excluded as
    /// `Outdated`.
    auto onCurrent(std::string_view upstream, TimePoint now) -> void;

    /// Drops all refusals and exclusions of an upstream that joined or restarted.
    auto reset(std::string_view upstream, TimePoint now) -> void;

    /// Merges a notice of another VM. It adds an exclusion, extends an equal one, or replaces one with another reason that ends earlier.
    auto merge(const ExclusionNotice &notice, TimePoint now) -> void;

    /// Returns whether the upstream should get no work. `registeredRole` is the role in its store entry: a role change is over once
    /// the entry has the new role. Draining notices count only if the store is unreachable, as its entries are more recent.
    auto contains(std::string_view upstream, EngineRole registeredRole, bool storeUnreachable, TimePoint now) const -> bool;

    /// Returns whether a VM has announced that the upstream drains.
    auto isAnnouncedDraining(std::string_view upstream, TimePoint now) const -> bool;

    /// Returns whether the upstream refused as full and still has at least as many requests in flight.
    auto isFull(std::string_view upstream, int requests, TimePoint now) const -> bool;

    /// Returns whether this VM itself has observed that the entry is outdated.
    auto hasObservedOutdated(std::string_view upstream, TimePoint now) const -> bool;

    /// Returns the notices that this VM announces on its own behalf. `Outdated` and `Silent` ones of other VMs are left out: each VM that
    /// has not verified such a notice would otherwise confirm it to the others.
    auto ownNotices(TimePoint now) const -> std::vector<ExclusionNotice>;

    /// Returns all notices, for VMs that the other VMs do not reach.
    auto notices(TimePoint now) const -> std::vector<ExclusionNotice>;

private:
    struct Refusal
    {
        int count = 0;
        TimePoint until;
    };

    struct Exclusion
    {
        ExclusionReason reason = ExclusionReason::Draining;
        EngineRole role = EngineRole::None;
        TimePoint firstAt;
        TimePoint until;
        bool isObserved = false; // by this VM
    };

    struct FullRefusal
    {
        int requests = 0; // known to be in flight when the upstream refused
        TimePoint until;
    };

    auto select(bool withReceived, TimePoint now) const -> std::vector<ExclusionNotice>;
    auto insert(const ExclusionNotice &notice, bool isObserved, TimePoint now) -> void;

    std::map<std::string, Refusal, std::less<>> m_refusals;
    std::map<std::string, FullRefusal, std::less<>> m_full;
    std::map<std::string, Exclusion, std::less<>> m_exclusions;
    std::map<std::string, TimePoint, std::less<>> m_resetAt;
};

} // namespace currantstack
