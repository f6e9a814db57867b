#include "currantstack/quarantine.h"

#include <algorithm>

namespace currantstack
{

auto Quarantine::recordCrash(Fingerprint fingerprint, std::string_view upstream, Duration length, TimePoint now) -> bool
{
    if (m_suspects.size() >= MaxSuspects) {
        expire(now);
    }
    auto &suspect = m_suspects[fingerprint];
    if (now - suspect.lastCrash > SuspectLifetime) {
        suspect.upstreams.clear();
    }
    suspect.upstreams.emplace(upstream);
    suspect.lastCrash = now;
    if (suspect.upstreams.size() >= CrashThreshold) {
        m_quarantined[fingerprint] = now + length;
    }
    return isQuarantined(fingerprint, now);
}

auto Quarantine::isQuarantined(Fingerprint fingerprint, TimePoint now) const -> bool
{
    const auto found = m_quarantined.find(fingerprint);
    return found != m_quarantined.end() && now < found->second;
}

auto Quarantine::isSuspect(Fingerprint fingerprint, TimePoint now) const -> bool
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now - found->second.lastCrash <= SuspectLifetime;
}

auto Quarantine::merge(const std::vector<QuarantineEntry> &entries, TimePoint now) -> void
{
    for (const auto &entry : entries) {
        auto &until = m_quarantined[entry.fingerprint];
        until = std::max(until, now + entry.remaining);
    }
}

auto Quarantine::entries(TimePoint now) const -> std::vector<QuarantineEntry>
{
    std::vector<QuarantineEntry> list;
    for (const auto &[fingerprint, until] : m_quarantined) {
        if (now < until) {
            list.push_back({fingerprint, until - now});
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.remaining > right.remaining; });
    if (list.size() > MaxAnnouncedEntries) {
        list.resize(MaxAnnouncedEntries);
    }
    return list;
}

auto Quarantine::expire(TimePoint now) -> void
{
    std::erase_if(m_suspects, [now](const auto &entry) { return now - entry.second.lastCrash > SuspectLifetime; });
    std::erase_if(m_quarantined, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace currantstack
