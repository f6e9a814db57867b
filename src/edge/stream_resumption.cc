// A stream that goes on at another engine: its open call is given up only once the other engine has reserved capacity for it.
#include "currantstack/edge/send_check.h"
#include "currantstack/edge/upstream_links.h"
#include "event_order.h"
#include "relayed_request.h"
#include "stream_request.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MaxReservations = 3; // that a stalled stream tries before it waits for its engine again
constexpr Duration ReservationLifetime = milliseconds(600); // it is used at once
// Period in which a broken stream tries again to leave a VM that is cut off, or to get a retry.
constexpr Duration RetryPeriod = milliseconds(200);
constexpr std::string_view StallReason = "no event in time";
constexpr std::string_view BudgetReason = "the retry budget is empty";
// Retry-After of a refusal that is not caused by load.
constexpr Duration ShortRetryAfter = milliseconds(30);

} // namespace

/// Returns false if the engine of the last event has restarted under its id with another software version, and either process may have
/// written the event.
auto StreamRequest::isVersionCertain() const -> bool
{
    const auto *entry = m_context.directory.find(m_lastWriter.id);
    const bool isCertain = !m_headSent || m_isWriterVerified || entry == nullptr;
    return isCertain || (!isEntryOutdated() && entry->softwareVersion == m_lastWriter.softwareVersion);
}

/// Returns whether another process than the one that the entry names answers for the engine of the last event. It has the same id unless an
/// entry under another one shows up.
auto StreamRequest::isEntryOutdated() const -> bool
{
    return m_otherWriterAt && entryStateOf(m_context, m_lastWriter) == EntryState::Present && !isAddressReused(m_context, m_lastWriter);
}

/// Asks the engine of the last event who it is, before its process may end. What it answers is known before another engine's run is
/// verified; without an answer, its entry counts.
auto StreamRequest::verifyWriter() -> void
{
    const bool mayGoOn = m_headSent && m_request.route->resumable && m_attempts.mayRetry();
    if (!mayGoOn || m_isWriterVerified || m_lastWriter.startedAtMs == 0 || std::exchange(m_isWriterAsked, true)) {
        return;
    }
    const auto verification = std::make_shared<RunVerification>(
        m_context, m_lastWriter, m_request.metadata.requestId,
        [self = shared_from_this(), writer = m_lastWriter.id](RunOwner owner) { self->onWriterVerified(writer, owner); });
    verification->start();
}

auto StreamRequest::onWriterVerified(std::string_view writer, RunOwner owner) -> void
{
    if (m_done || writer != m_lastWriter.id || m_isWriterVerified) {
        return;
    }
    m_isWriterVerified = owner == RunOwner::Expected;
    if (owner == RunOwner::Other) {
        m_otherWriterAt = m_context.clock.now();
        if (m_headSent && !m_begunAt) {
            m_heldData.clear();
            breakOff("another process than that of the entry may have begun the stream");
        }
    }
}

auto StreamRequest::planResumption() const -> std::optional<StreamPlan>
{
    if (!isVersionCertain()) {
        return std::nullopt;
    }
    if (m_asksSameEngine) {
        return planSameEngine();
    }
    const bool isReplaced = entryStateOf(m_context, m_decodeEngine) == EntryState::Replaced;
    const auto excluded = isReplaced ? std::string_view() : std::string_view(m_decodeEngine.id);
    return plan([this, excluded](const PlacementInputs &inputs) { return planResume(inputs, excluded, m_context.random); });
}

/// Plans to ask the engine that ran the stream last, while its process is there and takes requests.
auto StreamRequest::planSameEngine() const -> std::optional<StreamPlan>
{
    if (sendBlockOf(m_context, m_decodeEngine) != SendBlock::None) {
        return std::nullopt;
    }
    return StreamPlan{nullptr, m_context.directory.find(m_decodeEngine.id), m_expectedFirstEvent, m_expectedFirstEvent};
}

