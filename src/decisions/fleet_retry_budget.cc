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

auto FleetRetryBudget::mayAcquire(std::string_view service, TimePoint now, int count) -> bool
{
    auto &window = m_windows[std::string(service)];
    if (count == 0) {
        return true;
    }
    trim(window, now);
    const auto share = m_bound.slack / static_cast<double>(m_vms);
    const auto allowed = UsedShare * (m_bound.ratio * static_cast<double>(window.requests.size()) + share);
    return static_cast<double>(window.retries.size()) + count <= allowed;
}

auto FleetRetryBudget::tryAcquire(std::string_view service, TimePoint now, int count) -> bool
{
    const bool isAllowed = mayAcquire(service, now, count);
    if (isAllowed) {
        auto &retries = m_windows[std::string(service)].retries;
        retries.insert(retries.end(), static_cast<std::size_t>(count), now);
    }
    return isAllowed;
}

} // namespace currantstack
