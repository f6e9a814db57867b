// Choice of the engines that run a stream's prefill and decode, and admission control by expected latency.
#include "currantstack/edge/send_check.h"
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A stream is late if its first event is expected later than this share of the latency goal.
constexpr double FirstEventGoalShare = 1.0;
// A stream with a long prompt is late after this multiple of the time that it takes on an idle engine.
constexpr double LongPromptFactor = 1.5;
// Shares of all capacity: what streams leave to those of a higher rank, and late streams to those that can still meet their goal.
constexpr double ReservedShare = 0.03;
constexpr double LateReservedShare = 0.1;
constexpr double FewestReservedStreams = 1;
// A late stream is placed only if its first event is expected within this share of the goal.
constexpr double LateFirstEventShare = 0.75;
// Typical time from placement to the first event at an engine without queued prompts.
constexpr Duration UnqueuedFirstEvent = milliseconds(250);
// Retry-After of a refusal that is not caused by load.
constexpr Duration ShortRetryAfter = milliseconds(30);

} // namespace

auto StreamRequest::engineViews(EngineRole role) const -> std::vector<EngineView>
{
    const auto now = m_context.clock.now();
    const auto &exclusions = m_context.exclusions;
    std::vector<EngineView> result;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (upstream->role != role || upstream->busyWithOrder || exclusions.contains(upstream->id, role, m_context.storeUnreachable, now)) {
            continue;
        }
        if (!mayGetRequest(m_context, *upstream)) {
            continue;
        }
        if (role == EngineRole::Decode && (!mayGoOnAt(*upstream, m_version) || isAwaited(*upstream))) {
            continue;
        }
        const auto work = m_context.loads.total(upstream->id, now);
        if (exclusions.isFull(upstream->id, work.requests, now) || !m_context.rateLimiter.mayAdmit(upstream->id, now)) {
            continue;
        }
        const bool beginsThere = role == EngineRole::Decode && m_version == AnySoftwareVersion;
        if (beginsThere && !m_context.versions.isSettled(upstream->service, upstream->softwareVersion, now)) {
            continue;
        }
        const auto distance = m_context.settings.places.distance(m_context.settings.place, upstream->place);
        const bool isAggregate = m_context.remoteLoadsAreAggregates && distance != Distance::SamePlace;
        result.push_back({upstream, work, m_context.health.weight(upstream->id, now), distance, isAggregate});
    }
    return result;
}

/// Returns whether streams that can go on only at the engine's software version wait for capacity, and this one can go elsewhere.
auto StreamRequest::isAwaited(const Upstream &engine) const -> bool
{
    return m_version == AnySoftwareVersion && m_context.versions.isMixed(m_request.service)
        && !m_context.pendingQueue.isEmpty({m_request.service, softwareVersionKey(engine)});
}

/// Returns the number of engines at which the stream could go on if they had capacity.
auto StreamRequest::enginesOfVersion() const -> std::size_t
{
    const auto usable = m_context.directory.usable(m_request.service);
    return static_cast<std::size_t>(std::count_if(usable.begin(), usable.end(), [this](const auto *engine) {
        return mayGoOnAt(*engine, m_version) && !m_context.notices.isLeaving(*engine);
    }));
}

/// Leaves out the decode engines whose last capacity other VMs are to take. In a small fleet all VMs hear each other directly, and few
/// reservations are refused.
auto StreamRequest::withoutOthersCapacity(std::vector<EngineView> views) const -> std::vector<EngineView>
{
    const auto *service = m_request.routeTable->service(m_request.service);
    if (!m_context.remoteLoadsAreAggregates || hasBegunElsewhere() || service == nullptr || !service->engine) {
        return views;
    }
    const auto now = m_context.clock.now();
    const auto &spec = *service->engine;
    const auto kvOfStream = std::max(1.0, m_context.speedsOf(m_request.service).expectedKvTokens(m_request.metadata.shape));
    const auto waitingVms = m_context.loads.localReporters(m_request.service, now);
    const auto left = std::erase_if(views, [&](const EngineView &view) {
        const auto &upstream = *view.upstream;
        if (view.isAggregate) {
            return m_context.loads.requestsOfPlace(upstream.place, m_request.service, now) > 0
                || !m_context.remoteRefusals.mayTry(upstream.place, now);
        }
        const auto free = std::min(static_cast<double>(spec.slots - view.work.requests),
                                   (static_cast<double>(spec.kvTokens) - view.work.kvTokens) / kvOfStream);
        return view.work.requests > 0 && !mayTakeCapacity(upstream.id, std::floor(free), m_context.settings.vm, waitingVms);
    });
    m_context.counters.at("engines_left_to_other_vms").add(static_cast<std::int64_t>(left));
    return views;
}

