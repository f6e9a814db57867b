#include "stream_request.h"

#include "currantstack/edge/stream_forwarder.h"
#include "currantstack/edge/upstream_links.h"
#include "event_order.h"

namespace currantstack
{

auto StreamRequest::start() -> void
{
    if (isTooLarge()) {
        fail(false, "the prompt is larger than an engine's KV memory", Duration::zero());
        return;
    }
    const auto self = shared_from_this();
    m_request.exchange->onDisconnect([self]() {
        const auto now = self->m_context.clock.now();
        self->m_context.log.write("stream", "caller_gone",
                                  {{"request", self->m_request.metadata.requestId},
                                   {"events", self->m_events},
                                   {"engine", self->m_decodeCall == 0 ? "" : self->m_decodeEngine.id},
                                   {"silent_ms", self->m_decodeCall == 0 ? 0.0 : toMilliseconds(now - self->awaitedSince())},
                                   {"age_ms", toMilliseconds(now - self->m_request.arrivedAt)}});
        self->finish();
    });
    m_openId = m_context.openRequests.add([self](StopPhase phase) { self->endForStop(phase); });
    m_deadlineTimer = m_context.loop.timer([self]() { self->fail(true, "no answer in time", Duration::zero()); });
    m_deadlineTimer->startOnce(m_request.deadline() - AnswerMargin - m_context.clock.now());
    if (m_request.metadata.continuesStream()) {
        continueStream();
    } else {
        admit();
    }
}

/// Queues a request for engines that this VM has not read of yet.
auto StreamRequest::waitForEngines() -> void
{
    countRequest(m_context, m_request);
    enqueue(true);
}

auto StreamRequest::admit() -> void
{
    countRequest(m_context, m_request);
    if (!m_context.pendingQueue.wouldBeNext(queueKey(), waitingStream(hasBegunElsewhere())) || !tryPlace(hasBegunElsewhere())) {
        enqueue(false);
    }
}

auto StreamRequest::retryDelay() const -> Duration
{
    return returnDelay(expectedWait(queueEstimate()), m_context.random);
}

auto StreamRequest::complete() -> void
{
    const auto now = m_context.clock.now();
    if (!m_headSent) {
        m_request.exchange->beginStream(m_answerStatus, m_answerHeaders);
        m_request.exchange->write(m_heldFiller);
    }
    m_request.exchange->end();
    m_context.speedsOf(m_request.service)
        .observeStream(m_lastEventAt - m_decodeStartedAt, m_request.metadata.shape, static_cast<double>(m_events * tokensPerEvent()));
    m_context.quarantine.recordSuccess(m_request.traits, now);
    m_context.counters.at("requests_answered").add();
    m_context.latencies.record("stream", now - m_request.arrivedAt);
    m_context.log.write("stream", "request_answered",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"framing", name(m_framing)},
                         {"entry", name(entryStateOf(m_context, m_decodeEngine))},
                         {"events", m_events},
                         {"last_event", eventField(m_sequence.lastId())},
                         {"gaps", m_sequence.gaps()},
                         {"dropped", m_sequence.dropped()},
                         {"sends", m_attempts.count()},
                         {"first_event_ms", toMilliseconds(m_timeToFirstEvent)},
                         {"longest_gap_ms", toMilliseconds(m_longestGap)},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)}});
    finish();
}

/// Ends a stream that has begun without its last event.
auto StreamRequest::abort(std::string_view reason) -> void
{
    const auto now = m_context.clock.now();
    m_context.counters.at("streams_aborted").add();
    m_context.log.write("stream", "stream_aborted",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"events", m_events},
                         {"last_event", eventField(m_sequence.lastId())},
                         {"dropped", m_sequence.dropped()},
                         {"reason", reason},
                         {"sends", m_attempts.count()},
                         {"silent_ms", toMilliseconds(now - m_lastEventAt)},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)},
                         {"time_left_ms", toMilliseconds(m_request.deadline() - now)},
                         {"routes_version", m_request.routeTable->version}});
    m_request.exchange->abort();
    finish();
}

auto StreamRequest::fail(bool timedOut, std::string_view reason, Duration retryAfter) -> void
{
    if (m_done) {
        return;
    }
    if (endUnchecked(reason)) {
        return;
    }
    if (m_headSent) {
        abort(reason);
        return;
    }
    respondWithError(m_context, m_request, m_attempts, timedOut, reason, retryAfter);
    finish();
}

auto StreamRequest::endForStop(StopPhase phase) -> void
{
    if (phase == StopPhase::All || !m_headSent) {
        fail(false, StopReason, StoppingRetryAfter);
    }
}

/// Ends a request that is expected to take so long that this VM stops before. Returns false if it may be sent on.
auto StreamRequest::refuseIfTooLong(Duration expected) -> bool
{
    if (m_headSent || !outlastsThisVm(m_context, expected)) {
        return false;
    }
    fail(false, StopReason, StoppingRetryAfter);
    return true;
}

auto StreamRequest::finish() -> void
{
    if (std::exchange(m_done, true)) {
        return;
    }
    m_context.openRequests.remove(m_openId);
    m_context.client.cancel(std::exchange(m_reserveCall, 0));
    m_context.client.cancel(std::exchange(m_prefillCall, 0));
    cancelDecodeCall();
    if (m_endConfirmation) {
        std::exchange(m_endConfirmation, nullptr)->cancel();
    }
    freeHandle();
    dropReservation();
    leaveQueue();
    release(m_prefillClaim);
    release(m_decodeClaim);
    release(m_successorClaim);
    m_context.loop.defer([&context = m_context]() { context.pendingQueue.retryHeads(); });
    // The timers' callbacks own this request, so they are destroyed only after the current call has returned.
    m_context.loop.defer([self = shared_from_this()]() {
        self->m_deadlineTimer.reset();
        self->m_queueTimer.reset();
        self->m_prefillTimer.reset();
        self->m_stallTimer.reset();
        if (!self->m_handedOver) {
            self->m_request.exchange->onDisconnect(nullptr);
        }
    });
}

auto forwardStream(EdgeContext &context, IncomingRequest request) -> void
{
    std::make_shared<StreamRequest>(context, std::move(request))->start();
}

} // namespace currantstack
