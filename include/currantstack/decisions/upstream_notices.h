// What upstreams say in their responses about further requests of this VM.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <string>

namespace currantstack
{

/// Holds the upstreams that have announced that they leave, and those that want no requests for some time. A notice holds for one start
/// of the upstream, whatever its store entry says.
class UpstreamNotices
{
public:
    /// Limit on the upstreams held. Beyond it, ended pauses are dropped, then the upstream that was recorded first.
    static constexpr std::size_t MaxUpstreams = 8192;
    /// A longer pause ends after this time.
    static constexpr Duration LongestPause = std::chrono::hours(1);

    /// Records that the upstream leaves. Returns false if that is known, or if it has restarted since.
    auto onLeaving(const Upstream &upstream, TimePoint now) -> bool;

    /// Records that the upstream wants no requests until `duration` from now. Of several pauses, the one that ends last counts. Returns
    /// whether the time in which it gets none has become longer.
    auto onPause(const Upstream &upstream, Duration duration, TimePoint now) -> bool;

    /// Returns whether this start of the upstream has announced that it leaves.
    auto isLeaving(const Upstream &upstream) const -> bool;

    /// Returns the time until the upstream's pause ends; zero if it does not pause.
    auto pauseLeft(const Upstream &upstream, TimePoint now) const -> Duration;

    /// Returns whether the upstream may get a request now.
    auto mayGetRequest(const Upstream &upstream, TimePoint now) const -> bool
    {
        return !isLeaving(upstream) && pauseLeft(upstream, now) == Duration::zero();
    }

    auto size() const -> std::size_t
    {
        return m_notices.size();
    }

private:
    struct Notice
    {
        std::int64_t startedAtMs = 0;
        TimePoint firstAt;
        bool leaving = false;
        TimePoint pausedUntil = {};
    };

    auto noticeOf(const Upstream &upstream, TimePoint now) -> Notice *;
    auto find(const Upstream &upstream) const -> const Notice *;
    auto makeRoom(TimePoint now) -> void;

    std::map<std::string, Notice, std::less<>> m_notices; // by id
};

} // namespace currantstack