auto StreamRequest::plan(const PlanFunction &planFunction) const -> std::optional<StreamPlan>
{
    const auto *service = m_request.routeTable->service(m_request.service);
    if (service == nullptr || !service->engine) {
        return std::nullopt;
    }
    const auto prefill = engineViews(EngineRole::Prefill);
    const auto decode = engineViews(EngineRole::Decode);
    return planFunction({prefill, decode, m_request.metadata.shape, *service->engine, m_context.speedsOf(m_request.service),
                         m_context.settings.places, m_request.route->gapGoal, isUrgent()});
}

auto StreamRequest::isUrgent() const -> bool
{
    return m_request.routeTable->isUrgent(m_request.service, m_request.rank());
}

/// Returns whether the caller has received events of the stream through another VM, and waits for the next one.
auto StreamRequest::hasBegunElsewhere() const -> bool
{
    return m_request.relay && m_request.relay->lastEventId;
}

auto StreamRequest::waitingStream(bool begun) const -> WaitingStream
{
    return {m_request.rank(), m_request.arrivedAt, m_request.arrivedAt + firstEventLimit() - UnqueuedFirstEvent, begun};
}

auto StreamRequest::queuedPromptTokens(const Upstream &engine) const -> double
{
    const auto work = m_context.loads.total(engine.id, m_context.clock.now());
    // The claim of this stream is included already.
    const auto &shape = m_request.metadata.shape;
    return isUrgent() ? promptTokensAhead(work, shape, true) : work.promptTokens;
}

/// Returns the capacity, in streams, that a new stream leaves to those of a higher rank, and a late one to those that can still meet
/// their goal, so that these need not wait until one ends.
auto StreamRequest::reservedStreams(const PlacementInputs &inputs) const -> double
{
    const bool hasHigherRank = m_request.routeTable->hasHigherRank(m_request.service, m_request.rank());
    const auto share = (hasHigherRank ? ReservedShare : 0) + (isLate() ? LateReservedShare : 0);
    return share > 0 ? std::max(FewestReservedStreams, share * totalStreams(inputs)) : 0;
}

/// Returns whether the first event is too late for the latency goal even if the stream is placed now.
auto StreamRequest::isLate() const -> bool
{
    return m_context.clock.now() - m_request.arrivedAt > firstEventLimit() - UnqueuedFirstEvent;
}

auto StreamRequest::tokensPerEvent() const -> std::int64_t
{
    const auto *service = m_request.routeTable->service(m_request.service);
    return service != nullptr && service->engine ? service->engine->tokensPerEvent : 1;
}

/// Returns the longest admissible time from the request's arrival to its expected first event.
auto StreamRequest::firstEventLimit() const -> Duration
{
    const auto goal = FirstEventGoalShare * toMilliseconds(m_request.route->latencyGoal);
    const auto prefillMs = m_request.metadata.shape.promptTokens / m_context.speedsOf(m_request.service).prefillRate();
    // A prompt that misses the goal even on an idle engine gets a limit relative to its time there instead.
    return fromMilliseconds(std::max(goal, LongPromptFactor * (prefillMs + toMilliseconds(UnqueuedFirstEvent))));
}

/// Returns whether the prompt exceeds the KV memory of even an idle engine.
auto StreamRequest::isTooLarge() const -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    return service != nullptr && service->engine && m_request.metadata.shape.promptTokens >= static_cast<double>(service->engine->kvTokens);
}

/// Returns whether the plan meets the latency goal or, for a stream that has missed it, leaves the prefill engines time for those that can
/// still meet theirs.
auto StreamRequest::isSoonEnough(const StreamPlan &plan) const -> bool
{
    if (hasBegunElsewhere()) {
        return true;
    }
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    const auto limit = firstEventLimit();
    return isLate() ? plan.timeToFirstToken <= fromMilliseconds(LateFirstEventShare * toMilliseconds(limit))
                    : age + plan.timeToFirstToken <= limit;
}

