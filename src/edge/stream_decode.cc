// The events of a stream: relayed whole, watched for stalls, and continued at another engine where that is allowed.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A resumable stream moves when its engine is silent for so long. Shorter than the time after which callers leave, longer than
// the pauses of an engine that is only busy.
constexpr Duration StallTimeout = milliseconds(900);
// A refusal that has nothing to do with load: the caller may come back at once.
constexpr Duration ShortRetryAfter = milliseconds(30);
// Before the first event the engine may take longer than was expected by this factor and margin.
constexpr double FirstEventTimeoutFactor = 2;
constexpr Duration FirstEventTimeoutMargin = milliseconds(700);
// The rest of a kept prompt's life is left to the reservation and the transfer.
constexpr double UsableHandleLifeShare = 0.8;

} // namespace

auto StreamRequest::startDecode() -> void
{
    const auto now = m_context.clock.now();
    m_decoding = true;
    m_sentAt = now;
    if (m_events == 0) {
        m_decodeStartedAt = now;
        m_lastEventAt = now;
    }
    m_splitter = {};
    m_collectingError = false;
    m_attempt.onSend();
    if (m_kvSource.empty()) {
        m_queuedPromptTokens = m_context.loads.total(m_decodeEngine.id, now).promptTokens;
    }
    ForwardSpec spec;
    spec.kvSource = m_kvSource;
    spec.reservation = std::exchange(m_reservation, {});
    spec.lastEventId = m_lastEventId;
    HttpHandlers handlers;
    handlers.onHead = [self = shared_from_this()](int status, const Headers &headers) { self->onHead(status, headers); };
    handlers.onData = [self = shared_from_this()](std::string_view data) { self->onData(data); };
    handlers.onDone = [self = shared_from_this()](const Result<HttpResponse> &result) { self->onDecodeDone(result); };
    m_decodeCall = m_context.client.start(upstreamCall(m_context, m_request, m_decodeEngine, spec), std::move(handlers));
    restartStallTimer();
}

auto StreamRequest::onHead(int status, const Headers &headers) -> void
{
    if (m_done) {
        return;
    }
    const auto head = m_context.protocol.parseHead(status, headers, m_request.metadata);
    const auto outcome = classifyHead(status, head);
    if (outcome != SendOutcome::Answered) {
        m_context.client.cancel(std::exchange(m_decodeCall, 0));
        onDecodeBroken(outcome, fmt::format("status {}", status), status == MisdirectedRequest);
        return;
    }
    m_handle.clear(); // the engine has taken it
    if (status != 200) {
        m_collectingError = true;
        m_errorAnswer = {status, m_context.protocol.answerHeaders(headers), ""};
        return;
    }
    if (!m_headSent) {
        m_answerStatus = status;
        m_answerHeaders = m_context.protocol.answerHeaders(headers);
    }
}

auto StreamRequest::onData(std::string_view data) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    if (m_collectingError) {
        m_errorAnswer.body.append(data);
        return;
    }
    if (!m_splitter.feed(data, [this](const RawEvent &event) { onEvent(event); })) {
        m_context.client.cancel(std::exchange(m_decodeCall, 0));
        onDecodeBroken(SendOutcome::Unknown, "an event is too long");
    }
}

auto StreamRequest::onEvent(const RawEvent &event) -> void
{
    if (m_done) {
        return;
    }
    if (event.id && *event.id <= m_lastEventId) {
        return; // the caller has it from the engine before
    }
    const auto now = m_context.clock.now();
    if (!m_headSent) {
        onFirstEvent();
    } else {
        m_context.latencies.record("event_gap", now - m_lastEventAt);
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    releasePromptTokens();
    m_lastEventId = event.id.value_or(m_lastEventId + 1);
    m_lastEventAt = now;
    ++m_events;
    growDecodeClaim();
    m_request.exchange->write(event.bytes);
    restartStallTimer();
}

auto StreamRequest::onFirstEvent() -> void
{
    const auto now = m_context.clock.now();
    m_headSent = true;
    if (m_context.draining) {
        m_answerHeaders.push_back({"Connection", "close"});
    }
    m_request.exchange->beginStream(m_answerStatus, m_answerHeaders);
    m_firstEventAge = now - m_request.arrivedAt;
    m_context.latencies.record("first_event", m_firstEventAge);
    if (m_kvSource.empty()) {
        const auto reach = m_context.settings.places.between(m_context.settings.place, m_decodeEngine.place);
        m_context.speedsOf(m_request.service).observeMixed(m_queuedPromptTokens, now - m_sentAt - 2 * roundTrip(reach));
    }
    m_context.log.write("stream", "first_event",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"read_there", m_kvSource.empty()},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)},
                         {"expected_ms", toMilliseconds(m_expectedFirstEvent)}});
}

auto StreamRequest::onDecodeDone(const Result<HttpResponse> &result) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    m_decodeCall = 0;
    if (!result) {
        onDecodeBroken(classifyError(result.error()), describe(result.error()), result.error().connectionRefused);
        return;
    }
    if (m_collectingError) {
        m_attempt.onOutcome(SendOutcome::Answered);
        m_context.log.write("stream", "engine_failed",
                            {{"request", m_request.metadata.requestId}, {"engine", m_decodeEngine.id}, {"status", m_errorAnswer.status}});
        if (m_headSent) {
            m_request.exchange->abort();
        } else {
            m_request.exchange->respond(std::move(m_errorAnswer));
        }
        finish();
        return;
    }
    if (m_splitter.hasPartial()) {
        onDecodeBroken(SendOutcome::Unknown, "the stream ends inside an event");
        return;
    }
    m_attempt.onOutcome(SendOutcome::Answered);
    complete();
}

