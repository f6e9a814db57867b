// State shared by the controllers and request forwarders of one edge VM.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/decisions/contended_capacity.h"
#include "currantstack/decisions/cost_table.h"
#include "currantstack/decisions/counted_calls.h"
#include "currantstack/decisions/crash_detector.h"
#include "currantstack/decisions/end_checks.h"
#include "currantstack/decisions/end_evidence.h"
#include "currantstack/decisions/event_id_pattern.h"
#include "currantstack/decisions/exclusion_list.h"
#include "currantstack/decisions/fleet_rate_limiter.h"
#include "currantstack/decisions/fleet_retry_budget.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/memory_budget.h"
#include "currantstack/decisions/peer_protocol.h"
#include "currantstack/decisions/relay_choice.h"
#include "currantstack/decisions/request_attempts.h"
#include "currantstack/decisions/route_history.h"
#include "currantstack/decisions/software_versions.h"
#include "currantstack/decisions/stream_origins.h"
#include "currantstack/decisions/tenant_quotas.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/decisions/upstream_notices.h"
#include "currantstack/decisions/upstream_reach.h"
#include "currantstack/decisions/upstream_silence.h"
#include "currantstack/edge/latencies.h"
#include "currantstack/edge/open_requests.h"
#include "currantstack/edge/pending_queue.h"
#include "currantstack/edge/protocol.h"
#include "currantstack/edge/relay_message.h"
#include "currantstack/edge/settings.h"
#include "currantstack/event_log.h"
#include "currantstack/fingerprint.h"
#include "currantstack/health.h"
#include "currantstack/http_client.h"
#include "currantstack/http_server.h"
#include "currantstack/loop.h"

#include <map>
#include <memory>

namespace currantstack
{

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Time after the start of a drain in which requests are still accepted. The balancer stops sending requests after two failed readiness
/// checks a second apart, and the longest streams need the rest of the platform's drain time.
inline constexpr Duration DrainAcceptTime = milliseconds(2700);

/// A stopping process ends by itself this long before the platform kills it.
inline constexpr Duration KillSafetyMargin = milliseconds(400);

/// Time between the last answers of a stopping process and its end, in which the answers are sent.
inline constexpr Duration AnswerFlushTime = milliseconds(200);

/// Receives the origin of a stream, or nothing if no VM knows it.
using OriginFound = std::function<void(const std::optional<StreamOrigin> &origin)>;

/// What a VM's knowledge of the software versions rests on.
struct VersionEvidence
{
    TimePoint recordedAsOf; // when the store's record named all versions that this VM knows
    TimePoint mostHeardAt; // since when most VMs have been heard
    bool isStoreSilent = false; // the last reads of the record were not answered
};

/// Access to the origins of streams that other VMs relayed.
struct OriginHooks
{
    /// Runs at the first event that this VM relays of a stream.
    std::function<void(std::string_view firstAttemptId, std::string_view service, SoftwareVersionKey version)> announce;
    std::function<void(std::string_view firstAttemptId, OriginFound callback)> find;
    /// Returns whether a version may have appeared of which this VM cannot know.
    std::function<bool()> mayMissVersions;
    /// Returns whether upstreams may have joined of which this VM cannot know.
    std::function<bool()> mayMissUpstreams;
    std::function<VersionEvidence()> versionEvidence; // for logs
};

/// Access to the VMs that forward requests for this one.
struct RelayHooks
{
    /// Returns the VMs that may forward a request for the service.
    std::function<std::vector<RelayCandidate>(std::string_view service)> candidates;
    /// Records that nothing listens where the VM would take requests of others.
    std::function<void(std::string_view vm)> onConnectionRefused;
};

/// All users run on one event loop. Only the controllers change the state.
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
    MemoryBudget &memory; // of the whole process
    FleetRetryBudget retryBudget;
    PendingQueue pendingQueue;
    FleetRateLimiter rateLimiter; // of the upstreams that name a limit
    TenantQuotas tenantQuotas;
    std::function<TimePoint()> routesCurrentAt = []() { return TimePoint(); }; // all changes of the configuration of before are known
    RouteTablePtr routeTable = nullptr; // in force; null until the first one is read
    RouteHistory formerRoutes = {};
    TimePoint routesReadAt = {};
    UpstreamDirectory directory = {};
    LoadTable loads = {};
    std::int64_t peerRoutesVersion = 0; // highest version of the configuration that another VM has reported lately
    TimePoint peerRoutesReportedAt = {};
    bool remoteLoadsAreAggregates = false; // other places report aggregates, which are older than the reports of this place's VMs
    CostTable costs = {};
    HealthTracker health = {};
    std::map<std::string, EngineSpeeds, std::less<>> speeds = {}; // by service
    std::map<std::string, MovingAverage, std::less<>> requestMs = {}; // duration of a plain service's requests, by service
    std::map<std::string, EventIdPattern, std::less<>> eventIds = {}; // by service
    std::map<std::string, EndChecks, std::less<>> endChecks = {}; // by service
    ExclusionList exclusions = {};
    RemoteRefusals remoteRefusals = {}; // of reservations
    UpstreamNotices notices = {};
    Quarantine quarantine = Quarantine();
    CrashDetector crashDetector = {};
    SoftwareVersions versions = {};
    StreamOrigins origins = {};
    OriginHooks originHooks = {};
    UpstreamReach reach = {};
    EndEvidence endEvidence = {};
    UpstreamSilence silence = {};
    std::function<bool()> mayHaveWitnesses = []() { return false; }; // other VMs that confirm the end of an upstream
    RelayHooks relayHooks = {};
    std::map<std::string, int, std::less<>> relayedInFlight = {}; // requests that other VMs forward for this one, by VM
    bool takesRelays = false; // this VM has opened its port for requests of other VMs
    bool storeUnreachable = false; // so the directory may be outdated
    TimePoint upstreamsReadAt = {}; // completely, from the store
    TimePoint upstreamsCurrentAt = {}; // all changes of before are in the directory
    std::function<void()> readUpstreams = []() {}; // from the store, unless that is under way
    bool draining = false;
    TimePoint drainingSince = {};
    OpenRequests openRequests = {};

