#include "currantstack/edge/tenant_access.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/reach_controller.h"

#include <cmath>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Duration OutdatedRetryAfter = milliseconds(500); // a VM that is behind reads the configuration within this time
constexpr std::size_t MaxCountedTenants = 64; // tenants with counters of their own; those of further ones are added up
constexpr std::size_t MaxLoggedId = 100; // bytes

auto countFor(EdgeContext &context, std::string_view counter, std::string_view tenant, std::int64_t amount = 1) -> void
{
    const auto &tenants = context.routeTable->tenants.tenants();
    const auto position = static_cast<std::size_t>(std::distance(tenants.begin(), tenants.lower_bound(tenant)));
    context.counters.at(fmt::format("{}{{tenant=\"{}\"}}", counter, position < MaxCountedTenants ? tenant : "other")).add(amount);
}

/// Returns whether keys may have been revoked of which this VM cannot know.
auto mayMissRevocations(const EdgeContext &context) -> bool
{
    const auto &bound = context.settings.revocation;
    return bound.isStrict && context.clock.now() - context.routesCurrentAt() > bound.limit;
}

auto refuseKey(EdgeContext &context, const Route &route, std::string_view requestId, std::string_view key) -> HttpResponse
{
    if (context.hasOutdatedRoutes()) {
        return context.protocol.refusal(OutdatedRetryAfter, "the key is unknown, and this VM's configuration is outdated");
    }
    context.counters.at("requests_unauthorized").add();
    context.log.write("tenants", "key_refused",
                      {{"request", requestId.substr(0, MaxLoggedId)},
                       {"route", route.name},
                       {"has_key", !key.empty()},
                       {"routes_version", context.routeTable->version},
                       {"keys", context.routeTable->tenants.keyCount()}});
    return context.protocol.unauthorized(key.empty() ? "the request has no key" : "the key is unknown");
}

/// Returns the tenant that the VM has verified which took the request from its caller.
auto tenantOfRelay(const EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    request.tenant = request.routeTable->tenants.find(request.relay->tenant);
    if (request.tenant == nullptr && !request.route->isPublic) {
        return relayRefusal(context, "this VM does not know the tenant");
    }
    return std::nullopt;
}

} // namespace

auto requireKey(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    const auto &tenants = request.routeTable->tenants;
    if (tenants.isEmpty()) {
        return std::nullopt;
    }
    if (request.relay) {
        return tenantOfRelay(context, request);
    }
    const auto key = context.protocol.callerKey(request.exchange->request());
    request.tenant = tenants.findByKey(key);
    if (request.route->isPublic) {
        return std::nullopt;
    }
    if (request.tenant == nullptr) {
        return refuseKey(context, *request.route, request.metadata.requestId, key);
    }
    if (mayMissRevocations(context)) {
        context.counters.at("keys_unconfirmed").add();
        return context.protocol.refusal(OutdatedRetryAfter, "this VM cannot confirm that the key is still valid");
    }
    return std::nullopt;
}

auto checkKey(EdgeContext &context, const HttpRequest &request) -> std::optional<HttpResponse>
{
    const auto &routes = context.routeTable;
    if (!routes || routes->tenants.isEmpty()) {
        return std::nullopt;
    }
    const auto metadata = context.protocol.parseRequest(request);
    const auto *route = routes->find(metadata.host, request.target);
    const auto key = context.protocol.callerKey(request);
    if (route == nullptr || route->isPublic || routes->tenants.findByKey(key) != nullptr) {
        return std::nullopt;
    }
    return refuseKey(context, *route, metadata.requestId, key);
}

auto chargeQuota(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>
{
    if (request.tenant == nullptr || request.relay || request.route->isPublic) {
        return std::nullopt;
    }
    const auto &tenant = *request.tenant;
    countFor(context, "tenant_requests", tenant.name);
    if (tenant.limit.isUnlimited()) {
        return std::nullopt;
    }
    const auto &shape = request.metadata.shape;
    const auto charge = tenant.limit.charge(shape.promptTokens, shape.outputTokens);
    const auto decision = context.tenantQuotas.admit(tenant.name, charge, context.clock.now());
    if (!decision.admitted) {
        countFor(context, "tenant_refused", tenant.name);
        context.log.write("tenants", "quota_exceeded",
                          {{"request", request.metadata.requestId.substr(0, MaxLoggedId)},
                           {"tenant", tenant.name},
                           {"charge", charge},
                           {"level", std::round(decision.level)},
                           {"rate", tenant.limit.perSecond},
                           {"demand", std::round(decision.demand)},
                           {"fraction", decision.fraction},
                           {"report_age_ms", toMilliseconds(decision.reportAge)},
                           {"retry_after_ms", toMilliseconds(decision.retryAfter)}});
        return context.protocol.quotaExceeded(decision.retryAfter, "the tenant has used up its quota");
    }
    countFor(context, "tenant_charged", tenant.name, std::llround(charge));
    request.exchange->onResponse([&context, name = tenant.name, charge](int status) {
        if (impliesNotRun(status)) {
            context.tenantQuotas.refund(name, charge, context.clock.now());
            countFor(context, "tenant_refunded", name, std::llround(charge));
        }
    });
    return std::nullopt;
}

auto tenantsReport(EdgeContext &context) -> Json
{
    Json tenants = Json::array();
    if (!context.routeTable) {
        return {{"version", 0}, {"tenants", tenants}};
    }
    for (const auto &[name, tenant] : context.routeTable->tenants.tenants()) {
        const auto &limit = tenant.limit;
        const auto counted = [&context, &name = name](std::string_view counter) {
            return context.counters.value(fmt::format("{}{{tenant=\"{}\"}}", counter, name));
        };
        Json entry = {{"name", name},
                      {"unit", limit.unit == ChargeUnit::Tokens ? "tokens" : "requests"},
                      {"rate_per_s", limit.perSecond},
                      {"burst", limit.burst},
                      {"requests", counted("tenant_requests")},
                      {"charged", counted("tenant_charged")},
                      {"refused", counted("tenant_refused")},
                      {"refunded", counted("tenant_refunded")}};
        if (tenant.priority) {
            entry["priority"] = *tenant.priority;
        }
        if (const auto level = context.tenantQuotas.level(name, context.clock.now())) {
            entry["level"] = std::llround(*level);
        }
        tenants.push_back(std::move(entry));
    }
    return {{"version", context.routeTable->version}, {"tenants", std::move(tenants)}};
}

auto updateQuotaGauges(EdgeContext &context) -> void
{
    if (!context.routeTable) {
        return;
    }
    std::size_t count = 0;
    for (const auto &[name, tenant] : context.routeTable->tenants.tenants()) {
        if (const auto level = context.tenantQuotas.level(name, context.clock.now()); level && count++ < MaxCountedTenants) {
            context.counters.at(fmt::format("tenant_level{{tenant=\"{}\"}}", name)).set(std::llround(*level));
            context.counters.at(fmt::format("tenant_rate{{tenant=\"{}\"}}", name)).set(std::llround(tenant.limit.perSecond));
        }
    }
}

} // namespace currantstack
