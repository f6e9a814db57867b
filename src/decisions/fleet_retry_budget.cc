#include "currantstack/decisions/fleet_retry_budget.h"

namespace currantstack
{

auto FleetRetryBudget::trim(Window &window, TimePoint now) const -> void
{
    const auto start = now - m_bound.window;
    for (auto *times : {&window.requests, &window.retries}) {
        while (!times->empty() && times->front() <= start) {
            times->pop_front();
        }
    }
}

auto FleetRetryBudget::onRequest(std::string_view service, TimePoint now) -> void
{
    auto &window = m_windows[std::string(service)];
    window.requests.push_back(now);
    trim(window, now);
}

auto FleetRetryBudget::mayAcquire(std::string_view service, TimePoint now) -> bool
{
    auto &window = m_windows[std::string(service)];
    trim(window, now);
    const auto share = m_bound.slack / static_cast<double>(m_vms);
    const auto allowed = UsedShare * (m_bound.ratio * static_cast<double>(window.requests.size()) + share);
    return static_cast<double>(window.retries.size()) + 1 <= allowed;
}

auto FleetRetryBudget::tryAcquire(std::string_view service, TimePoint now) -> bool
{
    const bool isAllowed = mayAcquire(service, now);
    if (isAllowed) {
        m_windows[std::string(service)].retries.push_back(now);
    }
    return isAllowed;
}

} // namespace currantstack
