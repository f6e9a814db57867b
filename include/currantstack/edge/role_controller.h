// Balances engines between the prefill and decode roles by orders, on the VM that holds the order lease.
#pragma once

#include "currantstack/decisions/role_plan.h"
#include "currantstack/edge/order_holder.h"

namespace currantstack
{

class RoleController
{
public:
    static constexpr Duration Period = seconds(1);
    static constexpr int MinObservedStreams = 20; // by all VMs together, before their mean cost is used for balancing
    /// Lifetime of an announced role change at the other VMs. A change is announced one period before its order, so that no prompt is in
    /// flight to the engine when it stops accepting work. If no order follows, the announcement expires two periods later.
    static constexpr Duration AnnouncementLifetime = 3 * Period;
    /// An engine finishes its streams before it changes its role. Its longest stream takes this multiple of the mean stream length.
    static constexpr double LongestStreamRatio = 4;
    /// Time from a role change to the update of the engine's directory entry, which takes a few heartbeats.
    static constexpr Duration DirectoryLag = seconds(2);

    RoleController(EdgeContext &context, OrderHolder &holder);

    auto start() -> void;
    auto stop() -> void;

private:
    struct AnnouncedOrder
    {
        Upstream engine;
        EngineRole role = EngineRole::None;
    };

    auto reconcile() -> void;
    auto reconcileService(const ServiceSpec &service, std::int64_t fencingToken) -> void;
    auto announce(const RoleChange &change) -> void;
    auto sendAnnouncedOrders() -> void;
    auto mayOrder(const Upstream &engine, EngineRole role) -> bool;
    auto fetchState(const Upstream &engine, EngineRole role) -> void;
    auto sendOrder(const Upstream &engine, EngineRole role, std::int64_t orderCount) -> void;
    auto onOrderAnswered(const Upstream &engine, EngineRole role, std::int64_t fencingToken, const Result<HttpResponse> &result) -> void;

    EdgeContext &m_context;
    OrderHolder &m_holder;
    std::unique_ptr<Timer> m_timer;
    std::vector<AnnouncedOrder> m_announced; // sent in the next period
    std::map<std::string, RolePlanner, std::less<>> m_planners; // by service
};

} // namespace currantstack
