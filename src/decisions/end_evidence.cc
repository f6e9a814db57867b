#include "currantstack/decisions/end_evidence.h"

#include <algorithm>

namespace currantstack
{

auto EndEvidence::issuedAt(const ExclusionNotice &notice, TimePoint now) -> TimePoint
{
    return now - std::max<Duration>(Duration::zero(), ExclusionList::OutdatedLifetime - notice.remaining);
}

auto EndEvidence::onNotice(const ExclusionNotice &notice, const Contact &contact, TimePoint now) -> NoticeUse
{
    expire(now);
    if (contact.sinceNotice) {
        return NoticeUse::Ignore;
    }
    if (contact.failed) {
        return NoticeUse::Exclude;
    }
    const auto found = m_verifications.find(notice.upstream);
    const bool isNew = found == m_verifications.end() || (!found->second.isPending && found->second.since < issuedAt(notice, now));
    if (isNew) {
        m_verifications.insert_or_assign(notice.upstream, Verification{true, now});
        return contact.recent ? NoticeUse::Verify : NoticeUse::ExcludeAndVerify;
    }
    return contact.recent ? NoticeUse::Ignore : NoticeUse::Exclude;
}

auto EndEvidence::onVerified(std::string_view upstream, TimePoint now) -> void
{
    if (const auto found = m_verifications.find(upstream); found != m_verifications.end()) {
        found->second = {false, now};
    }
}

auto EndEvidence::onRefused(const Upstream &upstream, bool mayHaveWitnesses, TimePoint now) -> bool
{
    expire(now);
    m_refusals.insert_or_assign(upstream.id, Refusal{upstream, now});
    return !mayHaveWitnesses || m_witnessedAt.contains(upstream.id);
}

auto EndEvidence::onWitness(std::string_view upstream, TimePoint now) -> std::optional<Upstream>
{
    expire(now);
    m_witnessedAt.insert_or_assign(std::string(upstream), now);
    const auto found = m_refusals.find(upstream);
    if (found == m_refusals.end()) {
        return std::nullopt;
    }
    auto result = std::move(found->second.upstream);
    m_refusals.erase(found);
    return result;
}

auto EndEvidence::onReached(std::string_view upstream) -> void
{
    if (const auto found = m_refusals.find(upstream); found != m_refusals.end()) {
        m_refusals.erase(found);
    }
    if (const auto found = m_witnessedAt.find(upstream); found != m_witnessedAt.end()) {
        m_witnessedAt.erase(found);
    }
}

auto EndEvidence::expire(TimePoint now) -> void
{
    std::erase_if(m_verifications, [now](const auto &entry) { return now - entry.second.since > Lifetime; });
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.at > Lifetime; });
    std::erase_if(m_witnessedAt, [now](const auto &entry) { return now - entry.second > Lifetime; });
}

} // namespace currantstack
