#include "currantstack/decisions/cost_table.h"

namespace currantstack
{

namespace
{

auto add(ServiceCost &sum, const ServiceCost &more) -> void
{
    const double streams = more.streams;
    sum.cost.promptTokens += streams * more.cost.promptTokens;
    sum.cost.prefillMs += streams * more.cost.prefillMs;
    sum.cost.streamMs += streams * more.cost.streamMs;
    sum.cost.kvTokens += streams * more.cost.kvTokens;
    sum.streams += more.streams;
}

} // namespace

auto CostTable::merge(std::string_view source, std::span<const ServiceCost> costs, TimePoint now) -> void
{
    auto &entry = m_sources[std::string(source)];
    entry.heardAt = now;
    entry.costs.assign(costs.begin(), costs.end());
    std::erase_if(m_sources, [now](const auto &item) { return now - item.second.heardAt > Memory; });
}

auto CostTable::mean(const ServiceCost &own, const std::function<bool(std::string_view source)> &admits, TimePoint now) const -> ServiceCost
{
    ServiceCost sum{own.service, {}, 0};
    add(sum, own);
    for (const auto &[name, source] : m_sources) {
        if (!admits(name)) {
            continue;
        }
        for (const auto &entry : source.costs) {
            if (entry.service == own.service && now - source.heardAt <= Memory) {
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
