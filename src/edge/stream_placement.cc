// Where a stream's prompt is read and its events are made.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A request is refused when its first event is expected later than this part of the goal: what waits behind it would be late too.
constexpr double FirstEventGoalShare = 1.0;
// A request whose own prompt takes long is admitted up to this multiple of the time that it takes alone.
constexpr double LongPromptFactor = 1.5;
// From its placement to its first event a request takes about this long when no prompt waits before its own.
constexpr Duration UnqueuedFirstEvent = milliseconds(250);

} // namespace

auto StreamRequest::views(EngineRole role) const -> std::vector<EngineView>
{
    const auto now = m_context.clock.now();
    const auto &exclusions = m_context.exclusions;
    std::vector<EngineView> result;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (upstream->role != role || upstream->busyWithOrder || exclusions.contains(upstream->id, role, m_context.storeUnreachable, now)) {
            continue;
        }
        const auto work = m_context.loads.total(upstream->id, now);
        if (exclusions.isFull(upstream->id, work.requests, now)) {
            continue;
        }
        const auto reach = m_context.settings.places.between(m_context.settings.place, upstream->place);
        const bool isAggregate = m_context.remoteLoadsAreAggregates && reach != Reach::SamePlace;
        result.push_back({upstream, work, m_context.health.weight(upstream->id, now), reach, isAggregate});
    }
    return result;
}

auto StreamRequest::plan(const PlanFunction &planFunction) const -> std::optional<StreamPlan>
{
    const auto *service = m_request.routeTable->service(m_request.service);
    if (service == nullptr || !service->engine) {
        return std::nullopt;
    }
    const auto prefill = views(EngineRole::Prefill);
    const auto decode = views(EngineRole::Decode);
    return planFunction({prefill, decode, m_request.metadata.shape, *service->engine, m_context.speedsOf(m_request.service),
                         m_context.settings.places, m_request.route->gapGoal});
}

auto StreamRequest::tokensPerEvent() const -> std::int64_t
{
    const auto *service = m_request.routeTable->service(m_request.service);
    return service != nullptr && service->engine ? service->engine->tokensPerEvent : 1;
}

/// Returns within which time the first event must be expected, from the request's arrival on.
auto StreamRequest::firstEventLimit() const -> Duration
{
    const auto goal = FirstEventGoalShare * toMilliseconds(m_request.route->latencyGoal);
    const auto readMs = m_request.metadata.shape.promptTokens / m_context.speedsOf(m_request.service).prefillRate();
    // A prompt that takes longer than the goal on an idle engine is late in any case, and no reason to refuse it.
    return fromMilliseconds(std::max(goal, LongPromptFactor * (readMs + toMilliseconds(UnqueuedFirstEvent))));
}

/// Returns whether no engine of the service could hold the request, even an idle one.
auto StreamRequest::isTooLarge() const -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    return service != nullptr && service->engine && m_request.metadata.shape.promptTokens >= static_cast<double>(service->engine->kvTokens);
}

/// Returns true where the request needs to wait no longer: it was placed, refused, or has ended.
auto StreamRequest::tryPlace() -> bool
{
    if (m_done) {
        return true;
    }
    const auto chosen = plan([this](const PlacementInputs &inputs) { return planStream(inputs, m_context.random); });
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    const bool late = chosen && age + chosen->firstToken > firstEventLimit();
    if (late) {
        // What is begun too late makes those behind it late as well.
        fail(false, "the first event would be late", retryDelay());
        return true;
    }
    if (!chosen) {
        return false;
    }
    leaveQueue();
    place(*chosen);
    return true;
}

auto StreamRequest::place(const StreamPlan &plan) -> void
{
    logPlan(plan);
    m_decodeEngine = *plan.decode;
    m_expectedPrefill = plan.readTime;
    m_expectedFirstEvent = plan.firstToken;
    // Memory at the decode engine is booked now, so that it is there when the prompt has been read.
    claimDecode(plan.prefill == nullptr);
    if (plan.prefill != nullptr) {
        const auto tokens = m_request.metadata.shape.promptTokens;
        m_prefillEngine = *plan.prefill;
        setClaim(m_prefillClaim, m_prefillEngine, {tokens, tokens, 1});
    }
    reserve(plan);
}

auto StreamRequest::placeOrEnqueue() -> void
{
    if (!tryPlace()) {
        enqueue(true);
    }
}

auto StreamRequest::execute(bool separatePrefill) -> void
{
    if (separatePrefill && m_kvSource.empty()) {
        startPrefill();
    } else {
        startDecode();
    }
}

