#include "stream_request.h"

#include "currantstack/edge/stream_forwarder.h"

namespace currantstack
{

namespace
{

// A crest lasts seconds. Its refused callers return spread over the time after it, which for them is late in any case.
constexpr Duration ShortestRetryAfter = milliseconds(3000);
constexpr Duration LongestRetryAfter = milliseconds(4600);

} // namespace

auto StreamRequest::start() -> void
{
    m_context.retries.onRequest(m_request.service, m_context.clock.now());
    if (isTooLarge()) {
        giveUp(false, "the prompt is larger than an engine's memory", Duration::zero());
        return;
    }
    const auto self = shared_from_this();
    m_request.exchange->onDisconnect([self]() {
        self->m_context.log.write("stream", "caller_gone", {{"request", self->m_request.facts.requestId}, {"events", self->m_events}});
        self->finish();
    });
    m_deadline = m_context.loop.timer([self]() { self->giveUp(true, "no answer in time", Duration::zero()); });
    m_deadline->startOnce(m_request.deadline() - AnswerMargin - m_context.clock.now());
    if (!m_context.waiting.isEmpty(m_request.service) || !tryPlace()) {
        waitForRoom(false);
    }
}

auto StreamRequest::retryDelay() const -> Duration
{
    const std::uniform_real_distribution<double> spread(toMilliseconds(ShortestRetryAfter), toMilliseconds(LongestRetryAfter));
    return fromMilliseconds(std::uniform_real_distribution<double>(spread)(m_context.random));
}

auto StreamRequest::complete() -> void
{
    const auto now = m_context.clock.now();
    if (!m_begun) {
        m_request.exchange->beginStream(m_answerStatus, m_answerHeaders);
    }
    m_request.exchange->end();
    m_context.speedsOf(m_request.service)
        .observeStream(now - m_decodeStartedAt, m_request.facts.shape, static_cast<double>(m_events * tokensPerEvent()));
    m_context.counters.at("requests_answered").add();
    m_context.latencies.record("stream", now - m_request.arrivedAt);
    m_context.log.write("stream", "request_answered",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_decodeEngine.id},
                         {"events", m_events},
                         {"sends", m_attempt.sends()},
                         {"first_event_ms", toMilliseconds(m_firstEventAge)},
                         {"longest_gap_ms", toMilliseconds(m_longestGap)},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)}});
    finish();
}

auto StreamRequest::giveUp(bool timedOut, std::string_view reason, Duration retryAfter) -> void
{
    if (m_done) {
        return;
    }
    if (m_begun) {
        m_context.log.write("stream", "stream_aborted", {{"request", m_request.facts.requestId}, {"events", m_events}, {"reason", reason}});
        m_request.exchange->abort();
    } else {
        answerFinally(m_context, m_request, m_attempt, timedOut, reason, retryAfter);
    }
    finish();
}

auto StreamRequest::finish() -> void
{
    if (std::exchange(m_done, true)) {
        return;
    }
    m_context.client.cancel(std::exchange(m_reserveCall, 0));
    m_context.client.cancel(std::exchange(m_prefillCall, 0));
    m_context.client.cancel(std::exchange(m_decodeCall, 0));
    freeHandle();
    dropReservation();
    leaveWaitingRoom();
    release(m_prefillBooking);
    release(m_decodeBooking);
    m_context.loop.defer([&context = m_context]() { context.waiting.tryAll(); });
    // The timers hold this request; they are dropped after the present call has returned.
    m_context.loop.defer([self = shared_from_this()]() {
        self->m_deadline.reset();
        self->m_waitLimit.reset();
        self->m_prefillLimit.reset();
        self->m_stall.reset();
        self->m_request.exchange->onDisconnect(nullptr);
    });
}

auto forwardStream(EdgeContext &context, IncomingRequest request) -> void
{
    std::make_shared<StreamRequest>(context, std::move(request))->start();
}

} // namespace currantstack
