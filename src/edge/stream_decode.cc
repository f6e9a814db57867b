// The events of a stream: relayed whole, watched for stalls, and continued at another engine where that is allowed.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A resumable stream moves when its engine is silent for so long. Shorter than the time after which callers leave, longer than
// the pauses of an engine that is only busy.
constexpr Duration EventStall = milliseconds(900);
// A refusal that has nothing to do with load: the caller may come back at once.
constexpr Duration QuickRetry = milliseconds(30);
// Before the first event the engine may take longer than was expected by this factor and margin.
constexpr double FirstEventFactor = 2;
constexpr Duration FirstEventMargin = milliseconds(700);
// The rest of a kept prompt's life is left to the reservation and the transfer.
constexpr double HandleUsableShare = 0.8;

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
    m_collecting = false;
    m_attempt.onAttempt();
    if (m_kvSource.empty()) {
        m_tokensAhead = m_context.loads.total(m_decodeEngine.id, now).promptTokens;
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
    const auto head = m_context.protocol.readHead(status, headers, m_request.facts);
    const auto outcome = judgeHead(status, head);
    if (outcome != AttemptOutcome::Answered) {
        m_context.client.cancel(std::exchange(m_decodeCall, 0));
        onBroken(outcome, fmt::format("status {}", status), status == MisdirectedRequest);
        return;
    }
    m_handle.clear(); // the engine has taken it
    if (status != 200) {
        m_collecting = true;
        m_plainAnswer = {status, m_context.protocol.answerHeaders(headers), ""};
        return;
    }
    if (!m_begun) {
        m_answerStatus = status;
        m_answerHeaders = m_context.protocol.answerHeaders(headers);
    }
}

auto StreamRequest::onData(std::string_view data) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    if (m_collecting) {
        m_plainAnswer.body.append(data);
        return;
    }
    if (!m_splitter.feed(data, [this](const RawEvent &event) { onEvent(event); })) {
        m_context.client.cancel(std::exchange(m_decodeCall, 0));
        onBroken(AttemptOutcome::Unknown, "an event is too long");
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
    if (!m_begun) {
        onFirstEvent();
    } else {
        m_context.latencies.record("event_gap", now - m_lastEventAt);
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    releasePrompt();
    m_lastEventId = event.id.value_or(m_lastEventId + 1);
    m_lastEventAt = now;
    ++m_events;
    growDecodeBooking();
    m_request.exchange->write(event.bytes);
    restartStallTimer();
}

auto StreamRequest::onFirstEvent() -> void
{
    const auto now = m_context.clock.now();
    m_begun = true;
    if (m_context.draining) {
        m_answerHeaders.push_back({"Connection", "close"});
    }
    m_request.exchange->beginStream(m_answerStatus, m_answerHeaders);
    m_firstEventAge = now - m_request.arrivedAt;
    m_context.latencies.record("first_event", m_firstEventAge);
    if (m_kvSource.empty()) {
        const auto distance = m_context.settings.places.distance(m_context.settings.place, m_decodeEngine.place);
        m_context.speedsOf(m_request.service).observeMixedPrefill(m_tokensAhead, now - m_sentAt - 2 * roundTripTime(distance));
    }
    m_context.log.write("stream", "first_event",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_decodeEngine.id},
                         {"read_there", m_kvSource.empty()},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)},
                         {"expected_ms", toMilliseconds(m_expectedFirst)}});
}

auto StreamRequest::onDecodeDone(const Result<HttpResponse> &result) -> void
{
    if (m_done || m_decodeCall == 0) {
        return;
    }
    m_decodeCall = 0;
    if (!result) {
        onBroken(judgeError(result.error()), describe(result.error()), result.error().connectionRefused);
        return;
    }
    if (m_collecting) {
        m_attempt.onOutcome(AttemptOutcome::Answered);
        m_context.log.write("stream", "engine_failed",
                            {{"request", m_request.facts.requestId}, {"engine", m_decodeEngine.id}, {"status", m_plainAnswer.status}});
        if (m_begun) {
            m_request.exchange->abort();
        } else {
            m_request.exchange->respond(std::move(m_plainAnswer));
        }
        finish();
        return;
    }
    if (m_splitter.hasPartial()) {
        onBroken(AttemptOutcome::Unknown, "the stream ends inside an event");
        return;
    }
    m_attempt.onOutcome(AttemptOutcome::Answered);
    complete();
}

auto StreamRequest::restartStallTimer() -> void
{
    if (!m_request.route->resumable) {
        return;
    }
    if (!m_stall) {
        m_stall = m_context.loop.timer([self = shared_from_this()]() { self->onStall(); });
    }
    const auto first = fromMilliseconds(FirstEventFactor * toMilliseconds(m_expectedFirst)) + FirstEventMargin;
    m_stall->startOnce(m_begun ? EventStall : first);
}

