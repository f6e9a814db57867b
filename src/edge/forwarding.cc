#include "currantstack/edge/forwarding.h"

#include "currantstack/edge/notice_observer.h"
#include "currantstack/edge/upstream_links.h"

#include <algorithm>
#include <span>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxLoggedLimit = 100; // bytes
constexpr std::size_t MaxLoggedUpstreams = 8;
constexpr double DurationSpread = 1.5; // of the longer requests relative to the mean

auto name(LimitChange change) -> std::string_view
{
    switch (change) {
    case LimitChange::None:
        return "limit_unchanged";
    case LimitChange::Learned:
        return "limit_learned";
    case LimitChange::Changed:
        return "limit_changed";
    case LimitChange::Ended:
        break;
    }
    return "limit_ended";
}

/// Returns `retryAfter`, or a later time if the upstreams that answer the service's requests pause for longer.
auto afterPause(EdgeContext &context, const IncomingRequest &request, Duration retryAfter) -> Duration
{
    const auto pause = pauseOf(context, request.service, [](const Upstream &upstream) { return upstream.role != EngineRole::Prefill; });
    const bool mayComeBack = retryAfter > Duration::zero();
    return mayComeBack && pause > retryAfter ? retryAfterPause(context, pause) : retryAfter;
}

} // namespace

auto impliesNotRun(int status) -> bool
{
    return status == 408 || status == MisdirectedRequest || status == 429 || status == 503;
}

auto workEndsAt(const EdgeContext &context, const IncomingRequest &request) -> TimePoint
{
    return std::min(request.deadline(), context.stopsAt());
}

auto upstreamCall(const EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, ForwardSpec spec) -> HttpCall
{
    const auto &incoming = request.exchange->request();
    spec.instance = upstream.id;
    if (!request.routeTable->tenants.isEmpty()) {
        spec.tenant = request.tenantName();
    }
    spec.timeLeft = workEndsAt(context, request) - context.clock.now() + StopMargin;
    HttpCall call;
    call.method = incoming.method;
    call.url = urlOf(upstream.address, "/");
    call.target = incoming.target;
    call.headers = context.protocol.forwardHeaders(incoming, spec);
    call.sharedBody = request.exchange->sharedBody();
    call.connectTimeout = ConnectTimeout;
    call.exactHeaders = true;
    call.useOwnConnection();
    call.step = spec.prefillOnly ? "prefill" : "forward";
    call.peer = upstream.id;
    return call;
}

auto outlastsThisVm(const EdgeContext &context, Duration expected) -> bool
{
    return context.draining && context.clock.now() + fromMilliseconds(DurationSpread * toMilliseconds(expected)) > context.answersDueAt();
}

auto classifyHead(int status, const AnswerHead &head) -> AttemptOutcome
{
    if ((head.notRun || status == MisdirectedRequest) && !head.namesOtherRequest) {
        return AttemptOutcome::NotRun;
    }
    return mayForward(status, head) ? AttemptOutcome::Answered : AttemptOutcome::Unknown;
}

auto classifyError(const Error &error) -> AttemptOutcome
{
    return error.code == ErrorCode::Unreachable ? AttemptOutcome::NotSent : AttemptOutcome::Unknown;
}

auto mayForward(int status, const AnswerHead &head) -> bool
{
    return head.fromUpstream && head.matchesRequest && !head.encoded && !impliesNotRun(status);
}

auto observeFailedCall(EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, const Error &error, TimePoint sentAt)
    -> void
{
    const auto now = context.clock.now();
    const auto *entry = context.directory.find(upstream.id);
    if (error.connectionClosed && entry != nullptr && !entry->draining) {
        context.crashDetector.onConnectionClosed(upstream, request.traits, now);
    }
    recordFailedLink(context, upstream, error, sentAt);
}

auto attemptsOf(const IncomingRequest &request) -> RequestAttempts
{
    const auto &route = *request.route;
    return {route.kind, route.kind == RouteKind::Stream && route.resumable, route.attempts - (request.relay ? request.relay->sends : 0)};
}

auto countRequest(EdgeContext &context, const IncomingRequest &request) -> void
{
    const auto now = context.clock.now();
    if (!request.relay || !request.relay->counted) {
        context.retryBudget.onRequest(request.service, now);
        context.rateLimiter.onRequest(request.service, now);
    }
}

auto acquireRetries(EdgeContext &context, IncomingRequest &request, const CountedCalls &calls, bool withPrefill) -> bool
{
    const int missing = calls.missingRetries(withPrefill);
    if (missing == 0) {
        return true;
    }
    const bool acquired = context.retryBudget.tryAcquire(request.service, context.clock.now(), missing);
    context.counters.at(fmt::format("retries_{}{{service=\"{}\"}}", acquired ? "acquired" : "denied", request.service)).add(missing);
    context.log.write("forward", acquired ? "retries_acquired" : "retry_budget_empty",
                      {{"request", request.metadata.requestId},
                       {"service", request.service},
                       {"retries", missing},
                       {"calls", calls.sent},
                       {"prefilled", calls.prefilled}});
    if (acquired) {
        request.calls.acquired += missing;
    }
    return acquired;
}