/// Returns true if the request leaves the queue: it was placed, refused, or has ended.
auto StreamRequest::tryPlace(bool isTurn) -> bool
{
    if (m_done || leaveIfCutOff()) {
        return true;
    }
    const auto chosen = plan([this, isTurn](PlacementInputs inputs) -> std::optional<StreamPlan> {
        inputs.reservedStreams = isTurn ? 0 : reservedStreams(inputs);
        if (!leavesReserve(inputs)) {
            return std::nullopt;
        }
        inputs.reservedStreams = 0; // the reserve is a part of all capacity, also of what is left to other VMs
        const auto decode = withoutOthersCapacity({inputs.decode.begin(), inputs.decode.end()});
        inputs.decode = decode;
        return planStream(inputs, m_context.random);
    });
    if (!chosen || !isSoonEnough(*chosen)) {
        return false;
    }
    if (refuseIfTooLong(chosen->timeToFirstToken + m_context.speedsOf(m_request.service).expectedDuration(m_request.metadata.shape))) {
        return true;
    }
    leaveQueue();
    place(*chosen);
    return true;
}

auto StreamRequest::place(const StreamPlan &plan) -> void
{
    logPlan(plan);
    m_decodeEngine = *plan.decode;
    m_expectedPrefill = plan.prefillTime;
    m_expectedFirstEvent = plan.timeToFirstToken;
    // The decode engine's memory is claimed before the prefill starts, so that other placements leave it free until the prefill is done.
    claimDecode(plan.prefill == nullptr);
    if (plan.prefill != nullptr) {
        const auto tokens = m_request.metadata.shape.promptTokens;
        m_prefillEngine = *plan.prefill;
        setClaim(m_prefillClaim, m_prefillEngine, workOf(tokens, tokens));
    }
    reserve(plan);
}

auto StreamRequest::placeOrEnqueue() -> void
{
    if (!tryPlace(true)) {
        enqueue(true);
    }
}

auto StreamRequest::execute(bool separatePrefill) -> void
{
    const bool startsPrefill = separatePrefill && m_kvSource.empty();
    if (!maySendTo(m_decodeEngine, "decode") || (startsPrefill && !maySendTo(m_prefillEngine, "prefill"))) {
        placeAgain();
    } else if (!acquireRetries(m_context, m_request, m_request.calls, startsPrefill)) {
        fail(false, "the retry budget is empty", ShortRetryAfter);
    } else if (startsPrefill) {
        startPrefill();
    } else {
        startDecode();
    }
}

/// Returns whether an engine of the plan may still get a call; a reservation or a prefill may have taken seconds since.
auto StreamRequest::maySendTo(const Upstream &engine, std::string_view way) -> bool
{
    return maySend(m_context, m_request, engine, way, m_plannedAt);
}

/// Replaces a plan whose engines take no requests any more, with the prefilled KV cache if there is one.
auto StreamRequest::placeAgain() -> void
{
    m_context.counters.at("streams_placed_again").add();
    m_context.log.write("stream", "plan_outdated",
                        {{"request", m_request.metadata.requestId},
                         {"decode", m_decodeEngine.id},
                         {"prefill", m_prefillClaim.engine},
                         {"prefilled", !m_handle.empty()}});
    dropReservation();
    release(m_prefillClaim);
    release(m_decodeClaim);
    if (!m_handle.empty() && redirect()) {
        return;
    }
    freeHandle();
    placeOrEnqueue();
}

/// Returns what is known about the wait of this request if it joins the queue now.
auto StreamRequest::queueEstimate() const -> QueueEstimate
{
    const auto now = m_context.clock.now();
    QueueEstimate estimate;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (upstream->role == EngineRole::Decode && mayGoOnAt(*upstream, m_version)) {
            estimate.running += m_context.loads.total(upstream->id, now).requests;
        }
    }
    const auto key = queueKey();
    const auto all = m_context.loads.total(m_request.service, now);
    const bool isForAnyVersion = key.version == AnySoftwareVersion;
    estimate.waiting = isForAnyVersion ? all.requests : static_cast<int>(m_context.pendingQueue.size(key));
    estimate.ahead = isForAnyVersion && isUrgent() ? all.urgentRequests : estimate.waiting;
    estimate.streamDuration = m_context.speedsOf(m_request.service).streamDuration();
    estimate.longestWait = m_context.pendingQueue.longestWait(key, m_request.rank());
    return estimate;
}

/// Returns how long this request waits in the queue at most, from its arrival.
auto StreamRequest::longestWait() const -> Duration
{
    if (hasBegunElsewhere()) {
        return m_request.deadline() - m_request.arrivedAt - UnqueuedFirstEvent;
    }
    const auto duration = m_context.speedsOf(m_request.service).expectedDuration(m_request.metadata.shape);
    return std::max(firstEventLimit() - UnqueuedFirstEvent,
                    lateWait(firstEventLimit(), m_request.deadline() - m_request.arrivedAt - duration - UnqueuedFirstEvent));
}

