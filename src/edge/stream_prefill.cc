// The prompt is read at a prefill engine, whose result the decode engine takes.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A prefill that takes longer than expected by this factor and margin is left for another engine.
constexpr double PatienceFactor = 3;
constexpr Duration PatienceMargin = milliseconds(700); // a prompt read in vain costs as much as an answer
// A refusal that has nothing to do with load: the caller may come back at once.
constexpr Duration QuickRetry = milliseconds(30);

} // namespace

auto StreamRequest::startPrefill() -> void
{
    m_decoding = false;
    m_tokensAhead = m_context.loads.total(m_prefillEngine.id, m_context.clock.now()).promptTokens;
    m_sentAt = m_context.clock.now();
    ForwardSpec spec;
    spec.prefillOnly = true;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this()](Result<HttpResponse> result) { self->onPrefilled(std::move(result)); };
    m_prefillCall = m_context.client.start(upstreamCall(m_context, m_request, m_prefillEngine, spec), std::move(handlers));
    m_prefillLimit =
        m_context.loop.timer([self = shared_from_this()]() { self->leavePrefill(AttemptOutcome::Unknown, "no answer in time"); });
    m_prefillLimit->startOnce(fromMilliseconds(PatienceFactor * toMilliseconds(m_expectedRead)) + PatienceMargin);
}

auto StreamRequest::onPrefilled(Result<HttpResponse> result) -> void
{
    if (m_done || m_prefillCall == 0) {
        return;
    }
    const auto now = m_context.clock.now();
    m_prefillCall = 0;
    if (result && takeHandle(*result)) {
        const auto took = now - m_sentAt;
        const auto distance = m_context.settings.places.distance(m_context.settings.place, m_prefillEngine.place);
        m_context.latencies.record("prefill", took);
        m_context.speedsOf(m_request.service).observePrefill(m_tokensAhead, took - 2 * roundTripTime(distance));
        m_context.health.observe(m_prefillEngine.id, toMilliseconds(took) / std::max(1.0, toMilliseconds(m_expectedRead)), now);
        m_context.exclusions.onAccepted(m_prefillEngine.id);
        m_prefillLimit->stop();
        release(m_prefillBooking);
        startDecode();
        return;
    }
    if (result) {
        leavePrefill(AttemptOutcome::NotRun, fmt::format("status {}", result->status), result->status == MisdirectedRequest);
    } else {
        leavePrefill(judgeError(result.error()), describe(result.error()), result.error().connectionRefused);
    }
}

auto StreamRequest::takeHandle(const HttpResponse &response) -> bool
{
    if (response.status != 200) {
        return false;
    }
    const auto prefilled = m_context.protocol.readPrefill(response.body);
    if (!prefilled) {
        m_context.log.write(
            "stream", "prefill_unreadable",
            {{"request", m_request.facts.requestId}, {"engine", m_prefillEngine.id}, {"error", describe(prefilled.error())}});
        return false;
    }
    m_handle = prefilled->handle;
    m_prefilledAt = m_context.clock.now();
    m_kvSource = m_prefillEngine.address + "/" + prefilled->handle;
    return true;
}

auto StreamRequest::leavePrefill(AttemptOutcome outcome, std::string_view reason, bool isOutdated) -> void
{
    if (m_done || m_decoding) {
        return;
    }
    const auto now = m_context.clock.now();
    m_prefillLimit->stop();
    m_context.client.cancel(std::exchange(m_prefillCall, 0));
    noteFailure(m_prefillEngine, isOutdated);
    m_context.counters.at("prefills_left").add();
    m_context.log.write("stream", "prefill_left",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_prefillEngine.id},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"took_ms", toMilliseconds(now - m_sentAt)},
                         {"expected_ms", toMilliseconds(m_expectedRead)}});
    if (outcome == AttemptOutcome::Unknown) {
        // It took this long at least; engines that are slower than was thought are given more time from now on.
        m_context.speedsOf(m_request.service).observePrefill(m_tokensAhead, now - m_sentAt);
    }
    dropReservation();
    release(m_prefillBooking);
    release(m_decodeBooking);
    // A call that reached its engine counts as a send, so that one more engine is asked only where the route allows it.
    const bool counts = outcome != AttemptOutcome::NotSent;
    if (counts) {
        m_attempt.onAttempt();
        m_attempt.onOutcome(AttemptOutcome::NotRun);
    }
    if (!m_attempt.mayRetry() || (counts && !m_context.retries.take(m_request.service, now))) {
        giveUp(false, "the prompt could not be read", QuickRetry);
    } else {
        placeOrWait();
    }
}

auto StreamRequest::freeHandle() -> void
{
    m_kvSource.clear();
    if (m_handle.empty()) {
        return;
    }
    m_context.client.start(m_context.protocol.freeHandle(m_prefillEngine, std::exchange(m_handle, {})), {});
}

} // namespace currantstack
