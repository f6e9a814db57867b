// One request of a caller for a stream, from its placement to its last event.
#pragma once

#include "currantstack/edge/event_splitter.h"
#include "currantstack/edge/forwarding.h"

namespace currantstack
{

/// Reads the prompt at a prefill engine where the plan says so, relays the events of the decode engine, and goes on at another
/// engine where a resumable stream breaks.
class StreamRequest : public std::enable_shared_from_this<StreamRequest>
{
public:
    StreamRequest(EdgeContext &context, IncomingRequest request)
        : m_context(context)
        , m_request(std::move(request))
        , m_attempt(m_request.route->kind, m_request.route->resumable, m_request.route->attempts)
        , m_lastEventId(m_request.metadata.lastEventId)
    { }

    auto start() -> void;

private:
    /// Chooses one way among those that the inputs allow.
    using PlanFunction = std::function<std::optional<StreamPlan>(const PlacementInputs &inputs)>;

    /// Work that is booked at one engine until it is released.
    struct LoadClaim
    {
        std::string engine;
        WorkUnderWay work;
    };

    // stream_placement.cc
    auto tryPlace() -> bool;
    auto place(const StreamPlan &plan) -> void;
    auto execute(bool separatePrefill) -> void;
    auto firstEventLimit() const -> Duration;
    auto isTooLarge() const -> bool;
    auto expectedWait() const -> Duration;
    auto enqueue(bool atHead) -> void;
    auto leaveQueue() -> void;
    auto claimDecode(bool withPrefill) -> void;
    auto growDecodeClaim() -> void;
    auto tokensPerEvent() const -> std::int64_t;
    auto plan(const PlanFunction &planFunction) const -> std::optional<StreamPlan>;
    auto views(EngineRole role) const -> std::vector<EngineView>;
    auto setClaim(LoadClaim &claim, const Upstream &engine, const WorkUnderWay &work) -> void;
    auto release(LoadClaim &claim) -> void;
    auto releasePromptTokens() -> void;
    auto logPlan(const StreamPlan &plan) const -> void;

    // stream_reservation.cc
    auto reserve(const StreamPlan &plan) -> void;
    auto onReserved(const Result<HttpResponse> &result, bool separatePrefill) -> void;
    auto dropReservation() -> void;
    auto isBusy(const Upstream &engine) const -> bool;
    auto recordFailure(const Upstream &engine, bool entryOutdated) -> void;

    // stream_prefill.cc
    auto startPrefill() -> void;
    auto onPrefilled(Result<HttpResponse> result) -> void;
    auto acceptHandle(const HttpResponse &response) -> bool;
    auto abandonPrefill(SendOutcome outcome, std::string_view reason, bool entryOutdated = false) -> void;
    auto freeHandle() -> void;

    // stream_decode.cc
    auto startDecode() -> void;
    auto onHead(int status, const Headers &headers) -> void;
    auto onData(std::string_view data) -> void;
    auto onEvent(const RawEvent &event) -> void;
    auto onDecodeDone(const Result<HttpResponse> &result) -> void;
    auto onFirstEvent() -> void;
    auto onStall() -> void;
    auto restartStallTimer() -> void;
    auto onDecodeBroken(SendOutcome outcome, std::string_view reason, bool entryOutdated = false) -> void;
    auto resumeElsewhere(SendOutcome outcome, std::string_view reason) -> bool;
    auto planResumption() const -> std::optional<StreamPlan>;
    auto restart(SendOutcome outcome) -> bool;
    auto redirect() -> bool;
    auto placeOrEnqueue() -> void;

    // stream_request.cc
    auto complete() -> void;
    auto fail(bool timedOut, std::string_view reason, Duration retryAfter) -> void;
    auto finish() -> void;
    auto retryDelay() const -> Duration;

    EdgeContext &m_context;
    IncomingRequest m_request;
    Attempt m_attempt;

    LoadClaim m_prefillClaim;
    LoadClaim m_decodeClaim;
    Upstream m_prefillEngine; // copies: an entry may go while its engine is used
    Upstream m_decodeEngine;
    Duration m_expectedPrefill = Duration::zero();
    Duration m_expectedFirstEvent = Duration::zero();
    double m_queuedPromptTokens = 0; // prompt tokens that wait at the engine that reads, this prompt included
    std::string m_kvSource; // handle that the decode engine takes; empty: it reads the prompt itself
    std::string m_handle; // held at the prefill engine and not taken
    std::string m_reservation; // of room at the decode engine, not yet used
    HttpClient::CallId m_reserveCall = 0;
    HttpClient::CallId m_prefillCall = 0;
    HttpClient::CallId m_decodeCall = 0;
    TimePoint m_prefilledAt; // when `m_handle` was given
    TimePoint m_sentAt; // of the call under way
    TimePoint m_decodeStartedAt; // of the first decode call

    EventSplitter m_splitter;
    Headers m_answerHeaders; // of the first engine
    int m_answerStatus = 0;
    HttpResponse m_errorAnswer; // a failure that an engine answered, collected
    bool m_collectingError = false;
    bool m_decoding = false;
    bool m_headSent = false; // the caller has the head
    std::int64_t m_lastEventId;
    int m_events = 0;
    TimePoint m_lastEventAt;
    Duration m_firstEventAge = Duration::zero();
    Duration m_longestGap = Duration::zero();

    bool m_queued = false; // counted in the load table as waiting for room

    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_queueTimer;
    std::unique_ptr<Timer> m_prefillTimer;
    std::unique_ptr<Timer> m_stallTimer;
    bool m_done = false;
};

} // namespace currantstack
