// Routes by host and longest path prefix, each to one or more weighted services.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// What may be repeated on a route.
enum class RouteKind
{
    Idempotent, // a request may run more than once
    OnceOnly, // a request runs at most once
    Stream, // answered as events; runs at most once unless it may be resumed
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
    RouteKind kind = RouteKind::OnceOnly;
    bool resumable = false; // a broken stream may go on at another engine
    Duration timeout = seconds(10); // longest time that a caller is kept waiting
    Duration latencyGoal = seconds(1); // to the answer, or to the first event of a stream
    Duration gapGoal = milliseconds(300); // between events of a stream
    int priority = 5; // 0 is the most urgent
    int attempts = 1; // upstreams that one request may be sent to
    std::vector<RouteTarget> targets;
};

/// What the engines of a service have in common.
struct EngineSpec
{
    std::int64_t slots = 1; // requests that one engine runs at once
    std::int64_t kvTokens = 0; // tokens that fit into one engine's memory
    std::int64_t tokensPerEvent = 1; // of a stream
    double kvBytesPerToken = 0;
    double linkMbps = 0; // megabits a second for KV cache between engines
    Duration handleLifetime = Duration::zero(); // how long a prefill's result is kept
    Duration reservationLifetime = Duration::zero(); // how long room can be reserved; zero: not at all
    Duration roleChangeTime = Duration::zero(); // how long an engine is away when its role changes
};

struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; // per upstream, over all callers; 0: not limited
    std::optional<EngineSpec> engine; // set where the upstreams run a model
};

/// Bounds on what a caller may send, and how slowly.
struct CallerLimits
{
    std::size_t maxHead = 16U << 10; // bytes
    std::size_t maxBody = 4U << 20; // bytes
    Duration headTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// One version of all routes and services.
struct RouteTable
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;

    /// Returns the route of the host with the longest prefix that begins the path, or null.
    auto find(std::string_view host, std::string_view path) const -> const Route *;

    /// Returns the service with the name, or null.
    auto service(std::string_view name) const -> const ServiceSpec *;
};

/// Returns the service for a request, by the targets' weights; `draw` lies in [0, 1). Empty where no target has weight.
auto drawTarget(const Route &route, double draw) -> std::string_view;

} // namespace currantstack
