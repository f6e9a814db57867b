#include "currantstack/edge/end_confirmation.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/upstream_links.h"

namespace currantstack
{

auto EndConfirmation::start() -> void
{
    m_timer = m_context.loop.timer([self = shared_from_this()]() { self->judge(); });
    m_timer->startOnce(EndSettleTime);
}

auto EndConfirmation::cancel() -> void
{
    m_done = nullptr;
    m_context.client.cancel(std::exchange(m_call, 0));
    // The timer's callback owns this object, so it is destroyed only after the current call has returned.
    m_context.loop.defer([self = shared_from_this()]() { self->m_timer.reset(); });
}

auto EndConfirmation::judge() -> void
{
    if (!m_done) {
        return;
    }
    const auto now = m_context.clock.now();
    m_evidence.entry = entryStateOf(m_context, m_upstream);
    // What arrives in the first half may have been sent before the end.
    m_evidence.heardSince = m_context.silence.hasHeard(m_upstream.id, m_endedAt + EndSettleTime / 2);
    const auto end = judgeAnswerEnd(m_evidence);
    if (end == AnswerEnd::Undecided) {
        tryConnection();
        return;
    }
    m_context.counters.at(fmt::format("answer_ends_judged{{end=\"{}\"}}", name(end))).add();
    m_context.log.write("forward", "answer_end_judged",
                        {{"request", m_requestId},
                         {"upstream", m_upstream.id},
                         {"entry", name(m_evidence.entry)},
                         {"heard_since", m_evidence.heardSince},
                         {"connection", m_evidence.connection ? name(*m_evidence.connection) : "not_tried"},
                         {"trials", m_evidence.trials},
                         {"held_ms", toMilliseconds(now - m_endedAt)},
                         {"end", name(end)}});
    const auto done = std::move(m_done);
    cancel();
    done(end == AnswerEnd::Complete);
}

auto EndConfirmation::tryConnection() -> void
{
    ++m_evidence.trials;
    HttpCall call;
    call.url = urlOf(m_upstream.address, "/");
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = ConnectTimeout;
    call.connectOnly = true;
    call.useOwnConnection();
    call.step = "confirm end";
    call.peer = m_upstream.id;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), openedAt = m_context.clock.now()](const Result<HttpResponse> &result) {
        self->onTried(result, openedAt);
    };
    m_call = m_context.client.start(std::move(call), std::move(handlers));
}

auto EndConfirmation::onTried(const Result<HttpResponse> &result, TimePoint openedAt) -> void
{
    m_call = 0;
    if (result) {
        m_evidence.connection = ConnectionTrial::Accepted;
    } else {
        m_evidence.connection = result.error().connectionRefused ? ConnectionTrial::Refused : ConnectionTrial::NoAnswer;
        recordFailedLink(m_context, m_upstream, result.error(), openedAt);
    }
    judge();
}

auto doubtfulEndError(const Upstream &upstream) -> Error
{
    Error error{ErrorCode::Unavailable, "forward", upstream.id, "the upstream may have ended before its answer"};
    error.connectionClosed = true;
    return error;
}

} // namespace currantstack
