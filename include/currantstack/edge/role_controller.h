// Keeps the engines' roles in balance by orders, where this VM holds them.
#pragma once

#include "currantstack/decisions/role_plan.h"
#include "currantstack/edge/order_holder.h"

namespace currantstack
{

class RoleController
{
public:
    static constexpr Duration Period = seconds(1);
    static constexpr int MinObservedStreams = 20; // seen by all VMs before the balance is trusted
    /// Other VMs are told one review before an order, so that no prompt is on its way to the engine when it stops taking work. The
    /// order follows at the next review; where none does, the announcement ends by itself after two more.
    static constexpr Duration AnnouncementLifetime = 3 * Period;
    /// After an order the engine ends its streams first, the longest of which take this many mean lengths, ...
    static constexpr double LongestStreamRatio = 4;
    static constexpr Duration DirectoryLag = seconds(2); // ... and its entry shows the new role some heartbeats later.

    RoleController(EdgeContext &context, OrderHolder &holder);

    auto start() -> void;
    auto stop() -> void;

private:
    struct AnnouncedOrder
    {
        Upstream engine;
        EngineRole role = EngineRole::None;
    };

    auto review() -> void;
    auto reviewService(const ServiceSpec &service, std::int64_t fencingToken) -> void;
    auto announce(const RoleChange &change) -> void;
    auto sendAnnouncedOrders() -> void;
    auto fetchState(const Upstream &engine, EngineRole role) -> void;
    auto sendOrder(const Upstream &engine, EngineRole role, std::int64_t orderCount) -> void;
    auto onOrderAnswered(const Upstream &engine, EngineRole role, std::int64_t fencingToken, const Result<HttpResponse> &result) -> void;

    EdgeContext &m_context;
    OrderHolder &m_holder;
    std::unique_ptr<Timer> m_timer;
    std::vector<AnnouncedOrder> m_announced; // ordered at the next review
    std::map<std::string, RolePlanner, std::less<>> m_planners; // by service
};

} // namespace currantstack
