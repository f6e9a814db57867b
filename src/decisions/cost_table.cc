#include "currantstack/decisions/cost_table.h"

namespace currantstack
{

namespace
{

/// Adds the other cost to the sum, weighted by its streams.
auto add(ServiceCost &sum, const ServiceCost &other) -> void
{
    const double streams = other.streams;
    sum.cost.promptTokens += streams * other.cost.promptTokens;
    sum.cost.prefillMs += streams * other.cost.prefillMs;
    sum.cost.streamMs += streams * other.cost.streamMs;
    sum.cost.kvTokens += streams * other.cost.kvTokens;
    sum.streams += other.streams;
}

} // namespace

auto CostTable::merge(std::string_view source, std::span<const ServiceCost> costs, TimePoint now) -> void
{
    auto &report = m_reports[std::string(source)];
    report.receivedAt = now;
    report.costs.assign(costs.begin(), costs.end());
    std::erase_if(m_reports, [now](const auto &item) { return now - item.second.receivedAt > ReportLifetime; });
}

auto CostTable::mean(const ServiceCost &local, const std::function<bool(std::string_view source)> &accepts, TimePoint now) const
    -> ServiceCost
{
    ServiceCost sum{local.service, {}, 0};
    add(sum, local);
    for (const auto &[source, report] : m_reports) {
        if (!accepts(source)) {
            continue;
        }
        for (const auto &entry : report.costs) {
            if (entry.service == local.service && now - report.receivedAt <= ReportLifetime) {
                add(sum, entry);
            }
        }
    }
    if (sum.streams > 0) {
        const double streams = sum.streams;
        sum.cost.promptTokens /= streams;
        sum.cost.prefillMs /= streams;
        sum.cost.streamMs /= streams;
        sum.cost.kvTokens /= streams;
    }
    return sum;
}

} // namespace currantstack
