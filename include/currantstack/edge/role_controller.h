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
    static constexpr int FewestStreams = 20; // seen by all VMs before the balance is trusted

    RoleController(EdgeContext &context, OrderHolder &holder);

    auto start() -> void;
    auto stop() -> void;

private:
    auto review() -> void;
    auto reviewService(const ServiceSpec &service, std::int64_t fence) -> void;
    auto readState(const Upstream &engine, EngineRole role) -> void;
    auto order(const Upstream &engine, EngineRole role, std::int64_t orderCount) -> void;
    auto onOrdered(const Upstream &engine, EngineRole role, std::int64_t fence, const Result<HttpResponse> &result) -> void;

    EdgeContext &m_context;
    OrderHolder &m_holder;
    std::unique_ptr<Timer> m_timer;
    std::map<std::string, RolePlanner, std::less<>> m_planners; // by service
};

} // namespace currantstack
