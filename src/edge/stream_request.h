// One streaming request, from its placement on engines to its last event.
#pragma once

#include "currantstack/decisions/admission.h"
#include "currantstack/decisions/event_id_pattern.h"
#include "currantstack/decisions/event_sequence.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/decisions/stream_resumption.h"
#include "currantstack/edge/end_confirmation.h"
#include "currantstack/edge/event_splitter.h"
#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/notice_observer.h"
#include "currantstack/edge/run_verification.h"

namespace currantstack
{

/// Runs the prefill on a separate engine if the plan has one, relays the events of the decode engine, and resumes a broken
/// stream on another engine if the route allows it.
class StreamRequest : public std::enable_shared_from_this<StreamRequest>
{
public:
    StreamRequest(EdgeContext &context, IncomingRequest request)
        : m_context(context)
        , m_request(std::move(request))
        , m_attempts(attemptsOf(m_request))
        , m_sequence(m_request.metadata.lastEventId)
        , m_mayHaveEnded(m_request.relay && m_request.relay->mayHaveEnded)
    { }

    auto start() -> void;

private:
    /// Period in which a stream that may not be moved checks whether its engine is gone.
    static constexpr Duration SilenceCheckPeriod = milliseconds(300);

    /// Time in which an engine takes the check of an end, and in which its run then ends.
    static constexpr Duration EndCheckTime = milliseconds(1000);

    /// Receives the id of a reservation, or why there is none.
    using ReservationDone = std::function<void(const Result<std::string> &reserved)>;

    /// Chooses the engines, or returns nothing if no engine has capacity.
    using PlanFunction = std::function<std::optional<StreamPlan>(const PlacementInputs &inputs)>;

    /// Work that the load table counts at one engine until the claim is released.
    struct LoadClaim
    {
        std::string engine;
        InFlightWork work;
    };

    /// What a failed call shows about the engine.
    struct FailureEvidence
    {
        bool entryOutdated = false; // the directory entry no longer matches the engine at the address
        bool connectionClosed = false; // the engine closed the connection before its answer was complete
        bool endDoubtful = false; // all of the answer may have arrived
    };

    auto admit() -> void;
    auto waitForEngines() -> void;

    // stream_continuation.cc
    auto continueStream() -> void;
    auto versionKnowledge() const -> VersionKnowledge;
    auto continueFrom(const std::optional<StreamOrigin> &origin) -> void;
    auto chooseServiceOf(SoftwareVersionKey version) -> void;
    auto firstAttemptId() const -> const std::string &;

    // stream_placement.cc
    auto isUrgent() const -> bool;
    auto hasBegunElsewhere() const -> bool;
    auto waitingStream(bool begun) const -> WaitingStream;
    auto queuedPromptTokens(const Upstream &engine) const -> double;
    auto reservedStreams(const PlacementInputs &inputs) const -> double;
    auto tryPlace(bool isTurn) -> bool;
    auto place(const StreamPlan &plan) -> void;
    auto execute(bool separatePrefill) -> void;
    auto maySendTo(const Upstream &engine, std::string_view way) -> bool;
    auto placeAgain() -> void;
    auto firstEventLimit() const -> Duration;
    auto isTooLarge() const -> bool;
    auto limitedWait(EngineRole role) const -> Duration;
    auto queueEstimate() const -> QueueEstimate;
    auto longestWait() const -> Duration;
    auto isLate() const -> bool;
    auto isSoonEnough(const StreamPlan &plan) const -> bool;
    auto refuseForPause(Duration maxWait) -> bool;
    auto refuseForLimits(Duration maxWait) -> bool;
    auto enqueue(bool atHead) -> void;
    auto queueKey() const -> QueueKey;
    auto leaveQueue() -> void;
    auto claimDecode(bool withPrefill) -> void;
    auto decodeWork(bool withPrefill) const -> InFlightWork;
    auto workOf(double promptTokens, double kvTokens) const -> InFlightWork;
    auto growDecodeClaim() -> void;
    auto tokensPerEvent() const -> std::int64_t;
    auto plan(const PlanFunction &planFunction) const -> std::optional<StreamPlan>;
    auto withoutOthersCapacity(std::vector<EngineView> views) const -> std::vector<EngineView>;
    auto engineViews(EngineRole role) const -> std::vector<EngineView>;
    auto isAwaited(const Upstream &engine) const -> bool;
    auto enginesOfVersion() const -> std::size_t;
    auto setClaim(LoadClaim &claim, const Upstream &engine, const InFlightWork &work) -> void;
    auto release(LoadClaim &claim) -> void;
    auto releasePromptTokens() -> void;
    auto logPlan(const StreamPlan &plan) const -> void;

