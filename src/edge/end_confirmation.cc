#include "currantstack/edge/end_confirmation.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/send_check.h"
#include "currantstack/edge/upstream_links.h"

namespace currantstack
{

namespace
{

constexpr Duration EndProbeTimeout = milliseconds(400); // of the whole probe; a plain upstream may answer only when a slot is free
constexpr Duration EntryCheckPeriod = milliseconds(100); // while the entry of an upstream that answers is awaited

} // namespace

auto EndConfirmation::start() -> void
{
    m_timer = m_context.loop.timer([self = shared_from_this()]() { self->onTimer(); });
    m_settleTime = isLeaving(sendBlockOf(m_context, m_upstream)) ? ExitTime : EndSettleTime;
    wait(m_settleTime);
}

auto EndConfirmation::wait(Duration time) -> void
{
    m_dueAt = m_context.clock.now() + time;
    m_timer->startOnce(time);
}

auto EndConfirmation::cancel() -> void
{
    m_done = nullptr;
    m_context.client.cancel(std::exchange(m_call, 0));
    // The timer's callback owns this object, so it is destroyed only after the current call has returned.
    m_context.loop.defer([self = shared_from_this()]() { self->m_timer.reset(); });
}

auto EndConfirmation::onTimer() -> void
{
    if (!m_done) {
        return;
    }
    if (m_context.clock.now() - m_dueAt > EndSettleTime) {
        wait(EndSettleTime); // this VM was suspended: what happened meanwhile may still lie unread
    } else if (m_evidence.trials == 0 || awaitsEntry()) {
        judge();
    } else {
        tryConnection();
    }
}

/// Returns whether another process is registered at the upstream's address, or has answered there since.
auto EndConfirmation::isReplaced() const -> bool
{
    return m_context.reach.hasOtherAnswered(m_upstream.id, m_endedAt) || isAddressReused(m_context, m_upstream);
}

/// Returns whether further trials would show nothing new: something accepts connections, and only the entry tells whose process it is.
auto EndConfirmation::awaitsEntry() const -> bool
{
    const auto &trial = m_evidence.connection;
    const bool isAccepted = trial == ConnectionTrial::Answered || trial == ConnectionTrial::Open || trial == ConnectionTrial::Closed;
    return !m_evidence.isStream && m_evidence.trials >= MaxEndTrials && isAccepted && mayHaveRestarted(m_evidence);
}

auto EndConfirmation::judge() -> void
{
    const auto now = m_context.clock.now();
    m_evidence.entry = isReplaced() ? EntryState::Replaced : entryStateOf(m_context, m_upstream);
    m_evidence.servedSince = m_context.reach.hasServed(m_upstream.id, m_endedAt + m_settleTime);
    m_evidence.hasWritten = m_context.directory.hasWritten(m_upstream, m_endedAt + EntrySettleTime);
    m_evidence.hasOutlived = m_context.reach.hasOutlived(m_upstream.id, m_endedAt, LateByteTime);
    m_evidence.readsEntries = !m_context.storeUnreachable;
    m_evidence.hasReadEntries = m_answeredAt && m_context.upstreamsCurrentAt >= *m_answeredAt + NewEntryTime;
    m_evidence.sinceEnd = now - m_endedAt;
    m_evidence.sinceAnswer = m_answeredAt ? now - *m_answeredAt : Duration::zero();
    const auto end = judgeAnswerEnd(m_evidence);
    if (end == AnswerEnd::Undecided && m_evidence.trials > 0) {
        if (m_answeredAt && awaitsEntry() && now - *m_answeredAt >= NewEntryTime) {
            m_context.readUpstreams(); // a poll that brings nothing does not show that the store can be reached
        }
        const bool mayBeNewProcess = m_evidence.entry == EntryState::Removed || m_evidence.connection == ConnectionTrial::Answered;
        wait(m_evidence.runsStill ? ReportPause : awaitsEntry() ? EntryCheckPeriod : mayBeNewProcess ? NewEntryTime : EndTrialPause);
        return;
    }
    if (end == AnswerEnd::Undecided) {
        tryConnection();
        return;
    }
    m_context.counters.at(fmt::format("answer_ends_judged{{end=\"{}\"}}", name(end))).add();
    m_context.log.write("forward", "answer_end_judged",
                        {{"request", m_requestId},
                         {"upstream", m_upstream.id},
                         {"entry", name(*m_evidence.entry)},
                         {"served_since", m_evidence.servedSince},
                         {"connection", m_evidence.connection ? name(*m_evidence.connection) : "not_tried"},
                         {"may_have_restarted", mayHaveRestarted(m_evidence)},
                         {"has_written", m_evidence.hasWritten},
                         {"has_outlived", m_evidence.hasOutlived},
                         {"store_unreachable", m_context.storeUnreachable},
                         {"has_read_entries", m_evidence.hasReadEntries},
                         {"trials", m_evidence.trials},
                         {"runs_still", m_evidence.runsStill},
                         {"leaves", m_settleTime == ExitTime},
                         {"held_ms", toMilliseconds(now - m_endedAt)},
                         {"end", name(end)}});
    const auto done = std::move(m_done);
    cancel();
    done(end == AnswerEnd::Complete);
}

/// Returns a probe of the upstream, or a call that only opens a connection if it has nothing to be probed with.
auto EndConfirmation::trialCall() const -> HttpCall
{
    const auto *service = m_context.routeTable ? m_context.routeTable->service(m_upstream.service) : nullptr;
    const std::string_view healthPath = service == nullptr ? "" : std::string_view(service->healthPath);
    if (m_upstream.role == EngineRole::None && healthPath.empty()) {
        return connectOnlyCall(m_upstream.address, ConnectTimeout);
    }
    auto call = m_context.protocol.probeCall(m_upstream, healthPath);
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = EndProbeTimeout;
    return call;
}

auto EndConfirmation::tryConnection() -> void
{
    ++m_evidence.trials;
    auto call = trialCall();
    m_sendsProbe = !call.connectOnly;
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
    if (!m_done) {
        return;
    }
    m_evidence.wasClosed = m_evidence.wasClosed || m_evidence.connection == ConnectionTrial::Closed;
    m_evidence.wasUnidentified = m_evidence.wasUnidentified || m_evidence.connection == ConnectionTrial::Unidentified;
    m_evidence.hadNoAnswer = m_evidence.hadNoAnswer || m_evidence.connection == ConnectionTrial::NoAnswer;
    m_evidence.connection = result && m_sendsProbe ? onProbed(*result, openedAt) : trialOf(result);
    if (m_evidence.connection != ConnectionTrial::Answered) {
        m_answeredAt.reset();
    } else if (!m_answeredAt) {
        m_answeredAt = m_context.clock.now();
    }
    if (m_evidence.connection == ConnectionTrial::Refused || m_evidence.connection == ConnectionTrial::NoAnswer) {
        recordFailedLink(m_context, m_upstream, result.error(), openedAt);
    }
    judge();
}

auto EndConfirmation::onProbed(const HttpResponse &response, TimePoint openedAt) -> ConnectionTrial
{
    recordReached(m_context, m_upstream, openedAt);
    switch (m_context.protocol.responderOf(response, m_upstream)) {
    case Responder::Upstream:
        m_evidence.runsStill = m_evidence.isStream && m_context.protocol.listsRun(response, m_requestId);
        return ConnectionTrial::Answered;
    case Responder::Other:
        m_context.reach.onOtherAnswered(m_upstream, m_context.clock.now());
        recordEnd(m_context, m_upstream);
        break;
    case Responder::Unknown:
        break;
    }
    return ConnectionTrial::Unidentified;
}

auto doubtfulEndError(const Upstream &upstream) -> Error
{
    Error error{ErrorCode::Unavailable, "forward", upstream.id, "the upstream may have ended before its answer"};
    error.connectionClosed = true;
    error.answerBegun = true;
    return error;
}

} // namespace currantstack
