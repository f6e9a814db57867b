// Routes by host and longest path prefix. Each route splits its requests over weighted services.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/tenant_directory.h"
#include "currantstack/decisions/upstream_directory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// How often a request of a route may run.
enum class RouteKind
{
    Idempotent, // a request may run more than once
    AtMostOnce, // not idempotent: a request runs at most once
    Stream, // answered by an event stream; runs at most once unless it may be resumed
};

struct RouteTarget
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RouteKind kind = RouteKind::AtMostOnce;
    bool resumable = false; // a broken stream may be resumed on another engine
    Duration timeout = seconds(10); // from the arrival of a request to its complete answer, at most
    Duration latencyGoal = seconds(1); // target time to the answer, or to the first event of a stream
    Duration gapGoal = milliseconds(300); // target time between events of a stream
    int priority = 5; // 0 is the highest
    int attempts = 1; // maximum per request
    bool isPublic = false; // needs no key, also if the configuration has tenants
    std::vector<RouteTarget> targets;
};

/// Properties that all engines of a service share.
struct EngineSpec
{
    std::int64_t slots = 1; // requests that one engine runs concurrently
    std::int64_t kvTokens = 0; // capacity of one engine's KV cache, in tokens
    std::int64_t tokensPerEvent = 1;
    double kvBytesPerToken = 0;
    double linkMbps = 0; // bandwidth for KV cache transfers between engines, in megabits per second
    Duration handleLifetime = Duration::zero(); // how long an engine retains the KV cache of a finished prefill
    Duration reservationLifetime = Duration::zero(); // longest reservation of engine capacity; zero: no reservations
    Duration roleChangeTime = Duration::zero(); // how long a role change makes an engine unavailable
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // per upstream, over all callers; 0: unlimited
    std::optional<EngineSpec> engine; // set if the upstreams are engines
};

/// Limits on the size and duration of a caller's request.
struct CallerLimits
{
    std::size_t maxHead = 16U << 10; // bytes
    std::size_t maxBody = 4U << 20; // bytes
    Duration headTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// One version of the routes and services.
struct RouteTable
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    TenantDirectory tenants; // none: requests need no key
    std::map<std::string, std::set<int>, std::less<>> streamRanks; // of the routes with streams, by service; see `indexRanks`

    /// Fills `streamRanks` from the routes and the tenants.
    auto indexRanks() -> void;

    /// Returns whether the rank is the highest of several that the service's streams have.
    auto isUrgent(std::string_view service, int rank) const -> bool;

    /// Returns whether the service's streams have a higher rank than this one.
    auto hasHigherRank(std::string_view service, int rank) const -> bool;

    /// Returns the route of the host with the longest prefix that matches the path, or null.
    auto find(std::string_view host, std::string_view path) const -> const Route *;

    /// Returns the service with the name, or null.
    auto service(std::string_view name) const -> const ServiceSpec *;
};

/// Returns whether the entry names an upstream of one of the services; other writers may leave entries that do not.
auto recognizes(const RouteTable &routeTable, const Upstream &upstream) -> bool;

/// Returns whether the route sends requests to the service.
auto hasTarget(const Route &route, std::string_view service) -> bool;

/// Selects a service by the targets' weights; `draw` is a uniform random number in [0, 1). Empty if no target has weight.
auto selectTarget(const Route &route, double draw) -> std::string_view;

} // namespace currantstack