    // stream_reservation.cc
    auto takesReservations(const Upstream &engine) const -> bool;
    auto startReservation(const Upstream &engine, Duration lifetime, ReservationDone done) -> void;
    auto recordRefusedReservation(const Upstream &engine, const Error &error) -> void;
    auto reserve(const StreamPlan &plan) -> void;
    auto onReserved(const Result<std::string> &reserved, bool separatePrefill) -> void;
    auto dropReservation() -> void;
    auto isBusy(const Upstream &engine) const -> bool;
    auto recordFailure(const Upstream &engine, FailureEvidence evidence) -> void;
    static auto evidenceOf(const Error &error) -> FailureEvidence;

    // stream_prefill.cc
    auto startPrefill() -> void;
    auto onPrefilled(Result<HttpResponse> result) -> void;
    auto acceptHandle(const HttpResponse &response) -> bool;
    auto onPrefillTimeout() -> void;
    auto abandonPrefill(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) -> void;
    auto freeHandle() -> void;

    // stream_decode.cc
    auto startDecode() -> void;
    auto onHead(int status, const Headers &headers) -> void;
    auto onData(std::string_view data) -> void;
    auto passOn(std::string_view data) -> void;
    auto continuesEvents() const -> bool;
    auto verifyRun() -> void;
    auto onRunVerified(RunOwner owner) -> void;
    auto cancelDecodeCall() -> void;
    auto breakOff(std::string_view reason) -> void;
    auto onDecodeDone(const Result<HttpResponse> &result) -> void;
    auto onRunEnded(const Result<HttpResponse> &result) -> void;
    auto onDecodeFailed(const Error &error) -> void;
    auto onDecodeEnd() -> void;
    auto recordSurvival() -> void;
    auto restartStallTimer() -> void;
    auto awaitedSince() const -> TimePoint;
    auto endsInVain() -> bool;
    auto isStuckInEvent() const -> bool;
    auto onDecodeBroken(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) -> void;
    auto logBroken(AttemptOutcome outcome, std::string_view reason, FailureEvidence evidence) const -> void;
    auto restart(AttemptOutcome outcome) -> bool;
    auto isRetained(TimePoint prefilledAt) const -> bool;
    auto redirect() -> bool;
    auto placeOrEnqueue() -> void;

    // stream_end.cc
    auto confirmEnd() -> void;
    auto onEndJudged(bool isComplete) -> void;
    auto mayBeStopped() const -> bool;
    auto incompleteReason() const -> std::string_view;
    auto mayBeCutByExit() const -> bool;
    auto onExitJudged(bool isComplete) -> void;
    auto isEndCheck() const -> bool;
    auto checkEnd() -> bool;
    auto askForRest() -> void;
    auto logUnchecked(std::string_view reason, bool isSuspect) const -> void;
    auto endUnchecked(std::string_view reason) -> bool;
    auto recordCutEnd() -> void;

    // stream_events.cc
    auto onEvent(const RawEvent &event) -> void;
    auto isInOrder(const RawEvent &event) -> bool;
    auto passesGap(const RawEvent &event, const IdGap &gap) -> bool;
    auto disorderFields(const RawEvent &event) const -> LogFields;
    auto onFirstEvent() -> void;

    // stream_resumption.cc
    auto isVersionCertain() const -> bool;
    auto isEntryOutdated() const -> bool;
    auto verifyWriter() -> void;
    auto onWriterVerified(std::string_view writer, RunOwner owner) -> void;
    auto hasOtherEngine() const -> bool;
    auto planResumption() const -> std::optional<StreamPlan>;
    auto planSameEngine() const -> std::optional<StreamPlan>;
    auto resumptionState(bool hasCapacity) const -> ResumptionState;
    auto onStall() -> void;
    auto resume(std::string_view reason) -> void;
    auto takeStep(ResumptionStep step, const ResumptionState &state, const std::optional<StreamPlan> &next) -> void;
    auto waitOutStall(std::string_view reason) -> void;
    auto waitForRetry(const ResumptionState &state) -> void;
    auto waitForCapacity() -> void;
    auto tryResume() -> bool;
    auto reserveSuccessor(const StreamPlan &plan) -> void;
    auto onSuccessorReserved(const Result<std::string> &reserved) -> void;
    auto dropSuccessor(const std::string &reservation) -> void;
    auto cancelSuccessor() -> void;
    auto endStalledCall() -> void;
    auto moveToSuccessor(const std::string &reservation) -> void;
    auto acquireResumption() -> bool;
    auto giveUp(const ResumptionState &state) -> void;

    // stream_handover.cc
    auto handOver(std::string_view reason) -> bool;
    auto leaveIfCutOff() -> bool;
    auto handOverIfUnreached(std::string_view reason) -> bool;

    // stream_request.cc
    auto complete() -> void;
    auto abort(std::string_view reason) -> void;
    auto fail(bool timedOut, std::string_view reason, Duration retryAfter) -> void;
    auto finish() -> void;
    auto endForStop(StopPhase phase) -> void;
    auto refuseIfTooLong(Duration expected) -> bool;
    auto retryDelay() const -> Duration;

