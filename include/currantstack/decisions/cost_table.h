// What requests cost on average, as all VMs have seen it together.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/engine_placement.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The mean cost of one service's requests and the number of streams that it was seen on.
struct ServiceCost
{
    std::string service;
    RequestCost cost;
    int streams = 0;

    auto operator==(const ServiceCost &) const -> bool = default;
};

/// Averages over VMs, so that the balance of roles is known soon after traffic begins, whichever VM gives orders.
class CostTable
{
public:
    static constexpr Duration Memory = seconds(30); // after which a silent VM's word counts no more

    auto merge(std::string_view source, std::span<const ServiceCost> costs, TimePoint now) -> void;

    /// Returns the mean of the own cost and those of the sources that the hook admits, weighted by the streams they were seen on.
    auto mean(const ServiceCost &own, const std::function<bool(std::string_view source)> &admits, TimePoint now) const -> ServiceCost;

private:
    struct Source
    {
        TimePoint heardAt;
        std::vector<ServiceCost> costs;
    };

    std::map<std::string, Source, std::less<>> m_sources;
};

} // namespace currantstack
