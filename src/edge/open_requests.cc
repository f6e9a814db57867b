#include "currantstack/edge/open_requests.h"

#include <utility>

namespace currantstack
{

auto OpenRequests::add(EndFunction end) -> Id
{
    m_requests.emplace(++m_lastId, std::move(end));
    return m_lastId;
}

auto OpenRequests::remove(Id id) -> void
{
    m_requests.erase(id);
}

auto OpenRequests::end(StopPhase phase) -> void
{
    // A request that ends may end others.
    for (auto next = m_requests.begin(); next != m_requests.end();) {
        const auto id = next->first;
        const auto end = next->second;
        end(phase);
        next = m_requests.upper_bound(id);
    }
}

} // namespace currantstack
