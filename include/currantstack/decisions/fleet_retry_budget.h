// This VM's share of a retry budget that all VMs keep together.
#pragma once

#include "currantstack/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// The bound that the whole fleet keeps for each service: within any window, repeated sends are at most `ratio` × requests + `slack`.
struct RetryBound
{
    double ratio = 0.1;
    double slack = 10;
    Duration window = seconds(10);
};

/// Allows repeated sends so that the sum over all VMs stays under the bound. A VM takes its part of the slack and of its own
/// requests, and so needs no word from the others.
class FleetRetryBudget
{
public:
    /// Part of the bound that is used; the rest covers VMs that started or left within the window.
    static constexpr double UsedPart = 0.7;

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

    /// Returns whether one more repeated send is allowed, and counts it.
    auto take(std::string_view service, TimePoint now) -> bool;

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
    };

    auto trim(Window &window, TimePoint now) const -> void;

    RetryBound m_bound;
    std::size_t m_vms = 1;
    std::map<std::string, Window, std::less<>> m_services;
};

} // namespace currantstack
