// The prefill phase of a stream on a separate engine, whose KV cache the decode engine fetches.
#include "currantstack/edge/upstream_links.h"
#include "stream_request.h"

namespace currantstack
{

namespace
{

// The timeout of a prefill is the expected time multiplied by this factor, plus this margin. Another engine is tried after it.
constexpr double PrefillTimeoutFactor = 3;
constexpr Duration PrefillTimeoutMargin = milliseconds(700); // an abandoned prefill costs as much engine time as a useful one
constexpr Duration SilenceAllowance = milliseconds(1500); // for an engine that is silent for a second and goes on
// Retry-After of a refusal that is not caused by load.
constexpr Duration ShortRetryAfter = milliseconds(30);

} // namespace

auto StreamRequest::startPrefill() -> void
{
    if (const auto refusal = checkQuarantine(m_context, m_request)) {
        fail(false, refusal->reason, refusal->retryAfter);
        return;
    }
    m_decoding = false;
    m_queuedPromptTokens = queuedPromptTokens(m_prefillEngine);
    m_sentAt = m_context.clock.now();
    m_request.calls.onPrefillSent();
    ForwardSpec spec;
    spec.prefillOnly = true;
    spec.rank = m_request.rank();
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this()](Result<HttpResponse> result) { self->onPrefilled(std::move(result)); };
    m_prefillCall = m_context.client.start(upstreamCall(m_context, m_request, m_prefillEngine, spec), std::move(handlers));
    m_prefillWaited = false;
    m_prefillTimer = m_context.loop.timer([self = shared_from_this()]() { self->onPrefillTimeout(); });
    m_prefillTimer->startOnce(fromMilliseconds(PrefillTimeoutFactor * toMilliseconds(m_expectedPrefill)) + PrefillTimeoutMargin);
}

auto StreamRequest::onPrefilled(Result<HttpResponse> result) -> void
{
    if (m_done || m_prefillCall == 0) {
        return;
    }
    const auto now = m_context.clock.now();
    m_prefillCall = 0;
    if (result) {
        recordReached(m_context, m_prefillEngine, m_sentAt);
        auto head = m_context.protocol.parseHead(result->status, result->headers, m_request.metadata);
        head.fromUpstream = head.fromUpstream || result->status == 200; // the response to a prefill has no stamp
        observeLimit(m_context, m_prefillEngine, result->status, head, m_sentAt);
        observeNotices(m_context, m_prefillEngine, result->status, head);
    }
    if (result && acceptHandle(*result)) {
        const auto took = now - m_sentAt;
        const auto distance = m_context.settings.places.distance(m_context.settings.place, m_prefillEngine.place);
        m_context.latencies.record("prefill", took);
        m_context.speedsOf(m_request.service).observePrefill(m_queuedPromptTokens, took - 2 * roundTripTime(distance));
        m_context.health.observe(m_prefillEngine.id, toMilliseconds(took) / std::max(1.0, toMilliseconds(m_expectedPrefill)), now);
        m_context.exclusions.onAccepted(m_prefillEngine.id);
        m_request.calls.onPrefillDone(AttemptOutcome::Answered);
        m_prefillTimer->stop();
        release(m_prefillClaim);
        execute(false);
        return;
    }
    if (!result) {
        observeFailedCall(m_context, m_request, m_prefillEngine, result.error(), m_sentAt);
    }
    if (result) {
        abandonPrefill(AttemptOutcome::NotRun, fmt::format("status {}", result->status), {result->status == MisdirectedRequest, false});
    } else {
        abandonPrefill(classifyError(result.error()), describe(result.error()), evidenceOf(result.error()));
    }
}

auto StreamRequest::acceptHandle(const HttpResponse &response) -> bool
{
    if (response.status != 200) {
        return false;
    }
    const auto prefilled = m_context.protocol.parsePrefill(response.body);
    if (!prefilled) {
        m_context.log.write(
            "stream", "prefill_unreadable",
            {{"request", m_request.metadata.requestId}, {"engine", m_prefillEngine.id}, {"error", describe(prefilled.error())}});
        return false;
    }
    m_handle = prefilled->handle;
    m_prefilledAt = m_context.clock.now();
    m_prefillDueAt = m_sentAt + m_expectedPrefill;
    m_kvSource = m_prefillEngine.address + "/" + prefilled->handle;
    return true;
}

/// Gives up the prefill if another one may be sent. Otherwise a sound engine that is silent for a while gets the time to go on.
auto StreamRequest::onPrefillTimeout() -> void
{
    const auto now = m_context.clock.now();
    if (m_done || m_decoding || m_prefillCall == 0) {
        return;
    }
    auto calls = m_request.calls;
    calls.onPrefillDone(AttemptOutcome::Unknown);
    const bool mayRetry = m_attempts.mayRetryAfterThis() && acquireRetries(m_context, m_request, calls, true);
    if (!mayRetry && !std::exchange(m_prefillWaited, true)) {
        m_context.counters.at("stalls_waited_out").add();
        m_context.log.write("stream", "stall_waited_out",
                            {{"request", m_request.metadata.requestId},
                             {"engine", m_prefillEngine.id},
                             {"events", 0},
                             {"may_move", false},
                             {"silent_ms", toMilliseconds(now - m_sentAt)}});
        m_prefillTimer->startOnce(SilenceAllowance);
        return;
    }
    recordSilence(m_context, m_prefillEngine, m_sentAt);
    abandonPrefill(AttemptOutcome::Unknown, "no answer in time", {});
}

auto StreamRequest::abandonPrefill(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) -> void
{
    if (m_done || m_decoding) {
        return;
    }
    const auto now = m_context.clock.now();
    m_prefillTimer->stop();
    m_request.calls.onPrefillDone(outcome);
    m_context.client.cancel(std::exchange(m_prefillCall, 0));
    recordFailure(m_prefillEngine, evidence);
    m_context.counters.at("prefills_left").add();
    m_context.log.write("stream", "prefill_left",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_prefillEngine.id},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"connection_closed", evidence.connectionClosed},
                         {"took_ms", toMilliseconds(now - m_sentAt)},
                         {"expected_ms", toMilliseconds(m_expectedPrefill)}});
    if (outcome == AttemptOutcome::Unknown) {
        // The prefill takes at least this long, so the estimate of the prefill rate is lowered and later timeouts are longer.
        m_context.speedsOf(m_request.service).observePrefill(m_queuedPromptTokens, now - m_sentAt);
    }
    dropReservation();
    release(m_prefillClaim);
    release(m_decodeClaim);
    // A call that reached its engine counts as an attempt, so that the route's limit of attempts also bounds prefill retries.
    const bool isAttempt = outcome != AttemptOutcome::NotSent;
    if (isAttempt) {
        m_attempts.onAttempt();
        m_attempts.onOutcome(AttemptOutcome::NotRun);
    }
    if (!m_attempts.mayRetry() || !acquireRetries(m_context, m_request, m_request.calls, true)) {
        fail(false, "the prefill failed", ShortRetryAfter);
    } else {
        placeOrEnqueue();
    }
}

auto StreamRequest::freeHandle() -> void
{
    m_kvSource.clear();
    if (m_handle.empty()) {
        return;
    }
    startRelease(m_context, m_prefillEngine, m_context.protocol.freeHandleCall(m_prefillEngine, std::exchange(m_handle, {})));
}

} // namespace currantstack
