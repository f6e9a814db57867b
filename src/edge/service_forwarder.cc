#include "currantstack/edge/service_forwarder.h"

#include "currantstack/decisions/service_placement.h"
#include "currantstack/edge/forwarding.h"

#include <algorithm>

namespace currantstack
{

namespace
{

// A repeatable request goes to a second upstream when the first has used this part of the latency goal in silence.
constexpr double HedgeAfterGoalShare = 0.5;
constexpr Duration ShortestRetryAfter = milliseconds(50);
constexpr Duration LongestRetryAfter = milliseconds(250); // spreads the callers that come back

/// One request of a caller to a plain service.
class ServiceRequest : public std::enable_shared_from_this<ServiceRequest>
{
public:
    ServiceRequest(EdgeContext &context, IncomingRequest request)
        : m_context(context)
        , m_request(std::move(request))
        , m_attempt(m_request.route->kind, false, m_request.route->attempts)
    { }

    auto start() -> void;

private:
    struct Send
    {
        HttpClient::CallId call = 0;
        std::string upstream;
        TimePoint sentAt;
    };

    auto send(std::string_view avoid) -> bool;
    auto onAnswer(HttpClient::CallId call, Result<HttpResponse> result) -> void;
    auto onOutcome(const Send &send, SendOutcome outcome, const Result<HttpResponse> &result) -> void;
    auto passOn(const Send &send, HttpResponse response) -> void;
    auto retryOrGiveUp(const Send &failed, std::string_view reason) -> void;
    auto hedge() -> void;
    auto giveUp(bool timedOut, std::string_view reason) -> void;
    auto finish() -> void;
    auto drop(const Send &send) -> void;
    auto mayHedge() const -> bool;

    EdgeContext &m_context;
    IncomingRequest m_request;
    Attempt m_attempt;
    std::vector<Send> m_sends; // under way
    std::unique_ptr<Timer> m_deadline;
    std::unique_ptr<Timer> m_hedge;
    std::optional<HttpResponse> m_failure; // an upstream's own failure, passed on where nothing better comes
    bool m_done = false;
};

auto ServiceRequest::start() -> void
{
    m_context.retries.onRequest(m_request.service, m_context.clock.now());
    const auto self = shared_from_this();
    m_request.exchange->onDisconnect([self]() {
        self->m_context.log.write("forward", "caller_gone", {{"request", self->m_request.facts.requestId}});
        self->finish();
    });
    m_deadline = m_context.loop.timer([self]() { self->giveUp(true, "no answer in time"); });
    m_deadline->startOnce(m_request.deadline() - AnswerMargin - m_context.clock.now());
    if (!send("")) {
        giveUp(false, "no upstream of the service is known");
        return;
    }
    if (mayHedge()) {
        m_hedge = m_context.loop.timer([self]() { self->hedge(); });
        m_hedge->startOnce(fromMilliseconds(HedgeAfterGoalShare * toMilliseconds(m_request.route->latencyGoal)));
    }
}

auto ServiceRequest::mayHedge() const -> bool
{
    return m_request.route->kind == RouteKind::Idempotent && m_attempt.maySendAgain();
}

auto ServiceRequest::send(std::string_view avoid) -> bool
{
    const auto now = m_context.clock.now();
    std::vector<ServiceView> views;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        views.push_back({upstream, m_context.loads.total(upstream->id, now), m_context.health.weight(upstream->id, now),
                         m_context.settings.places.between(m_context.settings.place, upstream->place)});
    }
    const auto workTime = fromMilliseconds(m_context.workOf(m_request.service).value());
    const auto *chosen = chooseUpstream(views, workTime, avoid, m_context.random);
    if (chosen == nullptr) {
        return false;
    }
    m_attempt.onSend();
    m_context.loads.add(chosen->id, {0, 0, 1});
    m_context.log.write("forward", "service_chosen",
                        {{"request", m_request.facts.requestId},
                         {"route", m_request.route->name},
                         {"upstream", chosen->id},
                         {"under_way", m_context.loads.total(chosen->id, now).requests},
                         {"health", m_context.health.weight(chosen->id, now)},
                         {"candidates", views.size()},
                         {"send", m_attempt.sends()},
                         {"routes_version", m_request.table->version}});
    auto call = upstreamCall(m_context, m_request, *chosen, {});
    auto callId = std::make_shared<HttpClient::CallId>(0);
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), callId](Result<HttpResponse> result) { self->onAnswer(*callId, std::move(result)); };
    *callId = m_context.client.start(std::move(call), std::move(handlers));
    m_sends.push_back({*callId, chosen->id, now});
    return true;
}

