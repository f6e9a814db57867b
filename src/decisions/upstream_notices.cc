#include "currantstack/decisions/upstream_notices.h"

#include <algorithm>
#include <utility>

namespace currantstack
{

/// Returns the notice of this start, or null if the upstream is known to have restarted since.
auto UpstreamNotices::noticeOf(const Upstream &upstream, TimePoint now) -> Notice *
{
    const auto [found, isNew] = m_notices.try_emplace(upstream.id, Notice{upstream.startedAtMs, now, false});
    if (found->second.startedAtMs > upstream.startedAtMs) {
        return nullptr;
    }
    if (found->second.startedAtMs < upstream.startedAtMs) {
        found->second = {upstream.startedAtMs, now, false};
    }
    if (m_notices.size() > MaxUpstreams) {
        const auto isOther = [&id = upstream.id](const auto &entry) { return entry.first != id; };
        auto oldest = std::find_if(m_notices.begin(), m_notices.end(), isOther);
        for (auto entry = oldest; entry != m_notices.end(); ++entry) {
            oldest = isOther(*entry) && entry->second.firstAt < oldest->second.firstAt ? entry : oldest;
        }
        m_notices.erase(oldest);
    }
    return &found->second;
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

auto UpstreamNotices::isLeaving(const Upstream &upstream) const -> bool
{
    const auto *notice = find(upstream);
    return notice != nullptr && notice->leaving;
}

} // namespace currantstack
