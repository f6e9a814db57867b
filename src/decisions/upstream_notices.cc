#include "currantstack/decisions/upstream_notices.h"

#include <algorithm>
#include <utility>

namespace currantstack
{

auto UpstreamNotices::makeRoom(TimePoint now) -> void
{
    std::erase_if(m_notices, [now](const auto &entry) { return !entry.second.leaving && entry.second.pausedUntil <= now; });
    if (m_notices.size() >= MaxUpstreams) {
        m_notices.erase(std::min_element(m_notices.begin(), m_notices.end(), [](const auto &first, const auto &second) {
            return first.second.firstAt < second.second.firstAt;
        }));
    }
}

/// Returns the notice of this start, or null if the upstream is known to have restarted since.
auto UpstreamNotices::noticeOf(const Upstream &upstream, TimePoint now) -> Notice *
{
    if (m_notices.size() >= MaxUpstreams && !m_notices.contains(upstream.id)) {
        makeRoom(now);
    }
    auto &notice = m_notices.try_emplace(upstream.id, Notice{upstream.startedAtMs, now}).first->second;
    if (notice.startedAtMs > upstream.startedAtMs) {
        return nullptr;
    }
    if (notice.startedAtMs < upstream.startedAtMs) {
        notice = {upstream.startedAtMs, now};
    }
    return &notice;
}

auto UpstreamNotices::find(const Upstream &upstream) const -> const Notice *
{
    const auto found = m_notices.find(upstream.id);
    return found != m_notices.end() && found->second.startedAtMs == upstream.startedAtMs ? &found->second : nullptr;
}

auto UpstreamNotices::onLeaving(const Upstream &upstream, TimePoint now) -> bool
{
    auto *notice = noticeOf(upstream, now);
    return notice != nullptr && !std::exchange(notice->leaving, true);
}

auto UpstreamNotices::onPause(const Upstream &upstream, Duration duration, TimePoint now) -> bool
{
    auto *notice = noticeOf(upstream, now);
    const auto until = now + std::min(duration, LongestPause);
    if (notice == nullptr || until <= std::max(now, notice->pausedUntil)) {
        return false;
    }
    notice->pausedUntil = until;
    return true;
}

auto UpstreamNotices::pauseLeft(const Upstream &upstream, TimePoint now) const -> Duration
{
    const auto *notice = find(upstream);
    return notice == nullptr ? Duration::zero() : std::max<Duration>(Duration::zero(), notice->pausedUntil - now);
}

auto UpstreamNotices::isLeaving(const Upstream &upstream) const -> bool
{
    const auto *notice = find(upstream);
    return notice != nullptr && notice->leaving;
}

} // namespace currantstack
