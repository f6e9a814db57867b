// What upstreams say in their responses about further requests of this VM.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <string>

namespace currantstack
{

/// Holds the upstreams that have announced that they leave. An announcement holds for one start of the upstream, whatever its store
/// entry says.
class UpstreamNotices
{
public:
    /// Limit on the upstreams held. Beyond it, the one that was recorded first is dropped.
    static constexpr std::size_t MaxUpstreams = 8192;

    /// Records that the upstream leaves. Returns false if that is known, or if it has restarted since.
    auto onLeaving(const Upstream &upstream, TimePoint now) -> bool;

    /// Returns whether this start of the upstream has announced that it leaves.
    auto isLeaving(const Upstream &upstream) const -> bool;

    /// Returns whether the upstream may get a request now.
    auto mayGetRequest(const Upstream &upstream) const -> bool
    {
        return !isLeaving(upstream);
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
    };

    auto noticeOf(const Upstream &upstream, TimePoint now) -> Notice *;
    auto find(const Upstream &upstream) const -> const Notice *;

    std::map<std::string, Notice, std::less<>> m_notices; // by id
};

} // namespace currantstack