/// Returns how long a request that joins the queues of all VMs now is expected to wait for memory.
auto StreamRequest::expectedWait() const -> Duration
{
    const auto now = m_context.clock.now();
    int running = 0;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (upstream->role == EngineRole::Decode) {
            running += m_context.loads.total(upstream->id, now).requests;
        }
    }
    const auto waiting = m_context.loads.total(m_request.service, now).requests;
    const auto streamMs = toMilliseconds(m_context.speedsOf(m_request.service).streamLength());
    return fromMilliseconds(streamMs * (waiting + 1) / std::max(1, running));
}

auto StreamRequest::enqueue(bool atHead) -> void
{
    const auto wait = expectedWait();
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    const auto slack = toMilliseconds(firstEventLimit() - UnqueuedFirstEvent);
    if (toMilliseconds(atHead ? age : wait) > slack) {
        fail(false, "no engine has room in time", retryDelay());
        return;
    }
    m_queued = true;
    m_context.loads.add(m_request.service, {0, 0, 1});
    m_context.log.write("stream", "waits_for_room",
                        {{"request", m_request.metadata.requestId},
                         {"expected_wait_ms", toMilliseconds(wait)},
                         {"waiting", m_context.loads.total(m_request.service, m_context.clock.now()).requests}});
    m_queueTimer = m_context.loop.timer([self = shared_from_this()]() {
        if (self->m_queued) {
            self->fail(false, "no engine had room in time", self->retryDelay());
        }
    });
    m_queueTimer->startOnce(fromMilliseconds(slack) - age);
    m_context.pendingQueue.enqueue(m_request.service, atHead, [self = shared_from_this()]() { return self->tryPlace(); });
}

auto StreamRequest::leaveQueue() -> void
{
    if (std::exchange(m_queued, false)) {
        m_context.loads.remove(m_request.service, {0, 0, 1});
    }
}

auto StreamRequest::claimDecode(bool withPrefill) -> void
{
    const auto &shape = m_request.metadata.shape;
    const auto kvTokens = m_context.speedsOf(m_request.service).expectedKv(shape);
    setClaim(m_decodeClaim, m_decodeEngine, {withPrefill ? shape.promptTokens : 0, kvTokens, 1});
}

auto StreamRequest::growDecodeClaim() -> void
{
    const auto used = m_request.metadata.shape.promptTokens + static_cast<double>(m_events * tokensPerEvent());
    const auto more = used - m_decodeClaim.work.kvTokens;
    if (more > 0) {
        m_context.loads.add(m_decodeClaim.engine, {0, more, 0});
        m_decodeClaim.work.kvTokens = used;
    }
}

auto StreamRequest::setClaim(LoadClaim &claim, const Upstream &engine, const WorkUnderWay &work) -> void
{
    release(claim);
    claim = {engine.id, work};
    m_context.loads.add(claim.engine, claim.work);
}

auto StreamRequest::release(LoadClaim &claim) -> void
{
    if (!claim.engine.empty()) {
        m_context.loads.remove(claim.engine, claim.work);
        claim = {};
    }
}

auto StreamRequest::releasePromptTokens() -> void
{
    const WorkUnderWay prompt{m_decodeClaim.work.promptTokens, 0, 0};
    if (prompt.promptTokens > 0) {
        m_context.loads.remove(m_decodeClaim.engine, prompt);
        m_decodeClaim.work.promptTokens = 0;
    }
}

auto StreamRequest::logPlan(const StreamPlan &plan) const -> void
{
    const auto now = m_context.clock.now();
    const auto &shape = m_request.metadata.shape;
    LogFields fields = {{"request", m_request.metadata.requestId}, {"route", m_request.route->name}, {"decode", plan.decode->id}};
    if (plan.prefill != nullptr) {
        fields["prefill"] = plan.prefill->id;
        fields["prefill_tokens_ahead"] = m_context.loads.total(plan.prefill->id, now).promptTokens;
    }
    const auto there = m_context.loads.total(plan.decode->id, now);
    fields.update({{"prompt_tokens", shape.promptTokens},
                   {"output_tokens", shape.outputTokens},
                   {"decode_requests", there.requests},
                   {"decode_kv_tokens", there.kvTokens},
                   {"expected_first_ms", toMilliseconds(plan.firstToken)},
                   {"peers_heard", m_context.loads.peers(now)},
                   {"send", m_attempt.sends() + 1},
                   {"routes_version", m_request.routeTable->version}});
    m_context.log.write("stream", "stream_placed", std::move(fields));
}

} // namespace currantstack
