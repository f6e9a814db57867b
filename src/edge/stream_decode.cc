// The decode phase of a stream: relays complete events, detects stalls, and resumes on another engine if the route allows it.
#include "currantstack/edge/upstream_links.h"
#include "event_order.h"
#include "stream_request.h"

namespace currantstack
{

namespace
{

// Retry-After of a refusal that is not caused by load.
constexpr Duration ShortRetryAfter = milliseconds(30);
// An event that is not complete after the longest of these times will not be. Callers disconnect sooner.
constexpr Duration LongestEventTime = seconds(5);
constexpr int EventTimeGapFactor = 10; // as a multiple of the gap goal
constexpr int EventTimeGoalFactor = 5; // as a multiple of the latency goal
// A prompt that crashes engines does so when they begin to answer it. An engine that has sent events for this time has survived it.
constexpr Duration SurvivalTime = seconds(1);
constexpr std::size_t MaxErrorBody = 1U << 20; // bytes
// A caller whose unread events exceed this is disconnected. It is far more than a complete stream.
constexpr std::size_t MaxCallerBacklog = 4U << 20; // bytes
// Share of a KV handle's lifetime in which it may be sent to another decode engine. The rest is left for the reservation and the
// transfer.
constexpr double UsableHandleLifetimeShare = 0.8;

} // namespace

auto StreamRequest::startDecode() -> void
{
    if (const auto refusal = checkQuarantine(m_context, m_request)) {
        fail(false, refusal->reason, refusal->retryAfter);
        return;
    }
    if (refuseIfTooLong(m_context.speedsOf(m_request.service).expectedDuration(m_request.metadata.shape))) {
        return;
    }
    const auto now = m_context.clock.now();
    m_decoding = true;
    m_sentAt = now;
    m_workEndsAt = workEndsAt(m_context, m_request);
    if (m_events == 0) {
        m_decodeStartedAt = now;
        m_lastEventAt = now;
    }
    m_splitter = {};
    m_heldData.clear();
    m_heldEnd.reset();
    m_isRunVerified = false;
    m_sequence.beginRun();
    m_disorder = {};
    m_fillerBytes = 0;
    m_partialSince.reset();
    m_heldFiller.clear();
    m_begunAt.reset();
    m_survivalRecorded = false;
    m_collectingError = false;
    m_framing = BodyFraming::None;
    // The route limits the engines that run a request, not its sends; engines that have ended do not count.
    m_attemptsOfCall = m_asksSameEngine || m_checksExit ? 0 : 1;
    m_attempts.onAttempt(m_attemptsOfCall);
    m_request.calls.onSent();
    if (m_kvSource.empty()) {
        m_queuedPromptTokens = queuedPromptTokens(m_decodeEngine);
    }
    ForwardSpec spec;
    spec.kvSource = m_kvSource;
    spec.reservation = std::exchange(m_reservation, {});
    spec.lastEventId = m_sequence.lastId();
    spec.rank = m_request.rank();
    HttpHandlers handlers;
    handlers.onHead = [self = shared_from_this()](int status, const Headers &headers) { self->onHead(status, headers); };
    handlers.onData = [self = shared_from_this()](std::string_view data) { self->onData(data); };
    handlers.onDone = [self = shared_from_this()](const Result<HttpResponse> &result) { self->onDecodeDone(result); };
    m_decodeCall = m_context.client.start(upstreamCall(m_context, m_request, m_decodeEngine, spec), std::move(handlers));
    restartStallTimer();
    if (m_checksEnd) {
        m_stallTimer->startOnce(EndCheckTime);
    }
}

auto StreamRequest::onHead(int status, const Headers &headers) -> void
{
    if (m_done) {
        return;
    }
    recordReached(m_context, m_decodeEngine, m_sentAt);
    const auto head = m_context.protocol.parseHead(status, headers, m_request.metadata);
    const auto outcome = classifyHead(status, head);
    observeLimit(m_context, m_decodeEngine, status, head, m_sentAt);
    observeNotices(m_context, m_decodeEngine, status, head);
    if (outcome != AttemptOutcome::Answered) {
        cancelDecodeCall();
        // A stream that has begun cannot be refused, so that it must not lose its last attempt to a process that has not run it.
        const bool isMisdirected = m_headSent && outcome == AttemptOutcome::NotRun && status == MisdirectedRequest;
        onDecodeBroken(isMisdirected ? AttemptOutcome::Misdirected : outcome, fmt::format("status {}", status),
                       {status == MisdirectedRequest, false});
        return;
    }
    if (status != 200 && m_headSent) {
        // The caller cannot get the error in the middle of its stream, but another engine may go on with it.
        cancelDecodeCall();
        if (endUnchecked("the engine refuses to continue a stream that may be complete")) {
            return;
        }
        onDecodeBroken(AttemptOutcome::Unknown, fmt::format("status {}", status), {});
        return;
    }
    m_context.reach.onServed(m_decodeEngine, m_sentAt);
    m_handle.clear(); // the decode engine has fetched the KV cache
    m_framing = framingOf(status, headers);
    if (status != 200) {
        m_collectingError = true;
        m_errorAnswer = {status, m_context.protocol.answerHeaders(headers), ""};
        return;
    }
    if (!m_headSent) {
        m_answerStatus = status;
        m_answerHeaders = m_context.protocol.answerHeaders(headers);
    }
    if (continuesEvents()) {
        verifyRun();
    }
}

/// Returns whether the caller has events of an earlier run, so that those of this run must be of the same software version.
auto StreamRequest::continuesEvents() const -> bool
{
    return m_headSent || m_sequence.lastId() || hasBegunElsewhere();
}

/// Holds the run back until it is known to be that of the process which the engine's entry names: the id stays the same when an engine
/// restarts with another software version.
auto StreamRequest::verifyRun() -> void
{
    if (m_decodeEngine.startedAtMs == 0) {
        return; // no report can tell its process from the next one
    }
    m_runVerification = std::make_shared<RunVerification>(m_context, m_decodeEngine, m_request.metadata.requestId,
                                                          [self = shared_from_this()](RunOwner owner) { self->onRunVerified(owner); });
    m_runVerification->start();
}

auto StreamRequest::onRunVerified(RunOwner owner) -> void
{
    m_runVerification.reset();
    if (m_done || m_decodeCall == 0) {
        return;
    }
    if (owner != RunOwner::Expected) {
        m_heldData.clear(); // it tells nothing about the stream
        breakOff(owner == RunOwner::Other ? "another process than that of the engine's entry runs the request"
                                          : "the process that runs the request is not known");
        return;
    }
    m_isRunVerified = true;
    passOn(std::exchange(m_heldData, {}));
    if (m_heldEnd && !m_done && m_decodeCall != 0) {
        onRunEnded(*std::exchange(m_heldEnd, std::nullopt));
    }
}

/// Gives the call in flight up. What is held back of its run is not passed on.
auto StreamRequest::cancelDecodeCall() -> void
{
    m_context.client.cancel(std::exchange(m_decodeCall, 0));
    if (m_runVerification) {
        std::exchange(m_runVerification, nullptr)->cancel();
    }
}

auto StreamRequest::onData(std::string_view data) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    if (m_collectingError) {
        if (m_errorAnswer.body.size() + data.size() > MaxErrorBody) {
            breakOff("the error response is too long");
            return;
        }
        m_errorAnswer.body.append(data);
        return;
    }
    recordHeard(m_context, m_decodeEngine);
    m_context.reach.onServed(m_decodeEngine, m_context.clock.now() - LateByteTime + EndSettleTime);
    if (!m_runVerification) {
        passOn(data);
    } else if (m_heldData.size() + data.size() > MaxCallerBacklog) {
        breakOff("the run sends too much before it is verified");
    } else {
        m_heldData.append(data);
    }
}