/// Returns how long the rate limits that the engines of this role name delay a request that joins the queue now; zero if any engine
/// of the role may get it.
auto StreamRequest::limitedWait(EngineRole role) const -> Duration
{
    const auto now = m_context.clock.now();
    const auto limited = limitedUpstreams(m_context, m_request.service, role);
    if (limited.empty() || !engineViews(role).empty()) {
        return Duration::zero();
    }
    const auto ahead = static_cast<double>(m_context.pendingQueue.size(queueKey())) / static_cast<double>(limited.size());
    auto shortest = Duration::max();
    for (const auto engine : limited) {
        shortest = std::min(shortest, m_context.rateLimiter.expectedWait(engine, ahead, now));
    }
    return shortest;
}

/// Refuses a request that the rate limits of its engines delay for longer than `maxWait`. Returns false if they do not.
auto StreamRequest::refuseForLimits(Duration maxWait) -> bool
{
    for (const auto role : {EngineRole::Decode, EngineRole::Prefill}) {
        if (limitedWait(role) <= std::max<Duration>(maxWait, Duration::zero())) {
            continue;
        }
        const auto limited = limitedUpstreams(m_context, m_request.service, role);
        const auto retryAfter = m_context.rateLimiter.retryAfter(limited, m_context.clock.now());
        logRefusalForLimits(m_context, m_request, limited, retryAfter);
        fail(false, RateLimitReason, retryAfter);
        return true;
    }
    return false;
}

/// Refuses a request if all engines of a role that it needs pause for longer than `maxWait`. Returns false if they do not.
auto StreamRequest::refuseForPause(Duration maxWait) -> bool
{
    for (const auto role : {EngineRole::Decode, EngineRole::Prefill}) {
        const auto pause = pauseOf(m_context, m_request.service, [this, role](const Upstream &engine) {
            return engine.role == role && (role == EngineRole::Prefill || mayGoOnAt(engine, m_version));
        });
        if (pause > std::max<Duration>(maxWait, Duration::zero())) {
            const auto retryAfter = retryAfterPause(m_context, pause);
            logRefusalForPause(m_context, m_request, pause, retryAfter);
            fail(false, PauseReason, retryAfter);
            return true;
        }
    }
    return false;
}

auto StreamRequest::enqueue(bool atHead) -> void
{
    const auto estimate = queueEstimate();
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    const Duration onTimeWait = firstEventLimit() - UnqueuedFirstEvent;
    const Duration pauseLimit = hasBegunElsewhere() ? longestWait() - age : onTimeWait - age;
    if (refuseForPause(pauseLimit) || refuseForLimits(pauseLimit)) {
        return;
    }
    const bool begun = atHead || hasBegunElsewhere();
    // Another VM's answer mostly settles the versions within milliseconds.
    const bool awaitsVersion =
        m_version == AnySoftwareVersion && m_context.versions.settlesIn(m_request.service, m_context.clock.now()) > Duration::zero();
    const bool mayJoin = hasBegunElsewhere() || awaitsVersion || mayWait(expectedWait(estimate), onTimeWait - age)
        || mayWaitLate(estimate, longestWait() - age);
    if (atHead ? age > longestWait() : !mayJoin) {
        if (handOverIfUnreached("no engine that this VM reaches is expected to have capacity in time")) {
            return;
        }
        fail(false, "no engine is expected to have capacity in time", retryDelay());
        return;
    }
    m_queued = true;
    m_context.loads.add(m_request.service, workOf(0, 0));
    m_context.log.write("stream", "waits_for_room",
                        {{"request", m_request.metadata.requestId},
                         {"rank", m_request.rank()},
                         {"expected_wait_ms", toMilliseconds(expectedWait(estimate))},
                         {"ahead", estimate.ahead},
                         {"waiting", estimate.waiting}});
    m_queueTimer = m_context.loop.timer([self = shared_from_this()]() {
        if (self->m_queued && !self->handOverIfUnreached("no engine that this VM reaches had capacity in time")) {
            self->fail(false, "no engine had capacity in time", self->retryDelay());
        }
    });
    m_queueTimer->startOnce(longestWait() - age);
    m_context.pendingQueue.enqueue(queueKey(), waitingStream(begun),
                                   [self = shared_from_this(), begun](bool isTurn) { return self->tryPlace(isTurn || begun); });
}

