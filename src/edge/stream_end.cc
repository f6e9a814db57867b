// The end of a stream that neither a length nor chunks mark: confirmed by its engine, and checked by asking for what follows.
#include "currantstack/edge/send_check.h"
#include "event_order.h"
#include "stream_request.h"

namespace currantstack
{

/// Holds the end back until the engine is known to have outlived its answer.
auto StreamRequest::confirmEnd() -> void
{
    m_stallTimer->stop();
    cancelSuccessor();
    release(m_decodeClaim); // the engine has ended the run, or has ended itself
    const auto done = [self = shared_from_this()](bool isComplete) { self->onEndJudged(isComplete); };
    const bool mayRepeat = m_request.route->resumable && m_attempts.mayRetry();
    m_endConfirmation = std::make_shared<EndConfirmation>(m_context, m_decodeEngine, m_request.metadata.requestId, mayRepeat, done);
    m_endConfirmation->start();
}

auto StreamRequest::onEndJudged(bool isComplete) -> void
{
    m_endConfirmation.reset();
    if (m_framing == BodyFraming::Chunks) {
        onExitJudged(isComplete);
        return;
    }
    if (isComplete) {
        if (!checkEnd()) {
            onDecodeEnd();
        }
        return;
    }
    const auto error = doubtfulEndError(m_decodeEngine);
    m_collectingError = false;
    observeFailedCall(m_context, m_request, m_decodeEngine, error, m_sentAt);
    auto evidence = evidenceOf(error);
    evidence.endDoubtful = true;
    onDecodeBroken(AttemptOutcome::Unknown, describe(error), evidence);
}

/// Returns whether a stream with a last chunk is held back all the same: an engine that exits may end its streams in the ordinary way.
auto StreamRequest::mayBeCutByExit() const -> bool
{
    return m_framing == BodyFraming::Chunks && m_headSent && !m_collectingError && !isEndCheck() && m_request.route->resumable
        && incompleteReason().empty() && isLeaving(sendBlockOf(m_context, m_decodeEngine));
}

/// Ends a stream whose engine has not exited with it. Otherwise asks another one for what follows.
auto StreamRequest::onExitJudged(bool isComplete) -> void
{
    if (!isComplete) {
        askForRest();
        return;
    }
    m_checksEnd = m_checksExit = false;
    onDecodeEnd();
}

/// Returns whether the engine may have ended the stream in the ordinary way because its time was over.
auto StreamRequest::mayBeStopped() const -> bool
{
    const bool isWhole = m_collectingError || m_framing == BodyFraming::Length;
    return !isWhole && m_endedAt >= m_workEndsAt - AnswerMargin;
}

/// Returns why a stream that ended without an error is incomplete, or an empty text if it is complete.
auto StreamRequest::incompleteReason() const -> std::string_view
{
    if (m_splitter.hasPartial()) {
        return "the stream ends inside an event";
    }
    if (m_framing == BodyFraming::Connection && !m_begunAt && !m_collectingError && !m_mayHaveEnded) {
        return "the connection was closed before the first event";
    }
    const bool isEmptyRest = continuesEvents() && !m_headSent && !m_begunAt && !m_collectingError && !m_mayHaveEnded;
    if (isEmptyRest && m_framing == BodyFraming::Chunks && isLeaving(sendBlockOf(m_context, m_decodeEngine))) {
        return "the engine leaves, and has sent no event";
    }
    return "";
}

/// Returns whether the current run has been asked for what follows an end that its engine had confirmed, and has sent no event so far.
auto StreamRequest::isEndCheck() const -> bool
{
    return m_checksEnd || m_endConfirmed;
}

/// Asks an engine for what follows the last event, although the engine lives: it may have broken the answer off. Returns false if the end
/// is not checked.
auto StreamRequest::checkEnd() -> bool
{
    if (isEndCheck()) {
        return false;
    }
    if (!m_headSent || m_collectingError || !m_request.route->resumable) {
        return false;
    }
    if (auto &checks = m_context.endChecks[m_request.service]; !checks.isDue()) {
        logUnchecked("the ends of the service are trusted", false);
        checks.onUnchecked();
        return false;
    }
    askForRest();
    return true;
}

/// Looks for an engine that can tell whether events follow the last one.
auto StreamRequest::askForRest() -> void
{
    m_attempts.onOutcome(AttemptOutcome::Answered, m_attemptsOfCall);
    m_breakReason = "the end of the stream is checked";
    m_checksEnd = true;
    m_asksSameEngine = !m_checksExit && (!m_attempts.mayRetry() || !hasOtherEngine());
    m_mayHaveEnded = true;
    m_reservationsTried = 0;
    const auto next = planResumption();
    const auto state = resumptionState(next.has_value());
    takeStep(nextStep(state), state, next);
}

auto StreamRequest::logUnchecked(std::string_view reason, bool isSuspect) const -> void
{
    m_context.log.write("stream", "end_unchecked",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"last_event", eventField(m_sequence.lastId())},
                         {"reason", reason},
                         {"cuts_found", isSuspect},
                         {"sends", m_attempts.count()}});
}

/// Ends a stream whose end could not be checked, and returns true. Returns false if no check is under way, if it has found a cut, or if
/// the service's engines have lately cut other streams: then the stream goes on like one whose call has broken.
auto StreamRequest::endUnchecked(std::string_view reason) -> bool
{
    if (!m_checksEnd) {
        return false;
    }
    if (m_splitter.hasPartial() || !m_heldData.empty()) {
        recordCutEnd(); // the run that was asked has begun a further event
        return false;
    }
    auto &checks = m_context.endChecks[m_request.service];
    checks.onUnchecked();
    logUnchecked(reason, checks.isSuspect());
    if (checks.isSuspect() && !m_checksExit) {
        m_checksEnd = false;
        m_endConfirmed = true;
        m_asksSameEngine = false;
        return false;
    }
    complete();
    return true;
}

/// Records that events follow the end of a stream that its engine has confirmed.
auto StreamRequest::recordCutEnd() -> void
{
    if (!isEndCheck()) {
        return;
    }
    m_checksEnd = false;
    m_endConfirmed = false;
    m_asksSameEngine = false;
    if (!std::exchange(m_checksExit, false)) {
        m_context.endChecks[m_request.service].onChecked(true);
    }
    m_context.counters.at("answers_cut_by_live_engines").add();
    m_context.log.write("stream", "end_was_cut",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"after_event", eventField(m_sequence.lastId())},
                         {"events", m_events}});
}

} // namespace currantstack
