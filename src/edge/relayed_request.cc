#include "relayed_request.h"

#include "currantstack/edge/event_splitter.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxSends = 3; // of one request to VMs that do not refuse at once
constexpr std::size_t MaxVms = 8; // that are asked for one request
constexpr Duration RelayAllowance = milliseconds(40); // left of the deadline for the way back from the other VM
// The other VM moves a silent stream itself, so this VM waits longer for it before it asks another one.
constexpr Duration EventTimeout = milliseconds(2000);
constexpr int AnswerTimeoutFactor = 2; // of the latency goal, added to the former for the answer or the first event
constexpr std::size_t MaxCallerBacklog = 4U << 20; // bytes of events that the caller has not read
constexpr std::size_t MaxErrorBody = 1U << 20; // bytes
constexpr Duration ShortestRetryAfter = milliseconds(300); // a cut lasts seconds; the balancer sends the caller to another VM
constexpr Duration LongestRetryAfter = milliseconds(1200);

class RelayedRequest : public std::enable_shared_from_this<RelayedRequest>
{
public:
    RelayedRequest(EdgeContext &context, RelayStart start)
        : m_context(context)
        , m_request(std::move(start.request))
        , m_attempts(start.attempts)
        , m_counted(start.counted)
        , m_headSent(start.headSent)
        , m_lastEventId(start.lastEventId)
        , m_firstAttemptId(std::move(start.firstAttemptId))
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
    auto classify(int status, const Headers &headers) const -> AttemptOutcome;
    auto onBroken(AttemptOutcome outcome, std::string_view reason) -> void;
    auto mayAskAnother(AttemptOutcome outcome) -> bool;
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
    std::int64_t m_lastEventId;
    std::string m_firstAttemptId;
    bool m_resumes; // the caller already has events of the stream
    bool m_isStream;
    std::vector<std::string> m_tried; // VMs
    int m_delegated = 0; // attempts that the VM which forwards the request now may make
    std::size_t m_sends = 0; // to other VMs, without those that were not sent or refused at once
    bool m_retryAcquired = false; // the retry budget has already counted the next send
    std::string m_vm; // that forwards the request now
    OpenRequests::Id m_openId = 0;
    HttpClient::CallId m_call = 0;
    HttpResponse m_answer; // its head, and the body of an error
    bool m_headRead = false;
    EventSplitter m_splitter;
    std::string m_heldFiller; // blank lines and comments before the first event, sent with it
    std::size_t m_fillerBytes = 0; // of blank lines and comments since the last event
    int m_events = 0;
    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_eventTimer;
    bool m_done = false;
};

auto RelayedRequest::start(std::string_view reason) -> void
{
    const auto self = shared_from_this();
    m_request.exchange->onDisconnect([self]() {
        self->m_context.log.write("relay", "caller_gone",
                                  {{"request", self->m_request.metadata.requestId}, {"through", self->m_vm}, {"events", self->m_events}});
        self->finish();
    });
    m_openId = m_context.openRequests.add([self](StopPhase phase) {
        if (phase == StopPhase::All || !self->m_headSent) {
            self->fail(false, StopReason);
        }
    });
    m_deadlineTimer = m_context.loop.timer([self]() { self->fail(true, "no answer in time"); });
    m_deadlineTimer->startOnce(m_request.deadline() - AnswerMargin - m_context.clock.now());
    if (!m_headSent && outlastsThisVm()) {
        fail(false, StopReason);
    } else if (!send(reason)) {
        fail(false, "no other VM reaches the upstreams of the service");
    }
}

/// Returns whether the answer is expected too late, because this VM stops.
auto RelayedRequest::outlastsThisVm() const -> bool
{
    const auto &service = m_request.service;
    const auto expected = m_isStream ? m_context.speedsOf(service).expectedDuration(m_request.metadata.shape)
                                     : fromMilliseconds(m_context.requestTimeOf(service).value());
    return currantstack::outlastsThisVm(m_context, expected);
}

