#include "relayed_request.h"
#include "currantstack/decisions/peer_table.h"
#include "event_order.h"

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
// Pauses of a stream that has begun while all other VMs refuse it; each is twice as long as the one before.
constexpr Duration FirstAskAgainPause = milliseconds(300);
constexpr Duration LongestAskAgainPause = milliseconds(1200);
constexpr Duration ShortestRetryAfter = milliseconds(300); // a cut lasts seconds; the balancer sends the caller to another VM
constexpr Duration LongestRetryAfter = milliseconds(1200);

/// Returns the VMs that may forward the request. Builds that do not know tenants would ask its caller for the key.
auto relayCandidates(const EdgeContext &context, const IncomingRequest &request) -> std::vector<RelayCandidate>
{
    auto candidates = context.relayHooks.candidates(request.service);
    if (!request.routeTable->tenants.isEmpty()) {
        std::erase_if(candidates, [](const RelayCandidate &candidate) { return candidate.protocol < PeerTable::TenantProtocol; });
    }
    return candidates;
}

} // namespace

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
    } else if (m_breakReason = "no other VM reaches the upstreams of the service"; !send(reason) && !waitToAskAgain()) {
        fail(false, m_breakReason);
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
    const auto candidates = relayCandidates(m_context, m_request);
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
                         {"after_event", eventField(m_sequence.lastId())},
                         {"age_ms", toMilliseconds(m_context.clock.now() - m_request.arrivedAt)}});
    const auto &incoming = m_request.exchange->request();
    HttpCall call;
    call.method = incoming.method;
    call.url = urlOf(chosen->address.text(), "/");
    call.target = incoming.target;
    call.headers = m_context.protocol.relayHeaders(incoming, !m_request.routeTable->tenants.isEmpty());
    call.headers.push_back({std::string(RelayHeader), encodeRelay(relayInfo())});
    call.sharedBody = m_request.exchange->sharedBody();
    call.connectTimeout = ConnectTimeout;
    call.sourceIp = m_context.settings.peerAddress.ip;
    call.exactHeaders = true;
    call.useOwnConnection();
    call.step = "relay";
    call.peer = m_vm;
    m_attempts.onAttempt(m_delegated);
    m_callsReported = false;
    m_headRead = false;
    m_answer = {};
    m_splitter = {};
    m_sequence.beginRun();
    m_isDisordered = false;
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
    info.calls = m_request.calls;
    info.vm = m_context.settings.vm;
    info.age = m_context.clock.now() - m_request.arrivedAt + RelayAllowance;
    info.sends = m_request.route->attempts - m_delegated;
    info.counted = m_counted;
    info.timeLeft = std::max<Duration>(Duration::zero(), m_request.deadline() - m_context.clock.now() - RelayAllowance);
    info.routesVersion = m_request.routeTable->version;
    info.service = m_request.service;
    info.tenant = m_request.tenantName();
    if (m_resumes || m_events > 0) {
        info.lastEventId = m_sequence.lastId();
        info.firstAttemptId = m_firstAttemptId;
        info.mayHaveEnded = m_mayHaveEnded && m_events == 0;
    }
    return info;
}

/// Watches for silence of the other VM: until the first event or the answer, or until the next event. Without one, asks again later.
auto RelayedRequest::restartEventTimer() -> void
{
    if (!m_eventTimer) {
        m_eventTimer = m_context.loop.timer([self = shared_from_this()]() { self->onSilence(); });
    }
    if (m_call == 0) {
        m_eventTimer->startOnce(m_askAgainPause);
        return;
    }
    m_eventTimer->startOnce(m_headSent ? EventTimeout : AnswerTimeoutFactor * m_request.route->latencyGoal + EventTimeout);
}

/// Asks another VM if the request may certainly be sent again. Otherwise the other VM may still answer.
auto RelayedRequest::onSilence() -> void
{
    const auto now = m_context.clock.now();
    if (m_done) {
        return;
    }
    if (m_call == 0) {
        askAnother();
        return;
    }
    const auto candidates = relayCandidates(m_context, m_request);
    const bool mayMove = maySendAgain() && now < m_request.deadline() && (m_headSent || !outlastsThisVm()) && m_sends < MaxSends
        && m_tried.size() < MaxVms && chooseRelay(candidates, m_tried, m_context.random) != nullptr;
    auto calls = m_request.calls;
    calls.onForwarded();
    if (mayMove && acquireRetries(m_context, m_request, calls)) {
        onBroken(AttemptOutcome::Unknown, "no answer in time");
        return;
    }
    m_context.counters.at("stalls_waited_out").add();
    m_context.log.write("relay", "stall_waited_out",
                        {{"request", m_request.metadata.requestId}, {"through", m_vm}, {"events", m_events}, {"may_move", mayMove}});
    restartEventTimer();
}

auto RelayedRequest::onBroken(AttemptOutcome outcome, std::string_view reason) -> void
{
    endCall();
    m_attempts.onOutcome(outcome, m_delegated);
    if (outcome != AttemptOutcome::NotSent && !m_callsReported) {
        m_request.calls.onForwarded();
    }
    m_sends -= outcome == AttemptOutcome::NotSent ? 1 : 0;
    m_context.counters.at("relays_failed").add();
    m_context.log.write("relay", "relay_failed",
                        {{"request", m_request.metadata.requestId},
                         {"through", m_vm},
                         {"outcome", name(outcome)},
                         {"reason", reason},
                         {"events", m_events}});
    m_breakReason = reason;
    askAnother();
}

auto RelayedRequest::askAnother() -> void
{
    if ((!mayAskAnother() || !send(m_breakReason)) && !waitToAskAgain()) {
        fail(false, m_breakReason);
    }
}

/// Lets a stream that has begun wait until another VM can take it. Returns false if none may.
auto RelayedRequest::waitToAskAgain() -> bool
{
    const auto timeLeft = m_request.deadline() - m_context.clock.now();
    if (!m_headSent || !maySendAgain() || m_sends >= MaxSends || timeLeft <= LongestAskAgainPause) {
        return false;
    }
    m_context.counters.at("resumptions_delayed").add();
    m_context.log.write("relay", "waits_to_resume",
                        {{"request", m_request.metadata.requestId},
                         {"reason", m_breakReason},
                         {"vms_asked", m_tried.size()},
                         {"after_event", eventField(m_sequence.lastId())},
                         {"time_left_ms", toMilliseconds(timeLeft)}});
    m_tried.clear();
    m_askAgainPause = std::clamp(2 * m_askAgainPause, FirstAskAgainPause, LongestAskAgainPause);
    restartEventTimer();
    return true;
}

/// Returns whether an attempt is left, and another VM can be asked for what follows the last event.
auto RelayedRequest::maySendAgain() const -> bool
{
    return m_attempts.mayRetry() && m_sequence.isPositionKnown();
}

auto RelayedRequest::mayAskAnother() -> bool
{
    const auto now = m_context.clock.now();
    return maySendAgain() && now < m_request.deadline() && (m_headSent || !outlastsThisVm())
        && acquireRetries(m_context, m_request, m_request.calls);
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

auto mayRelay(const EdgeContext &context, const IncomingRequest &request) -> bool
{
    return !request.relay && context.relayHooks.candidates && !relayCandidates(context, request).empty();
}

auto relayRequest(EdgeContext &context, RelayStart start) -> void
{
    const auto reason = start.reason;
    std::make_shared<RelayedRequest>(context, std::move(start))->start(reason);
}

} // namespace currantstack
