// This VM's share of a retry budget that holds for all VMs together.
#pragma once

#include "currantstack/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// The bound on the retries of one service by all VMs: at most `ratio` × requests + `slack` within any window.
struct RetryBound
{
    double ratio = 0.1;
    double slack = 10;
    Duration window = seconds(10);
};

/// Allows retries such that the sum over all VMs stays below the bound. Each VM uses an equal share of the slack and the ratio of
/// its own requests, so that the VMs need not coordinate.
class FleetRetryBudget
{
public:
    /// Share of the bound that is used; the rest covers VMs that started or stopped within the window.
    static constexpr double UsedShare = 0.7;

    explicit FleetRetryBudget(RetryBound bound)
        : m_bound(bound)
    { }

    auto setBound(RetryBound bound) -> void
    {
        m_bound = bound;
    }

    auto setVms(std::size_t count) -> void
    {
        m_vms = count == 0 ? 1 : count;
    }

    auto onRequest(std::string_view service, TimePoint now) -> void;

    /// Returns whether `count` more retries are allowed, without counting them.
    auto mayAcquire(std::string_view service, TimePoint now, int count = 1) -> bool;

    /// Returns whether `count` more retries are allowed, and counts them if so.
    auto tryAcquire(std::string_view service, TimePoint now, int count = 1) -> bool;

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    /// Drops the entries that are older than the window.
    auto trim(Window &window, TimePoint now) const -> void;

    RetryBound m_bound;
    std::size_t m_vms = 1;
    std::map<std::string, Window, std::less<>> m_windows; // by service
};

} // namespace currantstack