/// Returns false if no VM is left to ask.
auto RelayedRequest::send(std::string_view reason) -> bool
{
    if (m_tried.size() >= MaxVms || m_sends >= MaxSends) {
        return false;
    }
    const auto candidates = m_context.relayHooks.candidates(m_request.service);
    const auto *chosen = chooseRelay(candidates, m_tried, m_context.random);
    if (chosen == nullptr) {
        return false;
    }
    m_vm = chosen->vm;
    m_tried.push_back(m_vm);
    m_delegated = m_attempts.attemptsToDelegate(chooseRelay(candidates, m_tried, m_context.random) != nullptr);
    ++m_sends;
    ++m_context.relayedInFlight[m_vm];
    m_context.counters.at("requests_relayed").add();
    m_context.log.write("relay", "request_relayed",
                        {{"request", m_request.metadata.requestId},
                         {"route", m_request.route->name},
                         {"service", m_request.service},
                         {"to", m_vm},
                         {"reason", reason},
                         {"candidates", candidates.size()},
                         {"in_flight", chosen->inFlight},
                         {"attempts", m_delegated},
                         {"reports_to_take_relays", chosen->takesRelays},
                         {"after_event", m_lastEventId},
                         {"age_ms", toMilliseconds(m_context.clock.now() - m_request.arrivedAt)}});
    const auto &incoming = m_request.exchange->request();
    HttpCall call;
    call.method = incoming.method;
    call.url = urlOf(chosen->address.text(), "/");
    call.target = incoming.target;
    call.headers = m_context.protocol.relayHeaders(incoming);
    call.headers.push_back({std::string(RelayHeader), encodeRelay(relayInfo())});
    call.sharedBody = m_request.exchange->sharedBody();
    call.connectTimeout = ConnectTimeout;
    call.sourceIp = m_context.settings.peerAddress.ip;
    call.exactHeaders = true;
    call.useOwnConnection();
    call.step = "relay";
    call.peer = m_vm;
    m_attempts.onAttempt(m_delegated);
    m_headRead = false;
    m_answer = {};
    m_splitter = {};
    m_heldFiller.clear();
    m_fillerBytes = 0;
    HttpHandlers handlers;
    if (m_isStream) {
        handlers.onHead = [self = shared_from_this()](int status, const Headers &headers) { self->onHead(status, headers); };
        handlers.onData = [self = shared_from_this()](std::string_view data) { self->onData(data); };
    }
    handlers.onDone = [self = shared_from_this()](const Result<HttpResponse> &result) { self->onDone(result); };
    m_call = m_context.client.start(std::move(call), std::move(handlers));
    restartEventTimer();
    return true;
}

auto RelayedRequest::relayInfo() const -> RelayInfo
{
    RelayInfo info;
    info.vm = m_context.settings.vm;
    info.age = m_context.clock.now() - m_request.arrivedAt + RelayAllowance;
    info.sends = m_request.route->attempts - m_delegated;
    info.counted = m_counted;
    info.timeLeft = std::max<Duration>(Duration::zero(), m_request.deadline() - m_context.clock.now() - RelayAllowance);
    info.routesVersion = m_request.routeTable->version;
    info.service = m_request.service;
    if (m_resumes || m_events > 0) {
        info.lastEventId = m_lastEventId;
        info.firstAttemptId = m_firstAttemptId;
    }
    return info;
}

auto RelayedRequest::classify(int status, const Headers &headers) const -> AttemptOutcome
{
    if (!findHeader(headers, RelayRefusedHeader).empty()) {
        return AttemptOutcome::NotSent;
    }
    const auto head = m_context.protocol.parseHead(status, headers, m_request.metadata);
    const bool isSuccess = status >= 200 && status < 300;
    // The other VM had not all attempts, so a third one may go on where it gave up.
    const bool isGivenUp = m_isStream && status == 502 && !head.fromUpstream;
    return isGivenUp || (isSuccess && !mayForward(status, head)) ? AttemptOutcome::Unknown : AttemptOutcome::Answered;
}

auto RelayedRequest::answerHeaders(const Headers &headers) const -> Headers
{
    auto result = m_context.protocol.answerHeaders(headers);
    if (m_context.draining) {
        result.push_back({"Connection", "close"});
    }
    return result;
}

auto RelayedRequest::onHead(int status, const Headers &headers) -> void
{
    if (m_done || m_call == 0) {
        return;
    }
    const auto outcome = classify(status, headers);
    if (outcome != AttemptOutcome::Answered || (status != 200 && m_headSent)) {
        const bool isNotRun = outcome == AttemptOutcome::NotSent || status == 503;
        onBroken(isNotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown, fmt::format("status {}", status));
        return;
    }
    m_headRead = true;
    m_answer = {status, answerHeaders(headers), ""};
}