    /// Returns what this VM reports of itself to the others.
    auto ownProtocol() const -> PeerProtocol
    {
        return {ProtocolNumber, takesRelays && !draining};
    }

    /// Returns when this process ends at the latest.
    auto stopsAt() const -> TimePoint
    {
        return draining ? drainingSince + settings.drainLimit - KillSafetyMargin : TimePoint::max();
    }

    /// Returns when the callers that have received nothing get an error, because this VM stops.
    auto answersDueAt() const -> TimePoint
    {
        return draining ? stopsAt() - AnswerFlushTime : TimePoint::max();
    }

    /// Returns whether new requests are refused, because this VM stops too soon to complete them.
    auto refusesRequests() const -> bool
    {
        const auto now = clock.now();
        return draining && (now - drainingSince >= DrainAcceptTime || now >= answersDueAt());
    }

    /// Returns whether another VM has reported a newer configuration lately, which may have other routes.
    auto hasOutdatedRoutes() const -> bool
    {
        constexpr Duration ReportLifetime = seconds(3);
        return routeTable && routeTable->version < peerRoutesVersion && clock.now() - peerRoutesReportedAt < ReportLifetime;
    }

    auto speedsOf(std::string_view service) -> EngineSpeeds &
    {
        return speeds[std::string(service)];
    }

    /// Returns the mean request costs that this VM has measured, for the services of which it has completed streams.
    auto localCosts() const -> std::vector<ServiceCost>
    {
        std::vector<ServiceCost> result;
        for (const auto &[service, entry] : speeds) {
            if (entry.observedStreams() > 0) {
                result.push_back({service, entry.requestCost(), entry.observedStreams()});
            }
        }
        return result;
    }

    auto requestTimeOf(std::string_view service) -> MovingAverage &
    {
        constexpr double InitialRequestMs = 30; // assumed until the first answer
        return requestMs.try_emplace(std::string(service), InitialRequestMs).first->second;
    }
};

/// One caller's request, completed step by step by the filters.
struct IncomingRequest
{
    ExchangePtr exchange;
    RequestMetadata metadata;
    Fingerprint fingerprint = 0; // the same for each repetition of the request
    Traits traits; // by which crashes of upstreams are attributed
    RouteTablePtr routeTable;
    const Route *route = nullptr; // points into `routeTable`
    const Tenant *tenant = nullptr; // that holds the caller's key; points into `routeTable`
    std::string service;
    TimePoint arrivedAt;
    std::optional<RelayInfo> relay; // set if another VM took the request from its caller
    CountedCalls calls = {}; // at all VMs

    std::optional<TimePoint> firstVmDeadline; // of the VM that took the request, whose routes may be of another version

    /// Returns the tenant's name, or an empty text.
    auto tenantName() const -> std::string
    {
        return tenant == nullptr ? "" : tenant->name;
    }

    /// Returns the rank in which the request is served, 0 is the highest: that of its tenant, else that of its route.
    auto rank() const -> int
    {
        return tenant != nullptr && tenant->priority ? *tenant->priority : route->priority;
    }

    /// Returns the time by which the caller must have its answer: the earlier of the route's timeout and the caller's own deadline, at
    /// the VM that took the request.
    auto deadline() const -> TimePoint
    {
        if (firstVmDeadline) {
            return *firstVmDeadline;
        }
        return arrivedAt + std::min(route->timeout, metadata.timeLeft.value_or(route->timeout));
    }
};

} // namespace currantstack