auto StreamRequest::queueKey() const -> QueueKey
{
    // While there is one version, all streams wait in one queue, unless those that begin there wait for it to settle.
    const auto &versions = m_context.versions;
    const bool isOnlyVersion = m_version == versions.onlyVersion(m_request.service);
    const bool sharesQueue = isOnlyVersion && versions.hasSettled(m_request.service, m_context.clock.now());
    return {m_request.service, sharesQueue ? AnySoftwareVersion : m_version};
}

auto StreamRequest::leaveQueue() -> void
{
    if (std::exchange(m_queued, false)) {
        m_context.loads.remove(m_request.service, workOf(0, 0));
        if (m_queueTimer) {
            m_queueTimer->stop();
        }
    }
}

auto StreamRequest::claimDecode(bool withPrefill) -> void
{
    m_plannedAt = m_context.clock.now();
    setClaim(m_decodeClaim, m_decodeEngine, decodeWork(withPrefill));
}

auto StreamRequest::decodeWork(bool withPrefill) const -> InFlightWork
{
    const auto &shape = m_request.metadata.shape;
    return workOf(withPrefill ? shape.promptTokens : 0, m_context.speedsOf(m_request.service).expectedKvTokens(shape));
}

/// Returns the work of this request at one engine, or of its wait in the queue.
auto StreamRequest::workOf(double promptTokens, double kvTokens) const -> InFlightWork
{
    return isUrgent() ? InFlightWork{promptTokens, kvTokens, 1, promptTokens, 1} : InFlightWork{promptTokens, kvTokens, 1};
}

auto StreamRequest::growDecodeClaim() -> void
{
    const auto used = m_request.metadata.shape.promptTokens + static_cast<double>(m_events * tokensPerEvent());
    const auto growth = used - m_decodeClaim.work.kvTokens;
    if (growth > 0) {
        m_context.loads.add(m_decodeClaim.engine, {0, growth, 0});
        m_decodeClaim.work.kvTokens = used;
    }
}

auto StreamRequest::setClaim(LoadClaim &claim, const Upstream &engine, const InFlightWork &work) -> void
{
    release(claim);
    claim = {engine.id, work};
    m_context.loads.add(claim.engine, claim.work);
    m_context.rateLimiter.onSent(engine.id, m_context.clock.now()); // each claim is for one call with the caller's request
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
    const InFlightWork prompt{m_decodeClaim.work.promptTokens, 0, 0, m_decodeClaim.work.urgentPromptTokens, 0};
    if (prompt.promptTokens > 0) {
        m_context.loads.remove(m_decodeClaim.engine, prompt);
        m_decodeClaim.work.promptTokens = 0;
        m_decodeClaim.work.urgentPromptTokens = 0;
    }
}

auto StreamRequest::logPlan(const StreamPlan &plan) const -> void
{
    const auto now = m_context.clock.now();
    const auto &shape = m_request.metadata.shape;
    LogFields fields = {{"request", m_request.metadata.requestId}, {"route", m_request.route->name}, {"decode", plan.decode->id}};
    fields["software_version"] = plan.decode->softwareVersion;
    const auto knownSince = m_context.versions.knownSince(plan.decode->service, plan.decode->softwareVersion);
    fields["version_known_ms"] = knownSince ? toMilliseconds(now - *knownSince) : 0.0;
    const auto recordedSince = m_context.versions.recordedSince(plan.decode->service, plan.decode->softwareVersion);
    fields["version_recorded_ms"] = recordedSince ? toMilliseconds(now - *recordedSince) : 0.0;
    if (plan.prefill != nullptr) {
        fields["prefill"] = plan.prefill->id;
        fields["prefill_software_version"] = plan.prefill->softwareVersion;
        fields["prefill_tokens_ahead"] = m_context.loads.total(plan.prefill->id, now).promptTokens;
    }
    const auto decodeLoad = m_context.loads.total(plan.decode->id, now);
    fields.update({{"fingerprint", fingerprintText(m_request.fingerprint)},
                   {"prompt_tokens", shape.promptTokens},
                   {"output_tokens", shape.outputTokens},
                   {"decode_requests", decodeLoad.requests},
                   {"decode_kv_tokens", decodeLoad.kvTokens},
                   {"expected_first_ms", toMilliseconds(plan.timeToFirstToken)},
                   {"peers_heard", m_context.loads.reportingPeers(now)},
                   {"send", m_attempts.count() + 1},
                   {"routes_version", m_request.routeTable->version}});
    m_context.log.write("stream", "stream_placed", std::move(fields));
}

} // namespace currantstack