auto RelayedRequest::onData(std::string_view data) -> void
{
    if (m_done || m_call == 0 || !m_headRead) {
        return;
    }
    if (m_answer.status != 200) {
        if (m_answer.body.size() + data.size() > MaxErrorBody) {
            onBroken(AttemptOutcome::Unknown, "the error response is too long");
            return;
        }
        m_answer.body.append(data);
        return;
    }
    if (!m_splitter.feed(data, [this](const RawEvent &event) { onEvent(event); })) {
        onBroken(AttemptOutcome::Unknown, "an event exceeds the size limit");
    } else if (m_fillerBytes > EventSplitter::MaxEventBytes) {
        onBroken(AttemptOutcome::Unknown, "the stream has no events");
    } else if (!m_done && m_request.exchange->hasBacklog(MaxCallerBacklog)) {
        fail(false, "the caller reads too slowly");
    }
}

auto RelayedRequest::onEvent(const RawEvent &event) -> void
{
    if (m_done || m_call == 0 || (event.id && *event.id <= m_lastEventId)) {
        return; // the caller already has the event
    }
    if (event.isEmpty && !m_headSent) {
        m_heldFiller.append(event.bytes);
        m_fillerBytes += event.bytes.size();
        return;
    }
    if (event.isEmpty) {
        m_fillerBytes += event.bytes.size();
        m_request.exchange->write(event.bytes);
        return;
    }
    m_fillerBytes = 0;
    beginStream();
    m_request.exchange->write(event.bytes);
    m_lastEventId = event.id.value_or(m_lastEventId + 1);
    ++m_events;
    restartEventTimer();
}

/// Sends the head and what preceded the first event, unless the caller has them.
auto RelayedRequest::beginStream() -> void
{
    if (std::exchange(m_headSent, true)) {
        return;
    }
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_request.exchange->beginStream(m_answer.status, m_answer.headers);
    if (!m_heldFiller.empty()) {
        m_request.exchange->write(std::exchange(m_heldFiller, {}));
    }
    m_context.latencies.record("first_event", age);
    m_context.log.write("relay", "first_event",
                        {{"request", m_request.metadata.requestId}, {"through", m_vm}, {"age_ms", toMilliseconds(age)}});
}

/// Watches for silence of the other VM: until the first event or the answer, or until the next event.
auto RelayedRequest::restartEventTimer() -> void
{
    if (!m_eventTimer) {
        m_eventTimer = m_context.loop.timer([self = shared_from_this()]() { self->onSilence(); });
    }
    m_eventTimer->startOnce(m_headSent ? EventTimeout : AnswerTimeoutFactor * m_request.route->latencyGoal + EventTimeout);
}

/// Asks another VM if the request may certainly be sent again. Otherwise the other VM may still answer.
auto RelayedRequest::onSilence() -> void
{
    const auto now = m_context.clock.now();
    if (m_done || m_call == 0) {
        return;
    }
    const auto candidates = m_context.relayHooks.candidates(m_request.service);
    const bool mayMove = m_attempts.mayRetry() && now < m_request.deadline() && (m_headSent || !outlastsThisVm()) && m_sends < MaxSends
        && m_tried.size() < MaxVms && chooseRelay(candidates, m_tried, m_context.random) != nullptr;
    m_retryAcquired = mayMove && m_context.retryBudget.tryAcquire(m_request.service, now);
    if (m_retryAcquired) {
        onBroken(AttemptOutcome::Unknown, "no answer in time");
        return;
    }
    m_context.counters.at("stalls_waited_out").add();
    m_context.log.write("relay", "stall_waited_out",
                        {{"request", m_request.metadata.requestId}, {"through", m_vm}, {"events", m_events}, {"may_move", mayMove}});
    restartEventTimer();
}

auto RelayedRequest::onDone(const Result<HttpResponse> &result) -> void
{
    if (m_done || m_call == 0) {
        return;
    }
    if (!result) {
        if (result.error().connectionRefused) {
            m_context.relayHooks.onConnectionRefused(m_vm);
        }
        onBroken(classifyError(result.error()), describe(result.error()));
        return;
    }
    if (m_isStream && m_answer.status == 200) {
        if (m_splitter.hasPartial()) {
            onBroken(AttemptOutcome::Unknown, "the stream ends inside an event");
            return;
        }
        endCall();
        beginStream();
        m_request.exchange->end();
        logAnswer(200);
        finish();
        return;
    }
    const auto outcome = m_isStream ? AttemptOutcome::Answered : classify(result->status, result->headers);
    if (outcome != AttemptOutcome::Answered) {
        onBroken(outcome, fmt::format("status {}", result->status));
        return;
    }
    onAnswer(m_isStream ? std::move(m_answer) : HttpResponse{result->status, answerHeaders(result->headers), result->body});
}