auto ServiceRequest::onAnswer(HttpClient::CallId call, Result<HttpResponse> result) -> void
{
    const auto found = std::find_if(m_sends.begin(), m_sends.end(), [call](const Send &send) { return send.call == call; });
    if (m_done || found == m_sends.end()) {
        return;
    }
    const auto send = *found;
    m_sends.erase(found);
    drop(send);
    const auto outcome = result ? judgeHead(result->status, m_context.protocol.readHead(result->status, result->headers, m_request.facts))
                                : judgeError(result.error());
    m_attempt.onOutcome(outcome);
    onOutcome(send, outcome, result);
}

auto ServiceRequest::onOutcome(const Send &send, SendOutcome outcome, const Result<HttpResponse> &result) -> void
{
    const auto now = m_context.clock.now();
    const auto took = now - send.sentAt;
    const bool failedThere = outcome == SendOutcome::Answered && result->status >= 500;
    if (outcome == SendOutcome::Answered && !failedThere) {
        m_context.workOf(m_request.service).observe(toMilliseconds(took));
        passOn(send, *result);
        return;
    }
    if (!failedThere) {
        m_context.health.observeFailure(send.upstream, now);
    }
    const auto reason = result ? fmt::format("status {}", result->status) : describe(result.error());
    m_context.log.write("forward", "send_failed",
                        {{"request", m_request.facts.requestId},
                         {"upstream", send.upstream},
                         {"outcome", name(outcome)},
                         {"error", reason},
                         {"took_ms", toMilliseconds(took)}});
    if (failedThere) {
        m_failure = *result;
    }
    retryOrGiveUp(send, reason);
}

auto ServiceRequest::retryOrGiveUp(const Send &failed, std::string_view reason) -> void
{
    const auto now = m_context.clock.now();
    if (m_attempt.maySendAgain() && m_request.deadline() > now && m_context.retries.take(m_request.service, now)) {
        m_context.counters.at("sends_repeated").add();
        if (send(failed.upstream) || send("")) {
            return;
        }
    }
    if (!m_sends.empty()) {
        return; // a hedge is still under way
    }
    if (m_failure) {
        passOn(failed, std::move(*m_failure));
        return;
    }
    giveUp(false, reason);
}

auto ServiceRequest::hedge() -> void
{
    const auto now = m_context.clock.now();
    if (m_done || m_sends.size() != 1 || !mayHedge() || !m_context.retries.take(m_request.service, now)) {
        return;
    }
    m_context.counters.at("sends_hedged").add();
    send(m_sends.front().upstream);
}

auto ServiceRequest::passOn(const Send &send, HttpResponse response) -> void
{
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_context.latencies.record("service_answer", age);
    m_context.counters.at("requests_answered").add();
    m_context.log.write("forward", "request_answered",
                        {{"request", m_request.facts.requestId},
                         {"upstream", send.upstream},
                         {"status", response.status},
                         {"age_ms", toMilliseconds(age)}});
    response.headers = m_context.protocol.answerHeaders(response.headers);
    if (m_context.draining) {
        response.headers.push_back({"Connection", "close"});
    }
    m_request.exchange->respond(std::move(response));
    finish();
}

auto ServiceRequest::giveUp(bool timedOut, std::string_view reason) -> void
{
    if (m_done) {
        return;
    }
    std::uniform_real_distribution<double> spread(toMilliseconds(ShortestRetryAfter), toMilliseconds(LongestRetryAfter));
    for (const auto &send : m_sends) {
        if (timedOut) {
            m_context.health.observeFailure(send.upstream, m_context.clock.now());
        }
    }
    answerFinally(m_context, m_request, m_attempt, timedOut, reason, fromMilliseconds(spread(m_context.random)));
    finish();
}

auto ServiceRequest::drop(const Send &send) -> void
{
    m_context.loads.remove(send.upstream, {0, 0, 1});
}

auto ServiceRequest::finish() -> void
{
    if (std::exchange(m_done, true)) {
        return;
    }
    for (const auto &send : std::exchange(m_sends, {})) {
        m_context.client.cancel(send.call);
        drop(send);
    }
    // The timers hold this request; they are dropped after the present call has returned.
    m_context.loop.defer([self = shared_from_this()]() {
        self->m_deadline.reset();
        self->m_hedge.reset();
        self->m_request.exchange->onDisconnect(nullptr);
    });
}

} // namespace

auto forwardToService(EdgeContext &context, IncomingRequest request) -> void
{
    std::make_shared<ServiceRequest>(context, std::move(request))->start();
}

} // namespace currantstack
