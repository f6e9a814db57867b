#include "currantstack/decisions/exclusion_list.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MaxDoublings = 10;
constexpr Duration RefusalLifetime = 10 * ExclusionList::LongestBackoff; // after which the back-off restarts at `FirstBackoff`

} // namespace

auto ExclusionList::onRefused(std::string_view upstream, TimePoint now) -> void
{
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.until >= RefusalLifetime; });
    auto &refusal = m_refusals[std::string(upstream)];
    refusal.until = now + std::min<Duration>(LongestBackoff, FirstBackoff * (1 << refusal.count));
    refusal.count = std::min(refusal.count + 1, MaxDoublings);
}

auto ExclusionList::onFull(std::string_view upstream, int requests, Duration requestDuration, TimePoint now) -> void
{
    std::erase_if(m_full, [now](const auto &entry) { return entry.second.until <= now; });
    // The requests in flight are of all ages, so one ends in this time on average.
    const auto untilNextEnd = requestDuration / std::max(1, requests);
    m_full.insert_or_assign(std::string(upstream),
                            FullRefusal{requests, now + std::clamp(untilNextEnd, ShortestFullBackoff, LongestFullBackoff)});
}

auto ExclusionList::isFull(std::string_view upstream, int requests, TimePoint now) const -> bool
{
    const auto full = m_full.find(upstream);
    return full != m_full.end() && now < full->second.until && requests >= full->second.requests;
}

auto ExclusionList::onAccepted(std::string_view upstream) -> void
{
    if (const auto found = m_refusals.find(upstream); found != m_refusals.end()) {
        m_refusals.erase(found);
    }
    if (const auto found = m_full.find(upstream); found != m_full.end()) {
        m_full.erase(found);
    }
}

auto ExclusionList::onHeard(std::string_view upstream) -> void
{
    if (const auto found = m_exclusions.find(upstream); found != m_exclusions.end() && found->second.reason == ExclusionReason::Silent) {
        m_exclusions.erase(found);
    }
}

auto ExclusionList::add(const ExclusionNotice &notice, TimePoint now) -> void
{
    const auto found = m_exclusions.find(notice.upstream);
    const bool isOther = found != m_exclusions.end() && now < found->second.until && found->second.reason != notice.reason;
    if (notice.reason != ExclusionReason::Silent || !isOther) {
        insert(notice, true, now);
    }
}

auto ExclusionList::insert(const ExclusionNotice &notice, bool isObserved, TimePoint now) -> void
{
    m_exclusions.insert_or_assign(notice.upstream, Exclusion{notice.reason, notice.role, now, now + notice.remaining, isObserved});
    std::erase_if(m_exclusions, [now](const auto &entry) { return entry.second.until <= now; });
}

auto ExclusionList::reset(std::string_view upstream, TimePoint now) -> void
{
    onAccepted(upstream);
    if (const auto found = m_exclusions.find(upstream); found != m_exclusions.end()) {
        m_exclusions.erase(found);
        m_resetAt.insert_or_assign(std::string(upstream), now);
    }
    std::erase_if(m_resetAt, [now](const auto &entry) { return now - entry.second >= StaleNoticeWindow; });
}

auto ExclusionList::onCurrent(std::string_view upstream, TimePoint now) -> void
{
    if (const auto exclusion = m_exclusions.find(upstream);
        exclusion != m_exclusions.end() && exclusion->second.reason == ExclusionReason::Outdated) {
        reset(upstream, now);
    }
}

auto ExclusionList::merge(const ExclusionNotice &notice, TimePoint now) -> void
{
    if (const auto resetEntry = m_resetAt.find(notice.upstream);
        resetEntry != m_resetAt.end() && now - resetEntry->second < StaleNoticeWindow) {
        return;
    }
    const auto found = m_exclusions.find(notice.upstream);
    const bool isSame = found != m_exclusions.end() && found->second.reason == notice.reason && found->second.role == notice.role;
    if (found == m_exclusions.end() || found->second.until <= now || (!isSame && now + notice.remaining > found->second.until)) {
        insert(notice, false, now);
    } else if (isSame) {
        auto &exclusion = found->second;
        exclusion.until = std::max(exclusion.until, std::min(now + notice.remaining, exclusion.firstAt + MaxNoticeLifetime));
    }
}

auto ExclusionList::contains(std::string_view upstream, EngineRole registeredRole, bool storeUnreachable, TimePoint now) const -> bool
{
    if (const auto refusal = m_refusals.find(upstream); refusal != m_refusals.end() && now < refusal->second.until) {
        return true;
    }
    const auto exclusion = m_exclusions.find(upstream);
    if (exclusion == m_exclusions.end() || now >= exclusion->second.until) {
        return false;
    }
    switch (exclusion->second.reason) {
    case ExclusionReason::ChangingRole:
        return exclusion->second.role != registeredRole;
    case ExclusionReason::Outdated:
    case ExclusionReason::Silent:
        return true;
    case ExclusionReason::Draining:
        break;
    }
    return storeUnreachable;
}

auto ExclusionList::isAnnouncedDraining(std::string_view upstream, TimePoint now) const -> bool
{
    const auto found = m_exclusions.find(upstream);
    return found != m_exclusions.end() && found->second.reason == ExclusionReason::Draining && now < found->second.until;
}

auto ExclusionList::hasObservedOutdated(std::string_view upstream, TimePoint now) const -> bool
{
    const auto found = m_exclusions.find(upstream);
    return found != m_exclusions.end() && found->second.reason == ExclusionReason::Outdated && found->second.isObserved
        && now < found->second.until;
}

auto ExclusionList::ownNotices(TimePoint now) const -> std::vector<ExclusionNotice>
{
    return select(false, now);
}

auto ExclusionList::notices(TimePoint now) const -> std::vector<ExclusionNotice>
{
    return select(true, now);
}

auto ExclusionList::select(bool withReceived, TimePoint now) const -> std::vector<ExclusionNotice>
{
    std::vector<ExclusionNotice> result;
    for (const auto &[upstream, exclusion] : m_exclusions) {
        const bool needsVerification = exclusion.reason == ExclusionReason::Outdated || exclusion.reason == ExclusionReason::Silent;
        const bool isIncluded = withReceived || exclusion.isObserved || !needsVerification;
        if (isIncluded && now < exclusion.until && result.size() < MaxNotices) {
            result.push_back({upstream, exclusion.reason, exclusion.role, exclusion.until - now});
        }
    }
    return result;
}

} // namespace currantstack