/// Returns whether an engine is left that may go on with the stream once it has capacity.
auto StreamRequest::hasOtherEngine() const -> bool
{
    const auto usable = m_context.directory.usable(m_request.service);
    return std::any_of(usable.begin(), usable.end(), [this](const auto *engine) {
        const bool isSame = engine->id == m_decodeEngine.id && engine->startedAtMs == m_decodeEngine.startedAtMs;
        return !isSame && engine->role == EngineRole::Decode && mayGoOnAt(*engine, m_version) && !m_context.notices.isLeaving(*engine);
    });
}

auto StreamRequest::resumptionState(bool hasCapacity) const -> ResumptionState
{
    const auto now = m_context.clock.now();
    ResumptionState state;
    state.hasBegun = m_headSent || hasBegunElsewhere();
    state.hasCall = m_decodeCall != 0;
    state.mayRetry = m_attempts.mayRetry() || m_asksSameEngine || m_checksExit;
    state.hasRetryBudget = m_context.retryBudget.mayAcquire(m_request.service, now, m_request.calls.missingRetries(false));
    state.isInTime = now < m_request.deadline()
        && (m_headSent || !outlastsThisVm(m_context, m_context.speedsOf(m_request.service).expectedDuration(m_request.metadata.shape)));
    state.isQuarantined = m_context.quarantine.find(m_request.traits, now).has_value();
    state.isVersionCertain = isVersionCertain();
    state.awaitsEntry = isEntryOutdated() && !m_context.storeUnreachable && now - *m_otherWriterAt < NewEntryPatience;
    state.isPositionKnown = m_sequence.isPositionKnown();
    state.isCutOff = m_context.reach.isCutOff(m_request.service);
    state.hasOtherVm = mayRelay(m_context, m_request);
    state.hasOtherEngine = hasOtherEngine();
    state.hasCapacity = hasCapacity;
    return state;
}

auto StreamRequest::onStall() -> void
{
    if (m_done) {
        return;
    }
    if (endUnchecked(StallReason) || m_queued) {
        return;
    }
    if (m_reserveCall != 0 || m_heldEnd) {
        m_stallTimer->startOnce(StallTimeout);
        return;
    }
    if (m_decodeCall == 0) {
        resume(m_breakReason);
        return;
    }
    if (endsInVain()) {
        return;
    }
    if (!m_request.route->resumable) {
        m_stallTimer->startOnce(SilenceCheckPeriod);
        return;
    }
    recordSilence(m_context, m_decodeEngine, m_sentAt);
    m_reservationsTried = 0;
    resume(StallReason);
}

/// Looks for another engine or VM for a stream whose engine is silent or whose call has broken.
auto StreamRequest::resume(std::string_view reason) -> void
{
    const bool mayAskAnother = m_checksEnd && m_reservationsTried < MaxReservations && !m_splitter.hasPartial();
    if (!mayAskAnother && endUnchecked(reason)) {
        return;
    }
    m_breakReason = reason;
    verifyWriter();
    const auto next = planResumption();
    const auto state = resumptionState(next.has_value());
    takeStep(nextStep(state), state, next);
}

auto StreamRequest::takeStep(ResumptionStep step, const ResumptionState &state, const std::optional<StreamPlan> &next) -> void
{
    const bool mayCheck = step == ResumptionStep::Reserve || (step == ResumptionStep::Wait && state.hasRetryBudget);
    if (!mayCheck && endUnchecked(giveUpReason(state))) {
        return;
    }
    switch (step) {
    case ResumptionStep::KeepCall:
        waitOutStall(giveUpReason(state));
        return;
    case ResumptionStep::Reserve:
        reserveSuccessor(*next);
        return;
    case ResumptionStep::HandOver:
        if (!acquireResumption()) {
            waitForRetry(state);
        } else if (endStalledCall(); !handOver(m_breakReason)) {
            giveUp(state);
        }
        return;
    case ResumptionStep::Wait:
        if (state.isCutOff || !state.hasRetryBudget || state.awaitsEntry) {
            m_stallTimer->startOnce(RetryPeriod);
        } else {
            waitForCapacity();
        }
        return;
    case ResumptionStep::GiveUp:
        giveUp(state);
        return;
    }
}