auto RelayedRequest::onAnswer(HttpResponse response) -> void
{
    endCall();
    const auto status = response.status;
    m_attempts.onOutcome(status == 503 ? AttemptOutcome::NotRun : AttemptOutcome::Answered, m_delegated);
    // An earlier VM may have sent the request, so that the last one's refusal does not hold for the whole request.
    if (status == 503 && m_attempts.errorAnswer(false) != ErrorAnswer::Refused) {
        fail(false, "another VM may have sent the request before");
        return;
    }
    m_request.exchange->respond(std::move(response));
    logAnswer(status);
    finish();
}

auto RelayedRequest::logAnswer(int status) -> void
{
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_context.latencies.record(m_isStream ? "stream" : "service_answer", age);
    m_context.counters.at(status == 503 ? "requests_refused" : "requests_answered").add();
    m_context.log.write("relay", "request_answered",
                        {{"request", m_request.metadata.requestId},
                         {"through", m_vm},
                         {"status", status},
                         {"events", m_events},
                         {"vms_asked", m_tried.size()},
                         {"age_ms", toMilliseconds(age)}});
}

auto RelayedRequest::onBroken(AttemptOutcome outcome, std::string_view reason) -> void
{
    endCall();
    m_attempts.onOutcome(outcome, m_delegated);
    m_sends -= outcome == AttemptOutcome::NotSent ? 1 : 0;
    m_context.counters.at("relays_failed").add();
    m_context.log.write("relay", "relay_failed",
                        {{"request", m_request.metadata.requestId},
                         {"through", m_vm},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"events", m_events}});
    if (!mayAskAnother(outcome) || !send(reason)) {
        fail(false, reason);
    }
}

auto RelayedRequest::mayAskAnother(AttemptOutcome outcome) -> bool
{
    const auto now = m_context.clock.now();
    return m_attempts.mayRetry() && now < m_request.deadline() && (m_headSent || !outlastsThisVm())
        && (outcome == AttemptOutcome::NotSent || std::exchange(m_retryAcquired, false)
            || m_context.retryBudget.tryAcquire(m_request.service, now));
}

auto RelayedRequest::fail(bool timedOut, std::string_view reason) -> void
{
    if (m_done) {
        return;
    }
    if (m_headSent) {
        m_context.counters.at("streams_aborted").add();
        m_context.log.write("relay", "stream_aborted",
                            {{"request", m_request.metadata.requestId}, {"through", m_vm}, {"events", m_events}, {"reason", reason}});
        m_request.exchange->abort();
    } else {
        std::uniform_real_distribution<double> delayMs(toMilliseconds(ShortestRetryAfter), toMilliseconds(LongestRetryAfter));
        const auto retryAfter = m_context.draining ? StoppingRetryAfter : fromMilliseconds(delayMs(m_context.random));
        respondWithError(m_context, m_request, m_attempts, timedOut, reason, retryAfter);
    }
    finish();
}

/// Ends the call to the VM that forwards the request now, if there is one.
auto RelayedRequest::endCall() -> void
{
    if (m_eventTimer) {
        m_eventTimer->stop();
    }
    if (m_call == 0) {
        return;
    }
    m_context.client.cancel(std::exchange(m_call, 0));
    const auto found = m_context.relayedInFlight.find(m_vm);
    if (--found->second == 0) {
        m_context.relayedInFlight.erase(found);
    }
}

auto RelayedRequest::finish() -> void
{
    if (std::exchange(m_done, true)) {
        return;
    }
    m_context.openRequests.remove(m_openId);
    endCall();
    // The timers' callbacks own this request, so they are destroyed only after the current call has returned.
    m_context.loop.defer([self = shared_from_this()]() {
        self->m_deadlineTimer.reset();
        self->m_eventTimer.reset();
        self->m_request.exchange->onDisconnect(nullptr);
    });
}

} // namespace

auto mayRelay(const EdgeContext &context, const IncomingRequest &request) -> bool
{
    return !request.relay && context.relayHooks.candidates && !context.relayHooks.candidates(request.service).empty();
}

auto relayRequest(EdgeContext &context, RelayStart start) -> void
{
    const auto reason = start.reason;
    std::make_shared<RelayedRequest>(context, std::move(start))->start(reason);
}

} // namespace currantstack
