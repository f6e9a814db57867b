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
        , m_lastEventId(m_request.facts.lastEventId)
    { }

    auto start() -> void;

private:
    /// Chooses one way among those that the inputs allow.
    using PlanWay = std::function<std::optional<StreamPlan>(const PlacementInputs &inputs)>;

    /// Work that is booked at one engine until it is released.
    struct Booking
    {
        std::string engine;
        InFlightWork work;
    };

    // stream_placement.cc
    auto tryPlace() -> bool;
    auto place(const StreamPlan &plan) -> void;
    auto begin(bool split) -> void;
    auto admittedTime() const -> Duration;
    auto isTooLarge() const -> bool;
    auto expectedWait() const -> Duration;
    auto waitForRoom(bool first) -> void;
    auto leaveWaitingRoom() -> void;
    auto bookDecode(bool readsPrompt) -> void;
    auto growDecodeBooking() -> void;
    auto tokensPerEvent() const -> std::int64_t;
    auto plan(const PlanWay &way) const -> std::optional<StreamPlan>;
    auto views(EngineRole role) const -> std::vector<EngineView>;
    auto book(Booking &booking, const Upstream &engine, const InFlightWork &work) -> void;
    auto release(Booking &booking) -> void;
    auto releasePrompt() -> void;
    auto logPlan(const StreamPlan &plan) const -> void;

    // stream_reservation.cc
    auto reserve(const StreamPlan &plan) -> void;
    auto onReserved(const Result<HttpResponse> &result, bool split) -> void;
    auto dropReservation() -> void;
    auto isBusy(const Upstream &engine) const -> bool;
    auto noteFailure(const Upstream &engine, bool isOutdated) -> void;

    // stream_prefill.cc
    auto startPrefill() -> void;
    auto onPrefilled(Result<HttpResponse> result) -> void;
    auto takeHandle(const HttpResponse &response) -> bool;
    auto leavePrefill(AttemptOutcome outcome, std::string_view reason, bool isOutdated = false) -> void;
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
    auto onBroken(AttemptOutcome outcome, std::string_view reason, bool isOutdated = false) -> void;
    auto goOnElsewhere(AttemptOutcome outcome, std::string_view reason) -> bool;
    auto planResumed() const -> std::optional<StreamPlan>;
    auto startAnew(AttemptOutcome outcome) -> bool;
    auto redirect() -> bool;
    auto placeOrWait() -> void;

    // stream_request.cc
    auto complete() -> void;
    auto giveUp(bool timedOut, std::string_view reason, Duration retryAfter) -> void;
    auto finish() -> void;
    auto retryDelay() const -> Duration;

    EdgeContext &m_context;
    IncomingRequest m_request;
    RequestAttempts m_attempt;

    Booking m_prefillBooking;
    Booking m_decodeBooking;
    Upstream m_prefillEngine; // copies: an entry may go while its engine is used
    Upstream m_decodeEngine;
    Duration m_expectedRead = Duration::zero();
    Duration m_expectedFirst = Duration::zero();
    double m_tokensAhead = 0; // prompt tokens that wait at the engine that reads, this prompt included
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
    HttpResponse m_plainAnswer; // a failure that an engine answered, collected
    bool m_collecting = false;
    bool m_decoding = false;
    bool m_begun = false; // the caller has the head
    std::int64_t m_lastEventId;
    int m_events = 0;
    TimePoint m_lastEventAt;
    Duration m_firstEventAge = Duration::zero();
    Duration m_longestGap = Duration::zero();

    bool m_waiting = false; // counted in the load table as waiting for room

    std::unique_ptr<Timer> m_deadline;
    std::unique_ptr<Timer> m_waitLimit;
    std::unique_ptr<Timer> m_prefillLimit;
    std::unique_ptr<Timer> m_stall;
    bool m_done = false;
};

} // namespace currantstack