/// Leaves a silent engine the time to go on.
auto StreamRequest::waitOutStall(std::string_view reason) -> void
{
    m_context.counters.at("stalls_waited_out").add();
    m_context.log.write("stream", "stall_waited_out",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"events", m_events},
                         {"may_move", m_attempts.mayRetry()},
                         {"reason", reason},
                         {"reservations", m_reservationsTried},
                         {"silent_ms", toMilliseconds(m_context.clock.now() - m_lastEventAt)}});
    m_stallTimer->startOnce(StallTimeout);
}

/// Waits until the retry budget allows another send, or for the silent engine.
auto StreamRequest::waitForRetry(const ResumptionState &state) -> void
{
    if (endUnchecked(BudgetReason)) {
        return;
    }
    if (state.hasCall) {
        waitOutStall(BudgetReason);
        return;
    }
    if (!state.hasBegun) {
        fail(false, m_breakReason, ShortRetryAfter);
        return;
    }
    m_stallTimer->startOnce(RetryPeriod);
}

/// Queues a broken stream ahead of those that have not begun.
auto StreamRequest::waitForCapacity() -> void
{
    if (!std::exchange(m_waitsToResume, true)) {
        m_context.counters.at("resumptions_delayed").add();
        m_context.log.write("stream", "waits_to_resume",
                            {{"request", m_request.metadata.requestId},
                             {"reason", m_breakReason},
                             {"software_version", m_decodeEngine.softwareVersion},
                             {"engines_of_version", enginesOfVersion()},
                             {"after_event", eventField(m_sequence.lastId())},
                             {"silent_ms", toMilliseconds(m_context.clock.now() - m_lastEventAt)},
                             {"time_left_ms", toMilliseconds(m_request.deadline() - m_context.clock.now())}});
    }
    release(m_decodeClaim);
    if (m_checksEnd) {
        m_stallTimer->startOnce(EndCheckTime);
    }
    m_queued = true;
    m_context.loads.add(m_request.service, workOf(0, 0));
    // Not in the queue of new streams, which can be placed at engines at which this one may not go on.
    m_context.pendingQueue.enqueue({m_request.service, m_version}, waitingStream(true),
                                   [self = shared_from_this()](bool) { return self->tryResume(); });
}

/// Returns whether the stream leaves the queue.
auto StreamRequest::tryResume() -> bool
{
    if (m_done) {
        return true;
    }
    const auto next = planResumption();
    const auto state = resumptionState(next.has_value());
    const auto step = nextStep(state);
    if (step == ResumptionStep::Wait && !state.isCutOff && state.hasRetryBudget && !state.awaitsEntry) {
        return false;
    }
    leaveQueue();
    takeStep(step, state, next);
    return true;
}

/// Asks the planned engine for capacity. The answer also shows that it is not silent itself.
auto StreamRequest::reserveSuccessor(const StreamPlan &plan) -> void
{
    m_successor = *plan.decode;
    m_successorFirstEvent = plan.timeToFirstToken;
    m_successorChosenAt = m_context.clock.now();
    m_eventsAtStall = m_events;
    ++m_reservationsTried;
    setClaim(m_successorClaim, m_successor, decodeWork(true));
    if (!takesReservations(m_successor)) {
        onSuccessorReserved(std::string());
        return;
    }
    startReservation(m_successor, ReservationLifetime,
                     [self = shared_from_this()](const Result<std::string> &reserved) { self->onSuccessorReserved(reserved); });
}

