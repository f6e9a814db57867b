#include "currantstack/decisions/success_history.h"

namespace currantstack
{

namespace
{

constexpr Duration RenewalPeriod = SuccessHistory::Lifetime / 4; // a frequent fingerprint takes one entry of the order in this time

} // namespace

auto SuccessHistory::add(Fingerprint fingerprint, TimePoint at) -> void
{
    const auto [found, isNew] = m_successes.try_emplace(fingerprint, at);
    if (!isNew && at < found->second + RenewalPeriod) {
        return;
    }
    found->second = at;
    m_order.push_back({fingerprint, at});
    while (m_successes.size() > MaxFingerprints) {
        dropOldest();
    }
    expire(at);
}

auto SuccessHistory::lastSuccess(Fingerprint fingerprint) const -> std::optional<TimePoint>
{
    const auto found = m_successes.find(fingerprint);
    return found == m_successes.end() ? std::nullopt : std::optional(found->second);
}

auto SuccessHistory::expire(TimePoint now) -> void
{
    while (!m_order.empty() && now - m_order.front().at > Lifetime) {
        dropOldest();
    }
}

auto SuccessHistory::dropOldest() -> void
{
    const auto [fingerprint, at] = m_order.front();
    m_order.pop_front();
    if (const auto found = m_successes.find(fingerprint); found != m_successes.end() && found->second == at) {
        m_successes.erase(found);
    }
}

} // namespace currantstack
