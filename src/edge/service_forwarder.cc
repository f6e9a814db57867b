#include "currantstack/edge/service_forwarder.h"

#include "currantstack/decisions/service_placement.h"
#include "currantstack/edge/end_confirmation.h"
#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/notice_observer.h"
#include "currantstack/edge/send_check.h"
#include "currantstack/edge/upstream_links.h"
#include "relayed_request.h"

#include <algorithm>

namespace currantstack
{

namespace
{

// An idempotent request is hedged to a second upstream when the first has not answered within this share of the latency goal.
constexpr double HedgeDelayGoalShare = 0.5;
constexpr Duration ShortestRetryAfter = milliseconds(50);
constexpr Duration LongestRetryAfter = milliseconds(250); // the range spreads the retries of refused callers

/// One request of a caller to a plain service.
class ServiceRequest : public std::enable_shared_from_this<ServiceRequest>
{
public:
    ServiceRequest(EdgeContext &context, IncomingRequest request)
        : m_context(context)
        , m_request(std::move(request))
        , m_attempts(attemptsOf(m_request))
    { }

    auto start() -> void;

private:
    struct PendingCall
    {
        HttpClient::CallId call = 0;
        Upstream upstream; // a copy, because the directory may drop the entry during the call
        TimePoint sentAt;
        TimePoint headAt = {}; // arrival of the head of the answer
        std::shared_ptr<EndConfirmation> endConfirmation = {}; // while the end of the answer is held back
        std::optional<TimePoint> endedAt = {}; // of the answer whose end is held back
    };

    auto send(std::string_view excluded, bool isHedge = false) -> bool;
    auto views(bool withLimited) -> std::vector<ServiceView>;
    auto refuseForPause() -> bool;
    auto refuseForLimits() -> bool;
    auto findPending(HttpClient::CallId call) -> std::vector<PendingCall>::iterator;
    auto onHead(HttpClient::CallId call) -> void;
    auto onCallDone(HttpClient::CallId call, Result<HttpResponse> result) -> void;
    auto isEndDoubtful(const Result<HttpResponse> &result) const -> bool;
    auto onAnswer(HttpClient::CallId call, Result<HttpResponse> result) -> void;
    auto onOutcome(const PendingCall &pending, AttemptOutcome outcome, Result<HttpResponse> result) -> void;
    auto forwardAnswer(const PendingCall &pending, HttpResponse response) -> void;
    auto retryOrFail(const PendingCall &failed, AttemptOutcome outcome, std::string_view reason) -> void;
    auto handOver(AttemptOutcome outcome, std::string_view reason) -> bool;
    auto hedge() -> void;
    auto fail(bool timedOut, std::string_view reason, Duration retryAfter) -> void;
    auto outlastsThisVm() const -> bool;
    auto retryDelay() const -> Duration;
    auto finish() -> void;
    auto releaseLoad(const PendingCall &pending) -> void;
    auto mayHedge() const -> bool;
    auto onEndOfInput() -> bool;