auto StreamRequest::onSuccessorReserved(const Result<std::string> &reserved) -> void
{
    if (!reserved) {
        release(m_successorClaim);
        recordRefusedReservation(m_successor, reserved.error());
        if (m_checksEnd && m_reservationsTried < MaxReservations) {
            const auto next = planResumption();
            const auto state = resumptionState(next.has_value());
            takeStep(nextStep(state), state, next);
            return;
        }
        if (m_decodeCall != 0 && m_events != m_eventsAtStall) {
            return;
        }
        if (m_decodeCall != 0 && m_reservationsTried >= MaxReservations) {
            waitOutStall("no engine grants capacity");
            return;
        }
        resume(m_breakReason);
        return;
    }
    if (m_decodeCall != 0 && m_events != m_eventsAtStall) {
        m_context.counters.at("stalls_ended").add();
        m_context.log.write("stream", "stall_ended",
                            {{"request", m_request.metadata.requestId},
                             {"engine", m_decodeEngine.id},
                             {"not_moved_to", m_successor.id},
                             {"events", m_events}});
        dropSuccessor(*reserved);
        return;
    }
    const auto state = resumptionState(maySend(m_context, m_request, m_successor, "decode", m_successorChosenAt));
    if (nextStep(state) != ResumptionStep::Reserve) {
        dropSuccessor(*reserved);
        resume(m_breakReason);
    } else if (!acquireResumption()) {
        dropSuccessor(*reserved);
        waitForRetry(state);
    } else {
        moveToSuccessor(*reserved);
    }
}

auto StreamRequest::dropSuccessor(const std::string &reservation) -> void
{
    release(m_successorClaim);
    if (!reservation.empty()) {
        startRelease(m_context, m_successor, m_context.protocol.dropReservationCall(m_successor, reservation));
    }
}

/// Ends the search for another engine, because the request is placed anew.
auto StreamRequest::cancelSuccessor() -> void
{
    if (!m_successorClaim.engine.empty()) {
        m_context.client.cancel(std::exchange(m_reserveCall, 0));
        release(m_successorClaim);
    }
}

/// Gives up the call to a silent engine.
auto StreamRequest::endStalledCall() -> void
{
    if (m_decodeCall == 0) {
        return;
    }
    cancelDecodeCall();
    m_attempts.onOutcome(AttemptOutcome::Unknown, m_attemptsOfCall);
    recordFailure(m_decodeEngine, {});
    logBroken(AttemptOutcome::Unknown, StallReason, {});
}

auto StreamRequest::moveToSuccessor(const std::string &reservation) -> void
{
    endStalledCall();
    freeHandle();
    m_decodeEngine = m_successor;
    m_expectedFirstEvent = m_successorFirstEvent;
    m_reservation = reservation;
    m_waitsToResume = false;
    release(m_decodeClaim);
    m_decodeClaim = std::exchange(m_successorClaim, {});
    m_context.counters.at(m_checksEnd ? "stream_ends_checked" : "streams_continued").add();
    m_context.log.write("stream", "stream_goes_on",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"software_version", m_decodeEngine.softwareVersion},
                         {"reserved", !reservation.empty()},
                         {"after_event", eventField(m_sequence.lastId())},
                         {"reason", m_breakReason},
                         {"sends", m_attempts.count()}});
    startDecode();
}

/// Returns whether the retry budget allows to send the stream to another engine or VM.
auto StreamRequest::acquireResumption() -> bool
{
    return acquireRetries(m_context, m_request, m_request.calls);
}

auto StreamRequest::giveUp(const ResumptionState &state) -> void
{
    if (!state.hasOtherEngine || !state.isVersionCertain) {
        m_context.counters.at("streams_not_resumable").add();
        m_context.log.write("stream", "stream_not_resumable",
                            {{"request", m_request.metadata.requestId},
                             {"software_version", m_decodeEngine.softwareVersion},
                             {"version_certain", state.isVersionCertain},
                             {"engines_of_version", enginesOfVersion()},
                             {"after_event", eventField(m_sequence.lastId())}});
    }
    fail(false, m_headSent ? fmt::format("{}; {}", m_breakReason, giveUpReason(state)) : m_breakReason, ShortRetryAfter);
}

} // namespace currantstack
