#include "currantstack/decisions/route_history.h"

#include <algorithm>

namespace currantstack
{

auto RouteHistory::add(std::shared_ptr<const RouteTable> replaced, TimePoint now) -> void
{
    m_routes += replaced->routes.size();
    m_entries.push_back({std::move(replaced), now});
    while (!m_entries.empty() && (m_entries.size() > MaxTables || m_routes > MaxRoutes)) {
        m_routes -= m_entries.front().table->routes.size();
        m_entries.pop_front();
    }
}

auto RouteHistory::expire(TimePoint now) -> void
{
    while (!m_entries.empty() && now - m_entries.front().replacedAt >= Lifetime) {
        m_routes -= m_entries.front().table->routes.size();
        m_entries.pop_front();
    }
}

auto RouteHistory::find(std::int64_t version) const -> std::shared_ptr<const RouteTable>
{
    const auto found =
        std::find_if(m_entries.rbegin(), m_entries.rend(), [version](const auto &entry) { return entry.table->version == version; });
    return found == m_entries.rend() ? nullptr : found->table;
}

} // namespace currantstack