auto observeLimit(EdgeContext &context, const Upstream &upstream, int status, const AnswerHead &head, TimePoint sentAt) -> void
{
    if (status == MisdirectedRequest) {
        return; // from another upstream at the address
    }
    if (!head.limit.text.empty() && !head.limit.perSecond) {
        context.counters.at("limits_unreadable").add();
        context.log.write("limits", "limit_unreadable", {{"upstream", upstream.id}, {"value", head.limit.text.substr(0, MaxLoggedLimit)}});
        return;
    }
    const bool fromUpstream = head.limit.perSecond || head.fromUpstream || head.notRun;
    if (fromUpstream) {
        const auto change = context.rateLimiter.observe(upstream, head.limit.perSecond, sentAt, context.clock.now());
        logLimitChange(context, upstream, change, context.settings.vm, Duration::zero());
    }
}

auto logLimitChange(EdgeContext &context, const Upstream &upstream, LimitChange change, std::string_view from, Duration age) -> void
{
    if (change == LimitChange::None) {
        return;
    }
    const auto limited = context.rateLimiter.limitedUpstreams(upstream.service);
    context.counters.at(fmt::format("upstreams_limited{{service=\"{}\"}}", upstream.service)).set(static_cast<std::int64_t>(limited));
    context.log.write("limits", name(change),
                      {{"upstream", upstream.id},
                       {"service", upstream.service},
                       {"limit", context.rateLimiter.limitOf(upstream.id).value_or(0)},
                       {"from", from},
                       {"age_ms", toMilliseconds(age)},
                       {"limited_upstreams", limited}});
}

auto limitedUpstreams(EdgeContext &context, std::string_view service, EngineRole role) -> std::vector<std::string_view>
{
    std::vector<std::string_view> result;
    for (const auto *upstream : context.directory.usable(service)) {
        if (upstream->role == role && !context.rateLimiter.mayAdmit(upstream->id, context.clock.now())) {
            result.push_back(upstream->id);
        }
    }
    return result;
}

auto logRefusalForLimits(EdgeContext &context, const IncomingRequest &request, const std::vector<std::string_view> &limited,
                         Duration retryAfter) -> void
{
    auto limits = nlohmann::json::object();
    for (const auto upstream : std::span(limited).first(std::min(limited.size(), MaxLoggedUpstreams))) {
        limits[std::string(upstream)] = context.rateLimiter.limitOf(upstream).value_or(0);
    }
    context.counters.at("requests_refused_for_limits").add();
    context.log.write("limits", "request_limited",
                      {{"request", request.metadata.requestId},
                       {"service", request.service},
                       {"limits", std::move(limits)},
                       {"limited_upstreams", limited.size()},
                       {"retry_after_ms", toMilliseconds(retryAfter)}});
}

auto checkQuarantine(const EdgeContext &context, const IncomingRequest &request) -> std::optional<QuarantineRefusal>
{
    const auto entry = context.quarantine.find(request.traits, context.clock.now());
    if (!entry) {
        return std::nullopt;
    }
    context.counters.at("requests_quarantined").add();
    context.log.write("quarantine", "request_quarantined",
                      {{"request", request.metadata.requestId},
                       {"fingerprint", fingerprintText(request.fingerprint)},
                       {"traits", fingerprintTexts(entry->traits)},
                       {"crashed", entry->upstreams},
                       {"observer", entry->observer},
                       {"crash_age_ms", toMilliseconds(entry->age)},
                       {"remaining_ms", toMilliseconds(entry->remaining)}});
    return QuarantineRefusal{fmt::format("the request is quarantined: {} upstreams crashed while they ran it", entry->upstreams.size()),
                             entry->remaining};
}

auto respondWithError(EdgeContext &context, const IncomingRequest &request, const RequestAttempts &attempts, bool timedOut,
                      std::string_view reason, Duration retryAfter) -> void
{
    const auto answer = attempts.errorAnswer(timedOut);
    retryAfter = afterPause(context, request, retryAfter);
    HttpResponse response;
    switch (answer) {
    case ErrorAnswer::Refused:
        response = context.protocol.refusal(retryAfter, reason);
        if (request.relay && context.reach.isCutOff(request.service)) {
            response.headers.push_back({std::string(RelayRefusedHeader), "1"});
        }
        break;
    case ErrorAnswer::BadGateway:
        response = {502, {{"Content-Type", "text/plain"}}, std::string(reason)};
        break;
    case ErrorAnswer::TimedOut:
        response = {504, {{"Content-Type", "text/plain"}}, std::string(reason)};
        break;
    }
    context.counters.at(answer == ErrorAnswer::Refused ? "requests_refused" : "requests_failed").add();
    context.log.write("forward", "request_given_up",
                      {{"request", request.metadata.requestId},
                       {"route", request.route->name},
                       {"status", response.status},
                       {"reason", reason},
                       {"sends", attempts.count()},
                       {"retry_after_ms", answer == ErrorAnswer::Refused ? toMilliseconds(retryAfter) : 0.0},
                       {"age_ms", toMilliseconds(context.clock.now() - request.arrivedAt)},
                       {"routes_version", request.routeTable->version}});
    if (request.relay) {
        response.headers.push_back({std::string(RelayCallsHeader), encodeRelayCalls(request.calls)});
    }
    request.exchange->respond(std::move(response));
}

auto name(AttemptOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        return "not_sent";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::Misdirected:
        return "misdirected";
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace currantstack
