// Tells a VM that has lost its links to a service's upstreams from upstreams that have ended.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace currantstack
{

/// Collects the outcomes of this VM's new connections to upstreams. Open connections prove nothing, because they may outlive a cut.
class UpstreamReach
{
public:
    /// A VM is cut off from a group of upstreams when its last connections to this many of them failed, or to all of a smaller group.
    static constexpr std::size_t FailuresUntilCutOff = 3;
    /// A VM is not cut off any more when this many upstreams have answered since, or all that have not failed after the first.
    static constexpr std::size_t AnswersUntilReached = 2;
    /// During a cut from other upstreams, one failure is a cut if no connection that was opened within this time was answered.
    static constexpr Duration RecentAnswer = seconds(1);
    /// A late answer on an accepted connection counts as a failure if the upstream has answered nothing for this time, which is longer
    /// than a sound upstream is silent.
    static constexpr Duration SilenceUntilFailed = milliseconds(2200);
    /// Time for which an outcome counts.
    static constexpr Duration OutcomeLifetime = seconds(8);
    static constexpr std::size_t MaxAnsweredCalls = 8; // that are remembered for each upstream

    /// The usable upstreams of one service that have the same role.
    struct GroupKey
    {
        std::string service;
        EngineRole role = EngineRole::None;

        auto operator==(const GroupKey &other) const -> bool = default;

        auto operator<(const GroupKey &other) const -> bool
        {
            return std::tie(service, role) < std::tie(other.service, other.role);
        }
    };

    /// The beginning or the end of a cut.
    struct Change
    {
        bool isCutOff = false;
        std::size_t upstreams = 0; // whose outcomes decided it
        Duration oldest = Duration::zero(); // age of the oldest of these outcomes
    };

    /// Records that the upstream answered on a connection that was opened at `openedAt`. Returns the upstreams of the service whose
    /// refused connections prove their end now that this VM's links are known to work.
    auto onReached(const Upstream &upstream, TimePoint openedAt) -> std::vector<Upstream>;

    /// Records that a connection opened at `openedAt` failed: it was not established, or was closed before any answer.
    auto onFailed(const Upstream &upstream, TimePoint openedAt) -> void;

    /// Records that the upstream accepted a connection that was opened at `openedAt` and has not answered in time. This is a failure only
    /// once it has been silent for `SilenceUntilFailed`.
    auto onLate(const Upstream &upstream, TimePoint openedAt, TimePoint now) -> void;

    /// Records that the upstream's host refused a connection. This proves nothing until another upstream answers on a later connection.
    auto onRefused(const Upstream &upstream, TimePoint openedAt) -> void;

    /// Updates whether this VM is cut off from the group: the usable upstreams of one service that have the same role.
    auto update(std::span<const Upstream *const> group, TimePoint now) -> std::optional<Change>;

    auto isCutOff(std::string_view service, EngineRole role) const -> bool;

    /// Returns whether this VM is cut off from the upstreams that answer the service's callers: decode engines or plain upstreams.
    auto isCutOff(std::string_view service) const -> bool;

    /// Returns whether the last connection to the upstream failed.
    auto isUnreached(std::string_view upstream, TimePoint now) const -> bool;

    /// Returns whether the upstream has answered on a connection that was opened at or after this time.
    auto hasReached(std::string_view upstream, TimePoint since) const -> bool;

    /// Records that the upstream itself was at work at `at`: it has answered a request that was sent then, or sent more of an answer. Other
    /// responses may be those of a front process or a relay.
    auto onServed(const Upstream &upstream, TimePoint at) -> void;

    /// Returns whether the upstream itself was at work at or after this time.
    auto hasServed(std::string_view upstream, TimePoint since) const -> bool;

    /// Records that the upstream began at `begunAt` to answer a request that was sent at `sentAt`.
    auto onAnswered(const Upstream &upstream, TimePoint sentAt, TimePoint begunAt) -> void;

    /// Returns whether the answer to a request that was in flight at this time began `margin` after it or later: sooner bytes may have been
    /// sent before. A former process has ended its connections by then, and a later one does not get the request.
    auto hasOutlived(std::string_view upstream, TimePoint time, Duration margin) const -> bool;

    /// Records that a different process has answered at the upstream's address.
    auto onOtherAnswered(const Upstream &upstream, TimePoint now) -> void;

    /// Returns whether a different process has answered at the upstream's address at or after this time.
    auto hasOtherAnswered(std::string_view upstream, TimePoint since) const -> bool;

    /// Returns the upstream of a group that is silent to probe: one that accepts connections and has not answered since, and was probed
    /// longest ago. A group counts as silent from when as many upstreams are late as would have to fail for a cut, until none is late.
    auto nextLate(std::span<const Upstream *const> group, TimePoint now) -> const Upstream *;

    /// Returns the upstream of a group to probe: the one that was tried longest ago, and has not answered since the cut.
    auto nextProbe(std::span<const Upstream *const> group) const -> const Upstream *;

    /// Records that a probe of the upstream begins.
    auto onProbe(const Upstream &upstream, TimePoint now) -> void;

    /// Returns the services for which `isCutOff` holds.
    auto cutOffServices() const -> std::vector<std::string>;

    /// Returns the services with refused connections that an answer of another upstream would prove to be the end of an upstream.
    auto unprovedServices() const -> std::vector<std::string>;

    /// Returns an upstream that refused connections while this VM was cut off from its group, and must be tried again now.
    auto nextDoubtful() const -> const Upstream *;

    /// Drops outcomes that are too old to count, and cuts from groups of which no upstream has been tried for as long: they have none any
    /// more. Returns these groups.
    auto expire(TimePoint now) -> std::vector<GroupKey>;

private:
    struct AnsweredCall
    {
        TimePoint sentAt;
        TimePoint begunAt; // of the answer
    };

    struct Outcome
    {
        TimePoint reachedAt; // opening time of the last connection on which the upstream answered
        TimePoint servedAt; // when the upstream itself was last at work
        TimePoint failedAt; // opening time of the last connection that failed
        TimePoint lateSince; // opening time of the first late connection after `reachedAt`
        TimePoint probedAt;
        TimePoint otherAt; // when a different process last answered at its address
        std::deque<AnsweredCall> answered; // the last ones, up to `MaxAnsweredCalls`
    };

    struct Refusal
    {
        Upstream upstream;
        TimePoint openedAt;
        bool isDoubtful = false; // from a time when this VM was cut off from the group
    };

    struct Group
    {
        bool isCutOff = false;
        bool isSilent = false; // several upstreams are late
        TimePoint reachedAt; // opening time of the last connection on which any upstream answered
        TimePoint triedAt; // last outcome or probe of any upstream
        std::set<std::string, std::less<>> answered; // since the cut
        std::set<std::string, std::less<>> failed; // since the first of these answers
        std::map<std::string, TimePoint, std::less<>> probedAt; // since the cut, by upstream
    };

    auto isLate(std::string_view upstream, TimePoint now) const -> bool;
    static auto mayBeReached(const Group &group, std::span<const Upstream *const> upstreams) -> std::size_t;
    auto triedAt(const Upstream &upstream) const -> TimePoint;

    std::map<std::string, Outcome, std::less<>> m_outcomes; // by upstream
    std::map<std::string, Refusal, std::less<>> m_refusals; // by upstream
    std::map<GroupKey, Group> m_groups;
};

} // namespace currantstack