auto StreamRequest::passOn(std::string_view data) -> void
{
    const bool isWithinLimit = m_splitter.feed(data, [this](const RawEvent &event) {
        m_partialSince.reset();
        onEvent(event);
    });
    if (m_splitter.hasPartial()) {
        m_partialSince = m_partialSince.value_or(m_context.clock.now());
    }
    if (!m_disorder.empty()) {
        breakOff(m_disorder);
    } else if (!isWithinLimit) {
        breakOff("an event exceeds the size limit");
    } else if (m_fillerBytes > EventSplitter::MaxEventBytes) {
        breakOff("the stream has no events");
    } else if (m_request.exchange->hasBacklog(MaxCallerBacklog)) {
        fail(false, "the caller reads too slowly", Duration::zero());
    }
}

auto StreamRequest::breakOff(std::string_view reason) -> void
{
    if (m_done || m_decodeCall == 0) {
        return; // ended by an event of the same data
    }
    cancelDecodeCall();
    m_collectingError = false;
    onDecodeBroken(AttemptOutcome::Unknown, reason, {});
}

auto StreamRequest::recordSurvival() -> void
{
    const auto now = m_context.clock.now();
    m_begunAt = m_begunAt.value_or(now);
    if (!m_survivalRecorded && now - *m_begunAt >= SurvivalTime) {
        m_survivalRecorded = true;
        m_context.quarantine.recordSuccess(m_request.traits, now);
    }
}

