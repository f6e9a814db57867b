// Access of tenants: verifies the keys of requests, and charges the requests to the tenants' quotas.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/json.h"

#include <optional>

namespace currantstack
{

/// Filter that sets the request's tenant. Refuses a request whose route needs a key if it has none that the configuration knows.
auto requireKey(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>;

/// Filter that charges the request to its tenant's quota, or refuses it. A request that another VM has taken from its caller is charged
/// there. The charge is given back if the caller's response promises that the request was not run.
auto chargeQuota(EdgeContext &context, IncomingRequest &request) -> std::optional<HttpResponse>;

/// Returns the response to a request that `requireKey` would refuse, so that its body need not be read, or nothing.
auto checkKey(EdgeContext &context, const HttpRequest &request) -> std::optional<HttpResponse>;

/// Returns the tenants in force with their quotas, what is left of them, and what this VM has charged, refused and given back:
/// {"version", "tenants": [{"name", "priority", "unit", "rate_per_s", "burst", "level", "requests", "charged", "refused", "refunded"}]}.
/// Keys are not part of it.
auto tenantsReport(EdgeContext &context) -> Json;

/// Sets the gauges of the tenants' quotas.
auto updateQuotaGauges(EdgeContext &context) -> void;

} // namespace currantstack
