#include "currantstack/edge/role_controller.h"

namespace currantstack
{

namespace
{

constexpr Duration CallLimit = milliseconds(800); // of a report or an order

} // namespace

RoleController::RoleController(EdgeContext &context, OrderHolder &holder)
    : m_context(context)
    , m_holder(holder)
    , m_timer(context.loop.timer([this]() { review(); }))
{ }

auto RoleController::start() -> void
{
    m_timer->startRepeating(Period, Period);
}

auto RoleController::stop() -> void
{
    m_timer->stop();
}

auto RoleController::review() -> void
{
    const auto fence = m_holder.fence();
    if (!fence || !m_context.table) {
        m_announced.clear();
        return;
    }
    orderAnnounced();
    for (const auto &service : m_context.table->services) {
        if (service.engine) {
            reviewService(service, *fence);
        }
    }
}

auto RoleController::reviewService(const ServiceSpec &service, std::int64_t fence) -> void
{
    const auto now = m_context.clock.now();
    const auto &speeds = m_context.speedsOf(service.name);
    const ServiceCost own{service.name, speeds.requestCost(), speeds.observedStreams()};
    const auto seen = m_context.costs.mean(
        own, [](std::string_view /*source*/) { return true; }, now);
    if (seen.streams < FewestStreams) {
        return;
    }
    const auto engines = m_context.directory.usable(service.name);
    const auto &cost = seen.cost;
    const double wanted = balancedPrefillEngines(cost, *service.engine, engines.size());
    auto &planner = m_planners[service.name];
    for (const auto &change : planner.propose(engines, wanted, fromMilliseconds(cost.streamMs), now)) {
        planner.onOrdered(change.engine->id, change.role, now);
        m_context.log.write("orders", "role_change_wanted",
                            {{"service", service.name},
                             {"engine", change.engine->id},
                             {"role", name(change.role)},
                             {"fence", fence},
                             {"engines", engines.size()},
                             {"prefill_wanted", wanted},
                             {"read_ms", cost.prefillMs},
                             {"stream_ms", cost.streamMs},
                             {"kv_tokens", cost.kvTokens},
                             {"streams_seen", seen.streams}});
        announce(change);
    }
}

auto RoleController::announce(const RoleChange &change) -> void
{
    m_context.exclusions.add({change.engine->id, ExclusionReason::ChangingRole, change.role, AnnouncementLife}, m_context.clock.now());
    m_announced.push_back({*change.engine, change.role});
}

auto RoleController::orderAnnounced() -> void
{
    for (const auto &[engine, role] : std::exchange(m_announced, {})) {
        readState(engine, role);
    }
}

auto RoleController::readState(const Upstream &engine, EngineRole role) -> void
{
    auto call = m_context.protocol.report(engine);
    call.totalTimeout = CallLimit;
    HttpHandlers handlers;
    handlers.onDone = [this, engine, role](const Result<HttpResponse> &result) {
        const auto state = result ? m_context.protocol.readReport(*result) : Result<EngineState>(tl::unexpected(result.error()));
        if (!state) {
            m_context.log.write("orders", "report_unreadable", {{"engine", engine.id}, {"error", describe(state.error())}});
        } else if (!state->busyWithOrder && state->role != role) {
            order(engine, role, state->orderCount);
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto RoleController::order(const Upstream &engine, EngineRole role, std::int64_t orderCount) -> void
{
    const auto fence = m_holder.fence();
    if (!fence) {
        return; // the key was lost while the report was under way
    }
    auto call = m_context.protocol.orderRole(engine, {role, m_context.settings.vm, *fence, orderCount});
    call.totalTimeout = CallLimit;
    HttpHandlers handlers;
    handlers.onDone = [this, engine, role, fence = *fence](const Result<HttpResponse> &result) { onOrdered(engine, role, fence, result); };
    m_context.counters.at("orders_sent").add();
    m_context.client.start(std::move(call), std::move(handlers));
}

auto RoleController::onOrdered(const Upstream &engine, EngineRole role, std::int64_t fence, const Result<HttpResponse> &result) -> void
{
    // An order without an answer may still be carried out; the count that it expects keeps it from undoing a later one.
    m_context.log.write("orders", "order_answered",
                        {{"engine", engine.id},
                         {"role", name(role)},
                         {"fence", fence},
                         {"status", result ? result->status : 0},
                         {"error", result ? "" : describe(result.error())}});
    const auto *service = m_context.table->service(engine.service);
    const bool accepted = !result || result->status == 202;
    if (accepted && service != nullptr && service->engine) {
        const auto streams = LongestStreamFactor * toMilliseconds(m_context.speedsOf(engine.service).streamDuration());
        const auto life = service->engine->roleChangeTime + fromMilliseconds(streams) + EntryDelay;
        m_context.exclusions.add({engine.id, ExclusionReason::ChangingRole, role, life}, m_context.clock.now());
    }
    if (result && m_context.protocol.isFencedOff(*result)) {
        m_holder.resign("an engine knows a higher fencing token");
    }
}

} // namespace currantstack