auto StreamRequest::onDecodeDone(const Result<HttpResponse> &result) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    m_endedAt = m_context.clock.now();
    if (m_runVerification && result) {
        m_heldEnd = result;
        return;
    }
    onRunEnded(result);
}

auto StreamRequest::onRunEnded(const Result<HttpResponse> &result) -> void
{
    cancelDecodeCall();
    if (!result) {
        onDecodeFailed(result.error());
        return;
    }
    if (mayBeStopped()) {
        fail(true, "the engine's time is over", Duration::zero());
        return;
    }
    if (m_framing == BodyFraming::Connection && incompleteReason().empty()) {
        confirmEnd();
        return;
    }
    if (mayBeCutByExit()) {
        m_checksEnd = m_checksExit = true;
        confirmEnd();
        return;
    }
    onDecodeEnd();
}

auto StreamRequest::onDecodeFailed(const Error &error) -> void
{
    observeFailedCall(m_context, m_request, m_decodeEngine, error, m_sentAt);
    onDecodeBroken(classifyError(error), describe(error), evidenceOf(error));
}

auto StreamRequest::onDecodeEnd() -> void
{
    if (m_collectingError) {
        m_attempts.onOutcome(AttemptOutcome::Answered, m_attemptsOfCall);
        m_context.log.write("stream", "engine_failed",
                            {{"request", m_request.metadata.requestId}, {"engine", m_decodeEngine.id}, {"status", m_errorAnswer.status}});
        m_request.exchange->respond(std::move(m_errorAnswer));
        finish();
        return;
    }
    if (const auto reason = incompleteReason(); !reason.empty()) {
        Error error{ErrorCode::Unavailable, "forward", m_decodeEngine.id, std::string(reason)};
        error.connectionClosed = true;
        observeFailedCall(m_context, m_request, m_decodeEngine, error, m_sentAt);
        onDecodeBroken(AttemptOutcome::Unknown, reason, evidenceOf(error));
        return;
    }
    m_attempts.onOutcome(AttemptOutcome::Answered, m_attemptsOfCall);
    if (isEndCheck() && !m_checksExit) {
        m_context.endChecks[m_request.service].onChecked(false);
    }
    complete();
}

auto StreamRequest::restartStallTimer() -> void
{
    if (!m_stallTimer) {
        m_stallTimer = m_context.loop.timer([self = shared_from_this()]() { self->onStall(); });
    }
    if (!m_request.route->resumable) {
        m_stallTimer->startOnce(UpstreamSilence::ProbeAfter);
        return;
    }
    m_stallTimer->startOnce(eventTimeout(m_begunAt.has_value(), m_headSent, m_expectedFirstEvent));
}

/// Returns since when the call in flight has brought no event.
auto StreamRequest::awaitedSince() const -> TimePoint
{
    return std::max(m_sentAt, m_lastEventAt);
}

/// Returns whether the engine has sent the begin of an event and does not complete it.
auto StreamRequest::isStuckInEvent() const -> bool
{
    const auto &route = *m_request.route;
    const auto limit = std::max<Duration>({LongestEventTime, EventTimeGapFactor * route.gapGoal, EventTimeGoalFactor * route.latencyGoal});
    return m_partialSince && m_context.clock.now() - *m_partialSince >= limit;
}

/// Ends a call that brings no event any more: its engine is gone, or does not complete an event. Returns false if neither is certain.
auto StreamRequest::endsInVain() -> bool
{
    const auto now = m_context.clock.now();
    const auto since = awaitedSince();
    m_context.silence.onAwaited(m_decodeEngine, since, now);
    const auto reason = m_context.silence.endReason(m_decodeEngine, entryStateOf(m_context, m_decodeEngine), since, now);
    if (reason == EndReason::None && !isStuckInEvent()) {
        return false;
    }
    m_context.counters.at("streams_ended_in_vain").add();
    m_context.log.write("stream", "stream_ends_in_vain",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"entry", name(entryStateOf(m_context, m_decodeEngine))},
                         {"reason", reason == EndReason::None ? "partial_event" : name(reason)},
                         {"unanswered", m_context.silence.unanswered(m_decodeEngine.id)},
                         {"silent_ms", toMilliseconds(now - since)},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)}});
    breakOff(reason == EndReason::None ? "the stream completes no event" : "the engine is gone");
    return true;
}