auto StreamRequest::onStall() -> void
{
    if (m_done || m_decodeCall == 0 || !m_attempt.mayRetry() || !planResumed()) {
        return;
    }
    m_context.client.cancel(std::exchange(m_decodeCall, 0));
    onBroken(AttemptOutcome::Unknown, "no event in time");
}

auto StreamRequest::onBroken(AttemptOutcome outcome, std::string_view reason, bool isOutdated) -> void
{
    const auto now = m_context.clock.now();
    m_attempt.onOutcome(outcome);
    const bool handleLost = outcome == AttemptOutcome::NotRun && !m_kvSource.empty() && !isOutdated;
    if (!handleLost) {
        noteFailure(m_decodeEngine, isOutdated);
    }
    m_context.log.write("stream", "stream_broken",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_decodeEngine.id},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"events", m_events},
                         {"silent_ms", toMilliseconds(now - m_lastEventAt)}});
    const bool isFresh = !m_begun && (outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::NotSent);
    if (isFresh ? startAnew(outcome) : goOnElsewhere(outcome, reason)) {
        return;
    }
    if (m_begun) {
        m_context.counters.at("streams_aborted").add();
        m_request.exchange->abort();
        finish();
        return;
    }
    giveUp(false, reason, QuickRetry);
}

auto StreamRequest::planResumed() const -> std::optional<StreamPlan>
{
    return plan([this](const PlacementInputs &inputs) { return planResume(inputs, m_decodeEngine.id, m_context.random); });
}

/// Sends a request that no engine has run once more: with the prompt's memory where it is still kept, else from the start. Returns
/// false where the request must end.
auto StreamRequest::startAnew(AttemptOutcome outcome) -> bool
{
    const auto now = m_context.clock.now();
    if (!m_attempt.mayRetry() || now >= m_request.deadline()) {
        return false;
    }
    if (outcome != AttemptOutcome::NotSent && !m_context.retries.take(m_request.service, now)) {
        m_context.log.write("stream", "retry_budget_empty", {{"request", m_request.facts.requestId}, {"service", m_request.service}});
        return false;
    }
    if (m_stall) {
        m_stall->stop();
    }
    release(m_decodeBooking);
    if (redirect()) {
        return true;
    }
    freeHandle();
    placeOrWait();
    return true;
}

/// Chooses another decode engine for a prompt that was read. Returns false where its memory is not kept for long enough, or no
/// engine has room.
auto StreamRequest::redirect() -> bool
{
    const auto *service = m_request.table->service(m_request.service);
    const auto kept = m_context.clock.now() - m_prefilledAt;
    if (m_handle.empty() || kept > fromMilliseconds(HandleUsableShare * toMilliseconds(service->engine->handleLifetime))) {
        return false;
    }
    const auto next = plan([this](const PlacementInputs &inputs) { return planTransfer(inputs, m_prefillEngine, m_context.random); });
    if (!next) {
        return false;
    }
    m_decodeEngine = *next->decode;
    m_expectedFirst = next->timeToFirstToken;
    m_context.counters.at("streams_redirected").add();
    m_context.log.write("stream", "stream_redirected",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_decodeEngine.id},
                         {"prefill", m_prefillEngine.id},
                         {"kept_ms", toMilliseconds(kept)},
                         {"sends", m_attempt.count()}});
    bookDecode(false);
    reserve(*next);
    return true;
}

auto StreamRequest::goOnElsewhere(AttemptOutcome outcome, std::string_view reason) -> bool
{
    const auto now = m_context.clock.now();
    const bool another = m_attempt.mayRetry();
    if (!another || now >= m_request.deadline()) {
        return false;
    }
    const auto next = planResumed();
    if (!next) {
        return false;
    }
    m_expectedFirst = next->timeToFirstToken;
    if (outcome != AttemptOutcome::NotSent && !m_context.retries.take(m_request.service, now)) {
        m_context.log.write("stream", "retry_budget_empty", {{"request", m_request.facts.requestId}, {"service", m_request.service}});
        return false;
    }
    m_decodeEngine = *next->decode;
    freeHandle();
    m_context.counters.at("streams_continued").add();
    m_context.log.write("stream", "stream_goes_on",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_decodeEngine.id},
                         {"after_event", m_lastEventId},
                         {"reason", reason},
                         {"sends", m_attempt.count()}});
    bookDecode(true);
    startDecode();
    return true;
}

} // namespace currantstack
