// What the controllers and forwarders of one VM of the edge share.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/decisions/attempt.h"
#include "currantstack/decisions/avoid_list.h"
#include "currantstack/decisions/cost_table.h"
#include "currantstack/decisions/fleet_retry_budget.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/edge/latencies.h"
#include "currantstack/edge/pending_queue.h"
#include "currantstack/edge/protocol.h"
#include "currantstack/edge/settings.h"
#include "currantstack/event_log.h"
#include "currantstack/health.h"
#include "currantstack/http_client.h"
#include "currantstack/http_server.h"
#include "currantstack/loop.h"

#include <map>
#include <memory>

namespace currantstack
{

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// How long requests are still taken after the drain has begun: the balancer needs two misses a second apart to notice it, and
/// the longest streams need the rest of the time that the platform gives.
inline constexpr Duration DrainAcceptTime = milliseconds(2700);

/// All run on one loop; state is owned here and changed by the controllers alone.
struct EdgeContext
{
    Loop &loop;
    const Clock &clock;
    Random &random;
    const EdgeSettings &settings;
    HttpClient &client;
    const EdgeProtocol &protocol;
    EventLog &log;
    Counters &counters;
    Latencies &latencies;
    FleetRetryBudget retryBudget;
    PendingQueue pendingQueue;
    RouteTablePtr routeTable = nullptr; // in force; null until it was read
    TimePoint routesReadAt = {};
    UpstreamDirectory directory = {};
    LoadTable loads = {};
    bool remoteLoadsAreAggregates = false; // other places tell their work as a sum, later than VMs of the own place tell theirs
    CostTable costs = {};
    HealthTracker health = {};
    std::map<std::string, EngineSpeeds, std::less<>> speeds = {}; // by service
    std::map<std::string, MovingAverage, std::less<>> requestMs = {}; // of a plain service's request
    AvoidList exclusions = {};
    bool storeUnreachable = false; // so that the directory may be out of date
    bool draining = false;
    TimePoint drainingSince = {};

    /// Returns whether this VM stops so soon that a new request might be cut off.
    auto refusesRequests() const -> bool
    {
        return draining && clock.now() - drainingSince >= DrainAcceptTime;
    }

    auto speedsOf(std::string_view service) -> EngineSpeeds &
    {
        return speeds[std::string(service)];
    }

    /// Returns this VM's own costs of the services that it has seen streams of.
    auto localCosts() const -> std::vector<ServiceCost>
    {
        std::vector<ServiceCost> result;
        for (const auto &[service, entry] : speeds) {
            if (entry.streamsSeen() > 0) {
                result.push_back({service, entry.requestCost(), entry.streamsSeen()});
            }
        }
        return result;
    }

    auto requestTimeOf(std::string_view service) -> MovingAverage &
    {
        constexpr double InitialRequestMs = 30; // until requests were seen
        return requestMs.try_emplace(std::string(service), InitialRequestMs).first->second;
    }
};

/// One caller's request on its way through the filters.
struct IncomingRequest
{
    ExchangePtr exchange;
    RequestMetadata metadata;
    RouteTablePtr routeTable;
    const Route *route = nullptr; // in `routeTable`
    std::string service;
    TimePoint arrivedAt;

    /// Returns when the caller gets its final answer at the latest.
    auto deadline() const -> TimePoint
    {
        return arrivedAt + std::min(route->timeout, metadata.timeLeft.value_or(route->timeout));
    }
};

} // namespace currantstack