auto StreamRequest::onDecodeBroken(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) -> void
{
    m_attempts.onOutcome(outcome, m_attemptsOfCall);
    if (outcome == AttemptOutcome::NotSent) {
        m_request.calls.onNotSent();
    }
    const bool handleLost = outcome == AttemptOutcome::NotRun && !m_kvSource.empty() && !evidence.entryOutdated;
    if (!handleLost) {
        recordFailure(m_decodeEngine, evidence);
    }
    logBroken(outcome, reason, evidence);
    if (const auto refusal = checkQuarantine(m_context, m_request)) {
        fail(false, refusal->reason, refusal->retryAfter);
        return;
    }
    const bool notStarted = !m_headSent && (outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::NotSent);
    if (notStarted) {
        cancelSuccessor();
        if (!restart(outcome)) {
            fail(false, reason, ShortRetryAfter);
        }
        return;
    }
    if (m_splitter.hasPartial()) {
        recordCutEnd();
    }
    m_mayHaveEnded = evidence.endDoubtful || (m_mayHaveEnded && !m_splitter.hasPartial() && m_heldData.empty());
    m_stallTimer->stop();
    release(m_decodeClaim);
    if (m_successorClaim.engine.empty()) { // otherwise a reservation is under way already
        resume(reason);
    }
}

auto StreamRequest::logBroken(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) const -> void
{
    m_context.log.write("stream", "stream_broken",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"connection_closed", evidence.connectionClosed},
                         {"framing", name(m_framing)},
                         {"entry", name(entryStateOf(m_context, m_decodeEngine))},
                         {"events", m_events},
                         {"after_event", eventField(m_sequence.lastId())},
                         {"silent_ms", toMilliseconds(m_context.clock.now() - m_lastEventAt)}});
}

/// Retries a request that no engine has run: with the prefilled KV cache if the prefill engine still retains it, else from the
/// prefill on. Returns false if no retry is allowed.
auto StreamRequest::restart(AttemptOutcome outcome) -> bool
{
    const auto now = m_context.clock.now();
    if (!m_attempts.mayRetry() || now >= m_request.deadline()) {
        return false;
    }
    // If the response to the prefill was read late, the refusal may mean that the KV cache has expired.
    const bool mayBeGone = !m_handle.empty() && outcome == AttemptOutcome::NotRun && !isRetained(std::min(m_prefilledAt, m_prefillDueAt));
    const bool mayRedirect = !m_handle.empty() && !mayBeGone && isRetained(m_prefilledAt);
    const bool prefillsAgain = !m_kvSource.empty() && !mayRedirect;
    if (!acquireRetries(m_context, m_request, m_request.calls, prefillsAgain)) {
        return false;
    }
    if (m_stallTimer) {
        m_stallTimer->stop();
    }
    release(m_decodeClaim);
    if (mayRedirect && redirect()) {
        return true;
    }
    freeHandle();
    placeOrEnqueue();
    return true;
}

/// Returns whether the KV cache of a prefill that ended at this time is retained for long enough to be fetched.
auto StreamRequest::isRetained(TimePoint prefilledAt) const -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    const auto lifetime = toMilliseconds(service->engine->handleLifetime);
    return m_context.clock.now() - prefilledAt <= fromMilliseconds(UsableHandleLifetimeShare * lifetime);
}

/// Chooses another decode engine for a prefilled prompt. Returns false if the KV handle expires too soon or no decode engine has
/// capacity.
auto StreamRequest::redirect() -> bool
{
    if (m_handle.empty() || !isRetained(m_prefilledAt)) {
        return false;
    }
    const auto next = plan([this](const PlacementInputs &inputs) { return planTransfer(inputs, m_prefillEngine, m_context.random); });
    if (!next) {
        return false;
    }
    m_decodeEngine = *next->decode;
    m_expectedFirstEvent = next->timeToFirstToken;
    m_context.counters.at("streams_redirected").add();
    m_context.log.write("stream", "stream_redirected",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"prefill", m_prefillEngine.id},
                         {"kept_ms", toMilliseconds(m_context.clock.now() - m_prefilledAt)},
                         {"sends", m_attempts.count()}});
    claimDecode(false);
    reserve(*next);
    return true;
}

} // namespace currantstack