    EdgeContext &m_context;
    IncomingRequest m_request;
    RequestAttempts m_attempts;

    LoadClaim m_prefillClaim;
    LoadClaim m_decodeClaim;
    LoadClaim m_successorClaim; // while capacity is reserved at `m_successor`
    Upstream m_prefillEngine; // copies, because the directory may drop an entry while its engine is in use
    Upstream m_decodeEngine;
    Upstream m_successor; // engine at which a stalled or broken stream is to go on
    SoftwareVersionKey m_version = AnySoftwareVersion; // that began the stream; the plans choose only decode engines of this version
    Duration m_expectedPrefill = Duration::zero();
    Duration m_expectedFirstEvent = Duration::zero();
    double m_queuedPromptTokens = 0; // at the engine that runs the prefill, including this prompt
    std::string m_kvSource; // "address/handle" from which the decode engine fetches the KV cache; empty: it runs the prefill itself
    std::string m_handle; // KV cache retained at the prefill engine, not yet fetched
    std::string m_reservation; // of KV memory at the decode engine, not yet used
    HttpClient::CallId m_reserveCall = 0;
    HttpClient::CallId m_prefillCall = 0;
    HttpClient::CallId m_decodeCall = 0;
    TimePoint m_prefilledAt; // when `m_handle` was received
    TimePoint m_prefillDueAt; // when it was expected
    TimePoint m_sentAt; // of the call in flight
    TimePoint m_workEndsAt; // when this VM breaks the call in flight off at the latest
    TimePoint m_plannedAt; // when the decode engine was chosen
    TimePoint m_decodeStartedAt; // of the first decode call

    EventSplitter m_splitter;
    Headers m_answerHeaders; // from the first decode engine
    int m_answerStatus = 0;
    HttpResponse m_errorAnswer; // an engine's own error response, while its body arrives
    bool m_collectingError = false; // the decode call returns `m_errorAnswer` instead of events
    BodyFraming m_framing = BodyFraming::Chunks; // of the answer that is being read
    std::shared_ptr<RunVerification> m_runVerification; // while the bytes of the run in flight are held back
    std::string m_heldData; // of a run that is not verified
    std::optional<Result<HttpResponse>> m_heldEnd; // of the same run
    TimePoint m_endedAt; // when the engine ended its answer
    bool m_isRunVerified = false; // the call in flight is answered by the process that the engine's entry names
    std::shared_ptr<EndConfirmation> m_endConfirmation; // while the end of the answer is held back
    bool m_checksEnd = false; // an end that looks complete is being checked; without a result, it counts as complete
    bool m_asksSameEngine = false; // for that, because no other one is left, or no attempt for it
    bool m_checksExit = false; // the end that is checked came in chunks, from an engine that has exited
    int m_attemptsOfCall = 1; // that the call in flight counts for
    bool m_decoding = false;
    bool m_headSent = false; // the caller has received the response head
    EventSequence m_sequence; // of the events of all runs that the caller has
    bool m_endConfirmed = false; // by the engine of the last events, but the check had no result, so that the stream goes on
    bool m_mayHaveEnded = false; // the last run may have sent all events, so that the next one may have none left
    std::string_view m_disorder; // why the current run is given up; empty: its events are in order
    std::optional<IdGap> m_brokenGap; // at which the last run was broken off
    std::size_t m_fillerBytes = 0; // of fields without data and comments since the last event
    std::optional<TimePoint> m_partialSince; // first byte of an event that is not complete
    std::string m_heldFiller; // fields without data and comments before the first event, sent with it
    int m_events = 0;
    std::optional<TimePoint> m_begunAt; // first event of the current decode engine
    Upstream m_lastWriter; // engine of the last event
    bool m_isWriterVerified = false; // the run of that event was
    bool m_isWriterAsked = false; // who it is, since the event
    std::optional<TimePoint> m_otherWriterAt; // when another process answered for that engine
    bool m_survivalRecorded = false; // the quarantine knows that the current decode engine survived the begin of this stream
    TimePoint m_lastEventAt;
    Duration m_timeToFirstEvent = Duration::zero();
    Duration m_longestGap = Duration::zero();

    // Search for another engine.
    std::string m_breakReason;
    Duration m_successorFirstEvent = Duration::zero(); // expected
    TimePoint m_successorChosenAt;
    int m_eventsAtStall = 0;
    int m_reservationsTried = 0; // since the last stall
    bool m_waitsToResume = false;

    OpenRequests::Id m_openId = 0;
    bool m_queued = false; // counted in the load table as a pending request of the service

    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_queueTimer;
    std::unique_ptr<Timer> m_prefillTimer;
    bool m_prefillWaited = false; // once for the engine of the current prefill, beyond its timeout
    std::unique_ptr<Timer> m_stallTimer;
    bool m_handedOver = false; // another VM forwards the request
    bool m_done = false;
};

} // namespace currantstack
