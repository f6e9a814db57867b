// A caller's request that another VM forwards, because this one cannot reach the service's upstreams.
#pragma once

#include "currantstack/decisions/event_sequence.h"
#include "currantstack/edge/event_splitter.h"
#include "currantstack/edge/forwarding.h"

namespace currantstack
{

/// What is known of a request when another VM takes over.
struct RelayStart
{
    IncomingRequest request;
    RequestAttempts attempts;
    bool counted = false; // in this VM's retry budget and rate limits
    bool headSent = false; // of a stream; the caller has received events up to `lastEventId`
    std::optional<std::int64_t> lastEventId; // none: it has no event
    std::string firstAttemptId; // of a stream that goes on
    std::string_view reason;
    bool mayHaveEnded = false; // the caller may have all events of the stream, so that none may follow
};

/// Asks other VMs to forward the request, one after the other, and relays the answer. A stream that has begun waits until one takes it.
class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(EdgeContext &context, RelayStart start)
        : m_context(context)
        , m_request(std::move(start.request))
        , m_attempts(start.attempts)
        , m_counted(start.counted)
        , m_headSent(start.headSent)
        , m_sequence(start.lastEventId)
        , m_firstAttemptId(std::move(start.firstAttemptId))
        , m_mayHaveEnded(start.mayHaveEnded)
        , m_resumes(start.headSent)
        , m_isStream(m_request.route->kind == RouteKind::Stream)
    {
        if (m_firstAttemptId.empty()) {
            const auto &metadata = m_request.metadata;
            m_firstAttemptId = metadata.firstAttemptId.empty() ? metadata.requestId : metadata.firstAttemptId;
        }
    }

    auto start(std::string_view reason) -> void;

private:
    auto send(std::string_view reason) -> bool;
    auto outlastsThisVm() const -> bool;
    auto relayInfo() const -> RelayInfo;
    auto onHead(int status, const Headers &headers) -> void;
    auto onData(std::string_view data) -> void;
    auto onEvent(const RawEvent &event) -> void;
    auto beginStream() -> void;
    auto onDone(const Result<HttpResponse> &result) -> void;
    auto onAnswer(HttpResponse response) -> void;
    auto readCalls(const Headers &headers) -> void;
    auto classify(int status, const Headers &headers) const -> AttemptOutcome;
    auto onBroken(AttemptOutcome outcome, std::string_view reason) -> void;
    auto maySendAgain() const -> bool;
    auto mayAskAnother() -> bool;
    auto askAnother() -> void;
    auto waitToAskAgain() -> bool;
    auto restartEventTimer() -> void;
    auto onSilence() -> void;
    auto answerHeaders(const Headers &headers) const -> Headers;
    auto logAnswer(int status) -> void;
    auto fail(bool timedOut, std::string_view reason) -> void;
    auto endCall() -> void;
    auto finish() -> void;

    EdgeContext &m_context;
    IncomingRequest m_request;
    RequestAttempts m_attempts;
    bool m_counted;
    bool m_headSent;
    EventSequence m_sequence; // of the events of all runs that the caller has
    std::string m_firstAttemptId;
    bool m_mayHaveEnded; // when this VM handed the stream over
    bool m_resumes; // the caller already has events of the stream
    bool m_isStream;
    std::vector<std::string> m_tried; // VMs
    int m_delegated = 0; // attempts that the VM which forwards the request now may make
    std::size_t m_sends = 0; // to other VMs, without those that were not sent or refused at once
    Duration m_askAgainPause = Duration::zero();
    std::string m_breakReason; // of the last call
    bool m_callsReported = false; // by the VM that forwards the request now
    std::string m_vm; // that forwards the request now
    OpenRequests::Id m_openId = 0;
    HttpClient::CallId m_call = 0;
    HttpResponse m_answer; // its head, and the body of an error
    bool m_headRead = false;
    EventSplitter m_splitter;
    bool m_isDisordered = false; // the current run has sent an event with a lower id than the one before it
    std::string m_heldFiller; // fields without data and comments before the first event, sent with it
    std::size_t m_fillerBytes = 0; // of fields without data and comments since the last event
    int m_events = 0;
    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_eventTimer;
    bool m_done = false;
};

/// Returns whether another VM may forward the request: this one is cut off from the service's upstreams, or could not connect to them,
/// and the request is not one that another VM has sent here.
auto mayRelay(const EdgeContext &context, const IncomingRequest &request) -> bool;

/// Hands the request over to another VM and answers its caller.
auto relayRequest(EdgeContext &context, RelayStart start) -> void;

} // namespace currantstack
