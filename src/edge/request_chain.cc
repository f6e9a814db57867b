#include "currantstack/edge/request_chain.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/reach_controller.h"
#include "currantstack/edge/service_forwarder.h"
#include "currantstack/edge/stream_forwarder.h"
#include "currantstack/edge/tenant_access.h"
#include "relayed_request.h"

namespace currantstack
{

namespace
{

constexpr Duration ShortestCutRetryAfter = milliseconds(300); // upstreams that no VM reaches are probed in about this period
constexpr Duration LongestCutRetryAfter = milliseconds(1200);
constexpr Duration UnconfiguredRetryAfter = milliseconds(500); // a starting VM loads its configuration within this time

auto rejectWhenStopping(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (!context.refusesRequests()) {
        return std::nullopt;
    }
    if (request.relay) {
        return relayRefusal(context, "this VM is stopping");
    }
    auto response = context.protocol.refusal(StoppingRetryAfter, StopReason);
    response.headers.push_back({"Connection", "close"});
    return response;
}

/// Returns the routes by which the request is handled: for a stream that has begun at another VM, those that it had there if they are
/// known.
auto routesOf(const EdgeContext &context, const IncomingRequest &request) -> RouteTablePtr
{
    const bool hasBegun = request.relay && request.relay->lastEventId;
    const auto former = hasBegun ? context.formerRoutes.find(request.relay->routesVersion) : nullptr;
    return former ? former : context.routeTable;
}

auto requireRoutes(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (request.relay && (!context.routeTable || context.routeTable->version < request.relay->routesVersion)) {
        return relayRefusal(context, "the configuration of this VM is older than that of the first VM");
    }
    if (!context.routeTable) {
        return context.protocol.refusal(UnconfiguredRetryAfter, "the configuration is not loaded yet");
    }
    request.routeTable = routesOf(context, request);
    return std::nullopt;
}

auto requireId(EdgeContext & /*context*/, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (request.metadata.requestId.empty()) {
        return HttpResponse{400, {{"Content-Type", "text/plain"}}, "the request has no id"};
    }
    return std::nullopt;
}

auto findRoute(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    request.route = request.routeTable->find(request.metadata.host, request.exchange->request().target);
    if (request.route == nullptr && context.hasOutdatedRoutes()) {
        return context.protocol.refusal(UnconfiguredRetryAfter, "no route matches the request, and this VM's configuration is outdated");
    }
    if (request.route == nullptr) {
        return HttpResponse{404, {{"Content-Type", "text/plain"}}, "no route matches the request"};
    }
    return std::nullopt;
}

auto limitBody(EdgeContext & /*context*/, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (request.exchange->request().body.size() > request.routeTable->limits.maxBody) {
        return HttpResponse{413, {{"Content-Type", "text/plain"}}, "the body is too large"};
    }
    return std::nullopt;
}

auto rejectQuarantined(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (const auto refusal = checkQuarantine(context, request)) {
        return context.protocol.refusal(refusal->retryAfter, refusal->reason);
    }
    return std::nullopt;
}

auto chooseService(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (request.relay && hasTarget(*request.route, request.relay->service)) {
        request.service = request.relay->service;
        return std::nullopt;
    }
    const auto draw = std::uniform_real_distribution<double>(0, 1)(context.random);
    request.service = std::string(selectTarget(*request.route, draw));
    if (request.service.empty()) {
        return context.protocol.refusal(UnconfiguredRetryAfter, "the route has no service");
    }
    return std::nullopt;
}

auto refuseUnreachable(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (!context.reach.isCutOff(request.service) || mayRelay(context, request)) {
        return std::nullopt;
    }
    if (request.relay) {
        return relayRefusal(context, "this VM cannot reach the upstreams of the service either");
    }
    std::uniform_real_distribution<double> delayMs(toMilliseconds(ShortestCutRetryAfter), toMilliseconds(LongestCutRetryAfter));
    return context.protocol.refusal(fromMilliseconds(delayMs(context.random)), "no VM reaches the upstreams of the service");
}

} // namespace

auto edgeFilters() -> std::vector<EdgeFilter>
{
    return {rejectWhenStopping, requireRoutes,     requireId,     findRoute,         requireKey,
            limitBody,          rejectQuarantined, chooseService, refuseUnreachable, chargeQuota};
}

auto RequestChain::handle(const ExchangePtr &exchange, std::optional<RelayInfo> relay) -> void
{
    IncomingRequest request;
    request.exchange = exchange;
    request.metadata = m_context.protocol.parseRequest(exchange->request());
    request.fingerprint = requestFingerprint(exchange->request());
    request.traits = traitsOf(request.fingerprint, request.metadata.promptParts);
    request.arrivedAt = m_context.clock.now();
    request.relay = std::move(relay);
    if (request.relay) {
        request.calls = request.relay->calls;
        if (request.relay->timeLeft) {
            request.firstVmDeadline = request.arrivedAt + *request.relay->timeLeft;
        }
        request.arrivedAt -= request.relay->age;
        if (request.relay->lastEventId) {
            request.metadata.lastEventId = request.relay->lastEventId;
            request.metadata.firstAttemptId = request.relay->firstAttemptId;
        }
    }
    m_context.counters.at("requests_taken").add();
    for (const auto &filter : m_filters) {
        if (auto response = filter(m_context, request)) {
            m_context.log.write("chain", "request_rejected",
                                {{"request", request.metadata.requestId},
                                 {"host", request.metadata.host},
                                 {"target", exchange->request().target},
                                 {"status", response->status},
                                 {"reason", response->body},
                                 {"tenant", request.tenantName()},
                                 {"relayed_by", request.relay ? request.relay->vm : ""},
                                 {"routes_version", request.routeTable ? request.routeTable->version : 0}});
            m_context.counters.at("requests_rejected").add();
            exchange->respond(std::move(*response));
            return;
        }
    }
    forward(std::move(request));
}

auto RequestChain::forward(IncomingRequest request) -> void
{
    const bool isStream = request.route->kind == RouteKind::Stream;
    if (m_context.reach.isCutOff(request.service)) {
        const auto attempts = attemptsOf(request);
        const auto lastEventId = request.metadata.lastEventId;
        relayRequest(m_context, {std::move(request), attempts, false, false, lastEventId, {}, "this VM is cut off from the upstreams"});
    } else if (isStream) {
        forwardStream(m_context, std::move(request));
    } else {
        forwardToService(m_context, std::move(request));
    }
}

} // namespace currantstack
