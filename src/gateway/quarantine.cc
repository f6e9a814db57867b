#include "currantstack/quarantine.h"

#include <algorithm>

namespace currantstack
{

auto Quarantine::report(Fingerprint fingerprint, std::string_view upstream, Duration length, TimePoint now) -> bool
{
    if (m_suspects.size() >= MaxSuspects) {
        expire(now);
    }
    auto &suspect = m_suspects[fingerprint];
    if (now - suspect.last > SuspectTime) {
        suspect.upstreams.clear();
    }
    suspect.upstreams.emplace(upstream);
    suspect.last = now;
    if (suspect.upstreams.size() >= Deaths) {
        m_refused[fingerprint] = now + length;
    }
    return isQuarantined(fingerprint, now);
}

auto Quarantine::isQuarantined(Fingerprint fingerprint, TimePoint now) const -> bool
{
    const auto found = m_refused.find(fingerprint);
    return found != m_refused.end() && now < found->second;
}

auto Quarantine::isSuspect(Fingerprint fingerprint, TimePoint now) const -> bool
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now - found->second.last <= SuspectTime;
}

auto Quarantine::merge(const std::vector<QuarantineEntry> &entries, TimePoint now) -> void
{
    for (const auto &entry : entries) {
        auto &until = m_refused[entry.fingerprint];
        until = std::max(until, now + entry.remaining);
    }
}

auto Quarantine::entries(TimePoint now) const -> std::vector<QuarantineEntry>
{
    std::vector<QuarantineEntry> list;
    for (const auto &[fingerprint, until] : m_refused) {
        if (now < until) {
            list.push_back({fingerprint, until - now});
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.remaining > right.remaining; });
    if (list.size() > MaxAnnounced) {
        list.resize(MaxAnnounced);
    }
    return list;
}

auto Quarantine::expire(TimePoint now) -> void
{
    std::erase_if(m_suspects, [now](const auto &entry) { return now - entry.second.last > SuspectTime; });
    std::erase_if(m_refused, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace currantstack
