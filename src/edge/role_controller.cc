#include "currantstack/edge/role_controller.h"

#include "currantstack/edge/notice_observer.h"
#include "currantstack/edge/send_check.h"

namespace currantstack
{

namespace
{

constexpr Duration CallTimeout = milliseconds(800); // of a state report or an order

} // namespace

RoleController::RoleController(EdgeContext &context, OrderHolder &holder)
    : m_context(context)
    , m_holder(holder)
    , m_timer(context.loop.timer([this]() { reconcile(); }))
{ }

auto RoleController::start() -> void
{
    m_timer->startRepeating(Period, Period);
}

auto RoleController::stop() -> void
{
    m_timer->stop();
}

auto RoleController::reconcile() -> void
{
    const auto fencingToken = m_holder.fencingToken();
    if (!fencingToken || !m_context.routeTable) {
        m_announced.clear();
        return;
    }
    sendAnnouncedOrders();
    for (const auto &service : m_context.routeTable->services) {
        if (service.engine) {
            reconcileService(service, *fencingToken);
        }
    }
}

auto RoleController::reconcileService(const ServiceSpec &service, std::int64_t fencingToken) -> void
{
    const auto now = m_context.clock.now();
    const auto &speeds = m_context.speedsOf(service.name);
    const ServiceCost local{service.name, speeds.requestCost(), speeds.observedStreams()};
    const auto mean = m_context.costs.mean(
        local, [](std::string_view /*source*/) { return true; }, now);
    if (mean.streams < MinObservedStreams) {
        return;
    }
    auto engines = m_context.directory.usable(service.name);
    std::erase_if(engines, [this](const auto *engine) { return m_context.notices.isLeaving(*engine); });
    const auto &cost = mean.cost;
    const double targetPrefill = balancedPrefillEngines(cost, *service.engine, engines.size());
    auto &planner = m_planners[service.name];
    for (const auto &change : planner.propose(engines, targetPrefill, fromMilliseconds(cost.streamMs), now)) {
        planner.onOrdered(change.engine->id, change.role, now);
        m_context.log.write("orders", "role_change_wanted",
                            {{"service", service.name},
                             {"engine", change.engine->id},
                             {"role", name(change.role)},
                             {"fence", fencingToken},
                             {"engines", engines.size()},
                             {"prefill_wanted", targetPrefill},
                             {"read_ms", cost.prefillMs},
                             {"stream_ms", cost.streamMs},
                             {"kv_tokens", cost.kvTokens},
                             {"streams_seen", mean.streams}});
        announce(change);
    }
}

auto RoleController::announce(const RoleChange &change) -> void
{
    m_context.exclusions.add({change.engine->id, ExclusionReason::ChangingRole, change.role, AnnouncementLifetime}, m_context.clock.now());
    m_announced.push_back({*change.engine, change.role});
}

auto RoleController::sendAnnouncedOrders() -> void
{
    for (const auto &[engine, role] : std::exchange(m_announced, {})) {
        if (mayOrder(engine, role)) {
            fetchState(engine, role);
        }
    }
}

/// Returns whether the engine may still get the order that was announced for it. Logs and counts why not.
auto RoleController::mayOrder(const Upstream &engine, EngineRole role) -> bool
{
    const auto block = sendBlockOf(m_context, engine);
    if (block == SendBlock::None) {
        return true;
    }
    m_context.counters.at(fmt::format("sends_prevented{{way=\"order\",reason=\"{}\"}}", name(block))).add();
    m_context.log.write("orders", "order_prevented", {{"engine", engine.id}, {"role", name(role)}, {"reason", name(block)}});
    return false;
}

auto RoleController::fetchState(const Upstream &engine, EngineRole role) -> void
{
    auto call = m_context.protocol.reportCall(engine);
    call.totalTimeout = CallTimeout;
    HttpHandlers handlers;
    handlers.onDone = [this, engine, role](const Result<HttpResponse> &result) {
        observeNotices(m_context, engine, result);
        const auto state = result ? m_context.protocol.parseReport(*result) : Result<EngineState>(tl::unexpected(result.error()));
        if (!state) {
            m_context.log.write("orders", "report_unreadable", {{"engine", engine.id}, {"error", describe(state.error())}});
        } else if (!state->busyWithOrder && state->role != role) {
            sendOrder(engine, role, state->orderCount);
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto RoleController::sendOrder(const Upstream &engine, EngineRole role, std::int64_t orderCount) -> void
{
    const auto fencingToken = m_holder.fencingToken();
    if (!fencingToken || !mayOrder(engine, role)) {
        return; // the lease was lost, or the engine has begun to leave, while the report was in flight
    }
    auto call = m_context.protocol.orderCall(engine, {role, m_context.settings.vm, *fencingToken, orderCount});
    call.totalTimeout = CallTimeout;
    HttpHandlers handlers;
    handlers.onDone = [this, engine, role, fencingToken = *fencingToken](const Result<HttpResponse> &result) {
        observeNotices(m_context, engine, result);
        onOrderAnswered(engine, role, fencingToken, result);
    };
    m_context.counters.at("orders_sent").add();
    m_context.client.start(std::move(call), std::move(handlers));
}

auto RoleController::onOrderAnswered(const Upstream &engine, EngineRole role, std::int64_t fencingToken, const Result<HttpResponse> &result)
    -> void
{
    // An order without an answer may still be executed. It carries the engine's order count, so it cannot override a later order.
    m_context.log.write("orders", "order_answered",
                        {{"engine", engine.id},
                         {"role", name(role)},
                         {"fence", fencingToken},
                         {"status", result ? result->status : 0},
                         {"error", result ? "" : describe(result.error())}});
    const auto *service = m_context.routeTable->service(engine.service);
    const bool accepted = !result || result->status == 202;
    if (accepted && service != nullptr && service->engine) {
        const auto streams = LongestStreamRatio * toMilliseconds(m_context.speedsOf(engine.service).streamDuration());
        const auto lifetime = service->engine->roleChangeTime + fromMilliseconds(streams) + DirectoryLag;
        m_context.exclusions.add({engine.id, ExclusionReason::ChangingRole, role, lifetime}, m_context.clock.now());
    }
    if (result && m_context.protocol.isFencedOff(*result)) {
        m_holder.resign("an engine has accepted a higher fencing token");
    }
}

} // namespace currantstack
