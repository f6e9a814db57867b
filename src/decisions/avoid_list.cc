#include "currantstack/decisions/avoid_list.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MaxDoublings = 10;
constexpr Duration RefusalMemory = 10 * AvoidList::LongestPause; // in which the doublings are kept

} // namespace

auto AvoidList::onRefused(std::string_view upstream, TimePoint now) -> void
{
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.until >= RefusalMemory; });
    auto &refusal = m_refusals[std::string(upstream)];
    refusal.until = now + std::min<Duration>(LongestPause, FirstPause * (1 << refusal.count));
    refusal.count = std::min(refusal.count + 1, MaxDoublings);
}

auto AvoidList::onFull(std::string_view upstream, int requests, Duration requestLength, TimePoint now) -> void
{
    std::erase_if(m_full, [now](const auto &entry) { return entry.second.until <= now; });
    // Requests of all ages are under way, so that one ends in this time on average.
    const auto nextEnd = requestLength / std::max(1, requests);
    m_full.insert_or_assign(std::string(upstream), Full{requests, now + std::clamp(nextEnd, ShortestFullPause, LongestFullPause)});
}

auto AvoidList::isFull(std::string_view upstream, int requests, TimePoint now) const -> bool
{
    const auto full = m_full.find(upstream);
    return full != m_full.end() && now < full->second.until && requests >= full->second.requests;
}

auto AvoidList::onAccepted(std::string_view upstream) -> void
{
    if (const auto found = m_refusals.find(upstream); found != m_refusals.end()) {
        m_refusals.erase(found);
    }
    if (const auto found = m_full.find(upstream); found != m_full.end()) {
        m_full.erase(found);
    }
}

auto AvoidList::add(const AvoidNotice &notice, TimePoint now) -> void
{
    m_known.insert_or_assign(notice.upstream, Known{notice.reason, notice.role, now, now + notice.left});
    std::erase_if(m_known, [now](const auto &entry) { return entry.second.until <= now; });
}

auto AvoidList::forget(std::string_view upstream, TimePoint now) -> void
{
    onAccepted(upstream);
    if (const auto found = m_known.find(upstream); found != m_known.end()) {
        m_known.erase(found);
        m_forgottenAt.insert_or_assign(std::string(upstream), now);
    }
    std::erase_if(m_forgottenAt, [now](const auto &entry) { return now - entry.second >= ForgetMemory; });
}

auto AvoidList::onUpdated(std::string_view upstream, TimePoint now) -> void
{
    if (const auto known = m_known.find(upstream); known != m_known.end() && known->second.reason == AvoidReason::Outdated) {
        forget(upstream, now);
    }
}

auto AvoidList::hear(const AvoidNotice &notice, TimePoint now) -> void
{
    if (const auto forgotten = m_forgottenAt.find(notice.upstream);
        forgotten != m_forgottenAt.end() && now - forgotten->second < ForgetMemory) {
        return;
    }
    const auto found = m_known.find(notice.upstream);
    const bool isSame = found != m_known.end() && found->second.reason == notice.reason && found->second.role == notice.role;
    if (found == m_known.end() || found->second.until <= now || (!isSame && now + notice.left > found->second.until)) {
        add(notice, now);
    } else if (isSame) {
        auto &known = found->second;
        known.until = std::max(known.until, std::min(now + notice.left, known.firstAt + LongestNotice));
    }
}

auto AvoidList::contains(std::string_view upstream, EngineRole shown, bool storeUnreachable, TimePoint now) const -> bool
{
    if (const auto refusal = m_refusals.find(upstream); refusal != m_refusals.end() && now < refusal->second.until) {
        return true;
    }
    const auto known = m_known.find(upstream);
    if (known == m_known.end() || now >= known->second.until) {
        return false;
    }
    switch (known->second.reason) {
    case AvoidReason::ChangesRole:
        return known->second.role != shown;
    case AvoidReason::Outdated:
        return true;
    case AvoidReason::Leaving:
        break;
    }
    return storeUnreachable;
}

auto AvoidList::notices(TimePoint now) const -> std::vector<AvoidNotice>
{
    std::vector<AvoidNotice> result;
    for (const auto &[upstream, known] : m_known) {
        if (now < known.until && result.size() < MaxNotices) {
            result.push_back({upstream, known.reason, known.role, known.until - now});
        }
    }
    return result;
}

} // namespace currantstack
