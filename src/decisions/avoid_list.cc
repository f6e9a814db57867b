#include "currantstack/decisions/avoid_list.h"

#include <algorithm>

namespace currantstack
{

auto AvoidList::onRefused(std::string_view upstream, bool isFull, TimePoint now) -> void
{
    constexpr int MaxDoublings = 10;
    auto &refusal = m_refusals[std::string(upstream)];
    refusal.count = isFull ? 0 : std::min(refusal.count + 1, MaxDoublings);
    refusal.until = now + std::min<Duration>(LongestPause, FullPause * (1 << refusal.count));
}

auto AvoidList::onAccepted(std::string_view upstream) -> void
{
    if (const auto found = m_refusals.find(upstream); found != m_refusals.end()) {
        m_refusals.erase(found);
    }
}

auto AvoidList::add(std::string_view upstream, AvoidReason reason, Duration life, TimePoint now) -> void
{
    m_known.insert_or_assign(std::string(upstream), Known{reason, now + life});
    std::erase_if(m_known, [now](const auto &entry) { return entry.second.until <= now; });
}

auto AvoidList::forget(std::string_view upstream) -> void
{
    onAccepted(upstream);
    if (const auto found = m_known.find(upstream); found != m_known.end()) {
        m_known.erase(found);
    }
}

auto AvoidList::hear(const AvoidNotice &notice, TimePoint now) -> void
{
    const auto found = m_known.find(notice.upstream);
    if (found == m_known.end() || found->second.until <= now) {
        add(notice.upstream, notice.reason, notice.left, now);
    }
}

auto AvoidList::contains(std::string_view upstream, bool storeIsAway, TimePoint now) const -> bool
{
    if (const auto refusal = m_refusals.find(upstream); refusal != m_refusals.end() && now < refusal->second.until) {
        return true;
    }
    const auto known = m_known.find(upstream);
    if (known == m_known.end() || now >= known->second.until) {
        return false;
    }
    return known->second.reason == AvoidReason::ChangesRole || storeIsAway;
}

auto AvoidList::notices(TimePoint now) const -> std::vector<AvoidNotice>
{
    std::vector<AvoidNotice> result;
    for (const auto &[upstream, known] : m_known) {
        if (now < known.until && result.size() < MaxNotices) {
            result.push_back({upstream, known.reason, known.until - now});
        }
    }
    return result;
}

} // namespace currantstack
