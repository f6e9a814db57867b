// Mean costs of requests by service, averaged over the reports of all VMs.
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

/// The mean cost of one service's requests and the number of streams that were averaged.
struct ServiceCost
{
    std::string service;
    RequestCost cost;
    int streams = 0;

    auto operator==(const ServiceCost &) const -> bool = default;
};

/// Averages costs over VMs, so that the balance of roles is known soon after traffic begins, whichever VM is the order holder.
class CostTable
{
public:
    static constexpr Duration ReportLifetime = seconds(30); // a VM's report expires after this

    /// Replaces the report of the source: a VM, or a place for an aggregate.
    auto merge(std::string_view source, std::span<const ServiceCost> costs, TimePoint now) -> void;

    /// Returns the mean of the local cost and the costs of the sources for which `accepts` returns true, weighted by streams.
    auto mean(const ServiceCost &local, const std::function<bool(std::string_view source)> &accepts, TimePoint now) const -> ServiceCost;

private:
    struct Report
    {
        TimePoint receivedAt;
        std::vector<ServiceCost> costs;
    };

    std::map<std::string, Report, std::less<>> m_reports; // by source
};

} // namespace currantstack