    EdgeContext &m_context;
    IncomingRequest m_request;
    RequestAttempts m_attempts;
    std::vector<PendingCall> m_pendingCalls;
    OpenRequests::Id m_openId = 0;
    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_hedgeTimer;
    std::optional<HttpResponse> m_errorAnswer; // an upstream's 5xx response, forwarded if no later attempt succeeds
    bool m_inputEnded = false; // the caller may have left, so the request goes to no further upstream
    bool m_handedOver = false; // another VM forwards the request
    bool m_done = false;
};

auto ServiceRequest::start() -> void
{
    countRequest(m_context, m_request);
    const auto self = shared_from_this();
    m_request.exchange->onDisconnect([self]() {
        self->m_context.log.write("forward", "caller_gone", {{"request", self->m_request.metadata.requestId}});
        self->finish();
    });
    m_request.exchange->onEndOfInput([self]() { return self->onEndOfInput(); });
    m_openId = m_context.openRequests.add([self](StopPhase /*phase*/) { self->fail(false, StopReason, StoppingRetryAfter); });
    m_deadlineTimer = m_context.loop.timer([self]() { self->fail(true, "no answer in time", self->retryDelay()); });
    m_deadlineTimer->startOnce(m_request.deadline() - AnswerMargin - m_context.clock.now());
    if (outlastsThisVm()) {
        fail(false, StopReason, StoppingRetryAfter);
        return;
    }
    if (!send("")) {
        if (!refuseForPause() && !refuseForLimits()) {
            fail(false, "no usable upstream of the service is known", retryDelay());
        }
        return;
    }
    if (mayHedge()) {
        m_hedgeTimer = m_context.loop.timer([self]() { self->hedge(); });
        m_hedgeTimer->startOnce(fromMilliseconds(HedgeDelayGoalShare * toMilliseconds(m_request.route->latencyGoal)));
    }
}

/// Returns whether an upstream's answer is expected too late, because this VM stops.
auto ServiceRequest::outlastsThisVm() const -> bool
{
    return currantstack::outlastsThisVm(m_context, fromMilliseconds(m_context.requestTimeOf(m_request.service).value()));
}

/// Keeps a request in flight that may run at most once: its caller may still read the answer, while ending the call would leave open
/// whether it has run. Others are ended, because their caller may be gone, and the work for it has to stop.
auto ServiceRequest::onEndOfInput() -> bool
{
    if (m_request.route->kind != RouteKind::AtMostOnce || m_request.relay || m_pendingCalls.empty()) {
        return false;
    }
    m_inputEnded = true;
    m_context.counters.at("requests_kept_after_input").add();
    m_context.log.write("forward", "caller_ended_input", {{"request", m_request.metadata.requestId}});
    return true;
}

auto ServiceRequest::mayHedge() const -> bool
{
    return m_request.route->kind == RouteKind::Idempotent && m_attempts.mayRetry();
}

/// Returns the upstreams that may get the request now. Those that name a limit are left out unless `withLimited`.
auto ServiceRequest::views(bool withLimited) -> std::vector<ServiceView>
{
    const auto now = m_context.clock.now();
    auto &limiter = m_context.rateLimiter;
    std::vector<ServiceView> result;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (sendBlockOf(m_context, *upstream) != SendBlock::None || !limiter.mayAdmit(upstream->id, now)
            || (!withLimited && limiter.limitOf(upstream->id))) {
            continue;
        }
        result.push_back({upstream, m_context.loads.total(upstream->id, now), m_context.health.weight(upstream->id, now),
                          m_context.settings.places.distance(m_context.settings.place, upstream->place),
                          limiter.headroom(upstream->id, now)});
    }
    return result;
}

/// Refuses a request if all upstreams of the service pause. Returns false if one does not.
auto ServiceRequest::refuseForPause() -> bool
{
    const auto pause = pauseOf(m_context, m_request.service, [](const Upstream & /*upstream*/) { return true; });
    if (pause == Duration::zero()) {
        return false;
    }
    const auto retryAfter = retryAfterPause(m_context, pause);
    logRefusalForPause(m_context, m_request, pause, retryAfter);
    fail(false, PauseReason, retryAfter);
    return true;
}

/// Refuses a request that no upstream may get because of their rate limits. Returns false if that is not the reason.
auto ServiceRequest::refuseForLimits() -> bool
{
    const auto limited = limitedUpstreams(m_context, m_request.service, EngineRole::None);
    if (limited.empty()) {
        return false;
    }
    const auto retryAfter = m_context.rateLimiter.retryAfter(limited, m_context.clock.now());
    logRefusalForLimits(m_context, m_request, limited, retryAfter);
    fail(false, RateLimitReason, retryAfter);
    return true;
}

auto ServiceRequest::send(std::string_view excluded, bool isHedge) -> bool
{
    const auto now = m_context.clock.now();
    const auto candidates = views(!isHedge);
    const auto requestTime = fromMilliseconds(m_context.requestTimeOf(m_request.service).value());
    const auto *chosen = chooseUpstream(candidates, requestTime, excluded, m_context.random);
    if (chosen == nullptr) {
        return false;
    }
    const auto target = *chosen;
    m_attempts.onAttempt();
    m_request.calls.onSent();
    m_context.rateLimiter.onSent(chosen->id, now);
    m_context.loads.add(chosen->id, {0, 0, 1});
    m_context.log.write("forward", "service_chosen",
                        {{"request", m_request.metadata.requestId},
                         {"route", m_request.route->name},
                         {"upstream", chosen->id},
                         {"under_way", m_context.loads.total(chosen->id, now).requests},
                         {"health", m_context.health.weight(chosen->id, now)},
                         {"candidates", candidates.size()},
                         {"limited_out", limitedUpstreams(m_context, m_request.service, EngineRole::None).size()},
                         {"fingerprint", fingerprintText(m_request.fingerprint)},
                         {"send", m_attempts.count()},
                         {"routes_version", m_request.routeTable->version}});
    auto call = upstreamCall(m_context, m_request, *chosen, {});
    auto callId = std::make_shared<HttpClient::CallId>(0);
    HttpHandlers handlers;
    handlers.onHead = [self = shared_from_this(), callId](int /*status*/, const Headers & /*headers*/) { self->onHead(*callId); };
    handlers.onDone = [self = shared_from_this(), callId](Result<HttpResponse> result) { self->onCallDone(*callId, std::move(result)); };
    *callId = m_context.client.start(std::move(call), std::move(handlers));
    m_pendingCalls.push_back({*callId, target, now});
    return true;
}

/// Returns whether only the end of the connection marks that of an answer which is to be forwarded.
auto ServiceRequest::isEndDoubtful(const Result<HttpResponse> &result) const -> bool
{
    if (!result || framingOf(result->status, result->headers) != BodyFraming::Connection) {
        return false;
    }
    const auto head = m_context.protocol.parseHead(result->status, result->headers, m_request.metadata);
    return classifyHead(result->status, head) == AttemptOutcome::Answered;
}

auto ServiceRequest::findPending(HttpClient::CallId call) -> std::vector<PendingCall>::iterator
{
    return std::find_if(m_pendingCalls.begin(), m_pendingCalls.end(), [call](const PendingCall &pending) { return pending.call == call; });
}

auto ServiceRequest::onHead(HttpClient::CallId call) -> void
{
    if (const auto found = findPending(call); found != m_pendingCalls.end()) {
        found->headAt = m_context.clock.now();
    }
}

auto ServiceRequest::onCallDone(HttpClient::CallId call, Result<HttpResponse> result) -> void
{
    const auto found = findPending(call);
    if (m_done || found == m_pendingCalls.end() || !isEndDoubtful(result)) {
        onAnswer(call, std::move(result));
        return;
    }
    releaseLoad(*found);
    auto held = std::make_shared<Result<HttpResponse>>(std::move(result));
    found->endConfirmation = std::make_shared<EndConfirmation>(
        m_context, found->upstream, m_request.metadata.requestId, m_attempts.isSafeToRetry(),
        [self = shared_from_this(), call, held, upstream = found->upstream](bool isComplete) {
            self->onAnswer(call, isComplete ? std::move(*held) : tl::unexpected(doubtfulEndError(upstream)));
        });
    found->endedAt = m_context.clock.now();
    found->endConfirmation->start();
}

auto ServiceRequest::onAnswer(HttpClient::CallId call, Result<HttpResponse> result) -> void
{
    const auto found = findPending(call);
    if (m_done || found == m_pendingCalls.end()) {
        return;
    }
    const auto pending = *found;
    m_pendingCalls.erase(found);
    releaseLoad(pending);
    auto outcome = result ? AttemptOutcome::Unknown : classifyError(result.error());
    if (result) {
        recordReached(m_context, pending.upstream, pending.sentAt);
        if (result->status == MisdirectedRequest && m_context.protocol.responderOf(*result, pending.upstream) == Responder::Other) {
            recordEnd(m_context, pending.upstream);
        }
        const auto head = m_context.protocol.parseHead(result->status, result->headers, m_request.metadata);
        observeLimit(m_context, pending.upstream, result->status, head, pending.sentAt);
        observeNotices(m_context, pending.upstream, result->status, head);
        outcome = classifyHead(result->status, head);
    }
    m_attempts.onOutcome(outcome);
    onOutcome(pending, outcome, std::move(result));
}

auto ServiceRequest::onOutcome(const PendingCall &pending, AttemptOutcome outcome, Result<HttpResponse> result) -> void
{
    const auto now = m_context.clock.now();
    const auto took = pending.endedAt.value_or(now) - pending.sentAt;
    if (!result) {
        observeFailedCall(m_context, m_request, pending.upstream, result.error(), pending.sentAt);
    } else if (outcome == AttemptOutcome::Answered) {
        m_context.reach.onServed(pending.upstream, pending.sentAt);
        m_context.reach.onAnswered(pending.upstream, pending.sentAt, pending.headAt);
        m_context.quarantine.recordSuccess(m_request.traits, now);
    }
    const bool upstreamFailed = outcome == AttemptOutcome::Answered && result->status >= 500;
    if (outcome == AttemptOutcome::Answered && !upstreamFailed) {
        m_context.requestTimeOf(m_request.service).observe(toMilliseconds(took));
        forwardAnswer(pending, std::move(*result));
        return;
    }
    if (!upstreamFailed) {
        m_context.health.observeFailure(pending.upstream.id, now);
    }
    const auto reason = result ? fmt::format("status {}", result->status) : describe(result.error());
    m_context.log.write("forward", "send_failed",
                        {{"request", m_request.metadata.requestId},
                         {"upstream", pending.upstream.id},
                         {"outcome", name(outcome)},
                         {"error", reason},
                         {"connection_closed", !result && result.error().connectionClosed},
                         {"took_ms", toMilliseconds(took)}});
    if (upstreamFailed) {
        m_errorAnswer = std::move(*result);
    }
    retryOrFail(pending, outcome, reason);
}

auto ServiceRequest::retryOrFail(const PendingCall &failed, AttemptOutcome outcome, std::string_view reason) -> void
{
    const auto now = m_context.clock.now();
    const auto refusal = checkQuarantine(m_context, m_request);
    const bool isCutOff = m_context.reach.isCutOff(m_request.service);
    const bool maySend = !refusal && !m_inputEnded;
    if (maySend && isCutOff && handOver(outcome, reason)) {
        return;
    }
    if (maySend && !isCutOff && m_attempts.mayRetry() && !outlastsThisVm() && m_request.deadline() > now
        && acquireRetries(m_context, m_request, m_request.calls)) {
        m_context.counters.at("sends_repeated").add();
        if (send(failed.upstream.id) || send("")) {
            return;
        }
    }
    if (!m_pendingCalls.empty()) {
        return; // a hedged request is still in flight
    }
    if (m_errorAnswer) {
        forwardAnswer(failed, std::move(*m_errorAnswer));
        return;
    }
    if (maySend && m_context.reach.isUnreached(failed.upstream.id, now) && handOver(outcome, reason)) {
        return;
    }
    fail(false, refusal ? refusal->reason : reason, retryDelay());
}

/// Lets another VM forward the request if it may be sent once more. Returns false if it may not.
auto ServiceRequest::handOver(AttemptOutcome outcome, std::string_view reason) -> bool
{
    const auto now = m_context.clock.now();
    const bool maySend = m_pendingCalls.empty() && m_attempts.mayRetry() && !outlastsThisVm() && m_request.deadline() > now
        && mayRelay(m_context, m_request);
    if (!maySend) {
        return false;
    }
    if (outcome == AttemptOutcome::NotSent) {
        m_request.calls.onNotSent(); // it counts only for further calls of this VM, so that the budget bounds those that do not connect
    }
    if (!acquireRetries(m_context, m_request, m_request.calls)) {
        return false;
    }
    m_handedOver = true;
    relayRequest(m_context, {m_request, m_attempts, true, false, 0, {}, reason});
    finish();
    return true;
}

auto ServiceRequest::hedge() -> void
{
    const auto now = m_context.clock.now();
    const bool isHeld = m_pendingCalls.size() == 1 && m_pendingCalls.front().endConfirmation != nullptr; // it has been answered
    if (m_done || m_pendingCalls.size() != 1 || isHeld || !mayHedge() || checkQuarantine(m_context, m_request)
        || !acquireRetries(m_context, m_request, m_request.calls)) {
        return;
    }
    m_context.counters.at("sends_hedged").add();
    send(m_pendingCalls.front().upstream.id, true);
}

auto ServiceRequest::forwardAnswer(const PendingCall &pending, HttpResponse response) -> void
{
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_context.latencies.record("service_answer", age);
    m_context.counters.at("requests_answered").add();
    m_context.log.write("forward", "request_answered",
                        {{"request", m_request.metadata.requestId},
                         {"upstream", pending.upstream.id},
                         {"status", response.status},
                         {"framing", name(framingOf(response.status, response.headers))},
                         {"entry", name(entryStateOf(m_context, pending.upstream))},
                         {"bytes", response.body.size()},
                         {"age_ms", toMilliseconds(age)}});
    response.headers = m_context.protocol.answerHeaders(response.headers);
    if (m_context.draining) {
        response.headers.push_back({"Connection", "close"});
    }
    m_request.exchange->respond(std::move(response));
    finish();
}

auto ServiceRequest::retryDelay() const -> Duration
{
    std::uniform_real_distribution<double> delayMs(toMilliseconds(ShortestRetryAfter), toMilliseconds(LongestRetryAfter));
    return fromMilliseconds(delayMs(m_context.random));
}

auto ServiceRequest::fail(bool timedOut, std::string_view reason, Duration retryAfter) -> void
{
    if (m_done) {
        return;
    }
    for (const auto &pending : m_pendingCalls) {
        if (timedOut && !pending.endConfirmation) {
            m_context.health.observeFailure(pending.upstream.id, m_context.clock.now());
            recordSilence(m_context, pending.upstream, pending.sentAt);
        }
    }
    respondWithError(m_context, m_request, m_attempts, timedOut, reason, retryAfter);
    finish();
}

auto ServiceRequest::releaseLoad(const PendingCall &pending) -> void
{
    if (!pending.endConfirmation) { // otherwise it was released when the end of the answer was held back
        m_context.loads.remove(pending.upstream.id, {0, 0, 1});
    }
}

auto ServiceRequest::finish() -> void
{
    if (std::exchange(m_done, true)) {
        return;
    }
    m_context.openRequests.remove(m_openId);
    for (const auto &pending : std::exchange(m_pendingCalls, {})) {
        m_context.client.cancel(pending.call);
        if (pending.endConfirmation) {
            pending.endConfirmation->cancel();
        }
        releaseLoad(pending);
    }
    // The timers' callbacks own this request, so they are destroyed only after the current call has returned.
    m_context.loop.defer([self = shared_from_this()]() {
        self->m_deadlineTimer.reset();
        self->m_hedgeTimer.reset();
        self->m_request.exchange->onEndOfInput(nullptr);
        if (!self->m_handedOver) {
            self->m_request.exchange->onDisconnect(nullptr);
        }
    });
}

} // namespace

auto forwardToService(EdgeContext &context, IncomingRequest request) -> void
{
    std::make_shared<ServiceRequest>(context, std::move(request))->start();
}

} // namespace currantstack