auto StreamRequest::restartStallTimer() -> void
{
    if (!m_request.route->resumable) {
        return;
    }
    if (!m_stallTimer) {
        m_stallTimer = m_context.loop.timer([self = shared_from_this()]() { self->onStall(); });
    }
    const auto first = fromMilliseconds(FirstEventTimeoutFactor * toMilliseconds(m_expectedFirstEvent)) + FirstEventTimeoutMargin;
    m_stallTimer->startOnce(m_headSent ? StallTimeout : first);
}

auto StreamRequest::onStall() -> void
{
    if (m_done || m_decodeCall == 0 || !m_attempt.maySendAgain() || !planResumption()) {
        return;
    }
    m_context.client.cancel(std::exchange(m_decodeCall, 0));
    onDecodeBroken(SendOutcome::Unknown, "no event in time");
}

auto StreamRequest::onDecodeBroken(SendOutcome outcome, std::string_view reason, bool entryOutdated) -> void
{
    const auto now = m_context.clock.now();
    m_attempt.onOutcome(outcome);
    const bool handleLost = outcome == SendOutcome::NotRun && !m_kvSource.empty() && !entryOutdated;
    if (!handleLost) {
        recordFailure(m_decodeEngine, entryOutdated);
    }
    m_context.log.write("stream", "stream_broken",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"events", m_events},
                         {"silent_ms", toMilliseconds(now - m_lastEventAt)}});
    const bool notStarted = !m_headSent && (outcome == SendOutcome::NotRun || outcome == SendOutcome::NotSent);
    if (notStarted ? restart(outcome) : resumeElsewhere(outcome, reason)) {
        return;
    }
    if (m_headSent) {
        m_context.counters.at("streams_aborted").add();
        m_request.exchange->abort();
        finish();
        return;
    }
    fail(false, reason, ShortRetryAfter);
}

auto StreamRequest::planResumption() const -> std::optional<StreamPlan>
{
    return plan([this](const PlacementInputs &inputs) { return planResume(inputs, m_decodeEngine.id, m_context.random); });
}

/// Sends a request that no engine has run once more: with the prompt's memory where it is still kept, else from the start. Returns
/// false where the request must end.
auto StreamRequest::restart(SendOutcome outcome) -> bool
{
    const auto now = m_context.clock.now();
    if (!m_attempt.maySendAgain() || now >= m_request.deadline()) {
        return false;
    }
    if (outcome != SendOutcome::NotSent && !m_context.retryBudget.take(m_request.service, now)) {
        m_context.log.write("stream", "retry_budget_empty", {{"request", m_request.metadata.requestId}, {"service", m_request.service}});
        return false;
    }
    if (m_stallTimer) {
        m_stallTimer->stop();
    }
    release(m_decodeClaim);
    if (redirect()) {
        return true;
    }
    freeHandle();
    placeOrEnqueue();
    return true;
}

/// Chooses another decode engine for a prompt that was read. Returns false where its memory is not kept for long enough, or no
/// engine has room.
auto StreamRequest::redirect() -> bool
{
    const auto *service = m_request.routeTable->service(m_request.service);
    const auto kept = m_context.clock.now() - m_prefilledAt;
    if (m_handle.empty() || kept > fromMilliseconds(UsableHandleLifeShare * toMilliseconds(service->engine->handleLife))) {
        return false;
    }
    const auto next = plan([this](const PlacementInputs &inputs) { return planTransfer(inputs, m_prefillEngine, m_context.random); });
    if (!next) {
        return false;
    }
    m_decodeEngine = *next->decode;
    m_expectedFirstEvent = next->firstToken;
    m_context.counters.at("streams_redirected").add();
    m_context.log.write("stream", "stream_redirected",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"prefill", m_prefillEngine.id},
                         {"kept_ms", toMilliseconds(kept)},
                         {"sends", m_attempt.sends()}});
    claimDecode(false);
    reserve(*next);
    return true;
}

auto StreamRequest::resumeElsewhere(SendOutcome outcome, std::string_view reason) -> bool
{
    const auto now = m_context.clock.now();
    const bool another = m_attempt.maySendAgain();
    if (!another || now >= m_request.deadline()) {
        return false;
    }
    const auto next = planResumption();
    if (!next) {
        return false;
    }
    m_expectedFirstEvent = next->firstToken;
    if (outcome != SendOutcome::NotSent && !m_context.retryBudget.take(m_request.service, now)) {
        m_context.log.write("stream", "retry_budget_empty", {{"request", m_request.metadata.requestId}, {"service", m_request.service}});
        return false;
    }
    m_decodeEngine = *next->decode;
    freeHandle();
    m_context.counters.at("streams_continued").add();
    m_context.log.write("stream", "stream_goes_on",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"after_event", m_lastEventId},
                         {"reason", reason},
                         {"sends", m_attempt.sends()}});
    claimDecode(true);
    startDecode();
    return true;
}

} // namespace currantstack
