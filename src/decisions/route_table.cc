#include "currantstack/decisions/route_table.h"

#include "currantstack/http.h"

#include <algorithm>

namespace currantstack
{

auto RouteTable::find(std::string_view host, std::string_view path) const -> const Route *
{
    path = path.substr(0, path.find('?'));
    const Route *best = nullptr;
    for (const auto &route : routes) {
        const bool longer = best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && path.starts_with(route.prefix) && equalIgnoringCase(route.host, host)) {
            best = &route;
        }
    }
    return best;
}

auto RouteTable::service(std::string_view name) const -> const ServiceSpec *
{
    for (const auto &entry : services) {
        if (entry.name == name) {
            return &entry;
        }
    }
    return nullptr;
}

auto recognizes(const RouteTable &routeTable, const Upstream &upstream) -> bool
{
    const auto *service = routeTable.service(upstream.service);
    return service != nullptr && (!service->engine || upstream.role != EngineRole::None);
}

auto RouteTable::indexRanks() -> void
{
    streamRanks.clear();
    for (const auto &route : routes) {
        if (route.kind != RouteKind::Stream) {
            continue;
        }
        std::set<int> ranks;
        for (const auto &[name, tenant] : tenants.tenants()) {
            ranks.insert(tenant.priority.value_or(route.priority));
        }
        if (tenants.isEmpty() || route.isPublic) {
            ranks.insert(route.priority);
        }
        for (const auto &target : route.targets) {
            streamRanks[target.service].insert(ranks.begin(), ranks.end());
        }
    }
}

auto RouteTable::isUrgent(std::string_view service, int rank) const -> bool
{
    const auto found = streamRanks.find(service);
    return found != streamRanks.end() && found->second.size() > 1 && *found->second.begin() == rank;
}

auto RouteTable::hasHigherRank(std::string_view service, int rank) const -> bool
{
    const auto found = streamRanks.find(service);
    return found != streamRanks.end() && !found->second.empty() && *found->second.begin() < rank;
}

auto hasTarget(const Route &route, std::string_view service) -> bool
{
    return std::any_of(route.targets.begin(), route.targets.end(),
                       [service](const RouteTarget &target) { return target.service == service && target.weight > 0; });
}

auto selectTarget(const Route &route, double draw) -> std::string_view
{
    double total = 0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    double position = draw * total;
    std::string_view last;
    for (const auto &target : route.targets) {
        if (target.weight <= 0) {
            continue;
        }
        last = target.service;
        if (position < target.weight) {
            break;
        }
        position -= target.weight;
    }
    return last;
}

} // namespace currantstack
