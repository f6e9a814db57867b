#include "currantstack/edge/edge_node.h"

#include "currantstack/build_info.h"
#include "currantstack/decisions/poll_wait.h"
#include "currantstack/descriptor_budget.h"
#include "currantstack/edge/directory_controller.h"
#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/memory_refusal.h"
#include "currantstack/edge/origin_controller.h"
#include "currantstack/edge/quarantine_controller.h"
#include "currantstack/edge/reach_controller.h"
#include "currantstack/edge/request_chain.h"
#include "currantstack/edge/role_controller.h"
#include "currantstack/edge/tenant_access.h"
#include "currantstack/edge/vm_registry.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr Duration DrainCheckPeriod = milliseconds(100); // also the period in which the log is flushed
constexpr Duration AbortTime = milliseconds(50); // in which aborted streams are closed before the process ends
constexpr Duration SettingsCheckPeriod = seconds(2);
/// A VM that starts is ready after this time although streams may not begin at some service yet.
constexpr Duration LongestVersionWait = seconds(3);
constexpr std::size_t MaxBodyBytes = 8U << 20; // bound on request bodies, independent of the configured limit

auto randomSeed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

} // namespace

struct EdgeNode::Parts
{
    Parts(EdgeSettings initialSettings, EdgeAdapter platformAdapter, LogSink sink)
        : settings(std::move(initialSettings))
        , adapter(std::move(platformAdapter))
        , random(randomSeed())
        , memory(MemoryBudget::budgetOf(settings.memory))
        , log(clock, settings.vm, std::move(sink))
        , client(loop, &memory)
        , store(adapter.openStore(loop, clock, client, counters, random))
        , context{loop,
                  clock,
                  random,
                  settings,
                  client,
                  *adapter.protocol,
                  log,
                  counters,
                  latencies,
                  memory,
                  FleetRetryBudget(settings.retryBound),
                  PendingQueue(loop, clock),
                  FleetRateLimiter(random),
                  TenantQuotas(random)}
        , chain(context)
        , directory(context, *adapter.codec, *store, [this](const RouteTable &routeTable) { onRoutes(routeTable); })
        , exchange(context, directory)
        , quarantine(context, *adapter.codec, *store, exchange)
        , reach(context, exchange)
        , relayEntrance(context, exchange, [this](const ExchangePtr &request, RelayInfo info) { chain.handle(request, std::move(info)); })
        , versionRecorder(context, *adapter.codec, *store, bootClock,
                          {[this]() { return exchange.knowsPeers(); }, [this]() { return exchange.vms(); },
                           [this]() { return exchange.allHaveProtocol(PeerTable::RecordProtocol); }, [this]() { registry.readNow(); }})
        , origins(context, exchange, versionRecorder, bootClock, [this]() { registry.readNow(); })
        , registry(context, *adapter.codec, *store, [this](const VmRecords &records) { onVms(records); })
        , orderHolder(context, *adapter.codec, *store, bootClock)
        , roles(context, orderHolder)
        , drainTimer(loop.timer([this]() { checkDrained(); }))
        , settingsTimer(loop.timer([this]() {
            updatePollWait();
            reload(false);
        }))
        , flushTimer(loop.timer([this]() { log.flush(); }))
    { }

    auto openServers() -> Result<void>;
    auto onVms(const VmRecords &records) -> void;
    auto isReady() -> bool;
    auto mayBeginStreams() const -> bool;
    auto updatePollWait() -> void;
    auto onRoutes(const RouteTable &routeTable) -> void;
    auto drain() -> void;
    auto checkDrained() -> void;
    auto answerOpenRequests() -> void;
    auto refuseUnread() -> std::size_t;
    auto isDrained() const -> bool;
    auto stop() -> void;
    auto reload(bool requested) -> void;

    EdgeSettings settings;
    EdgeAdapter adapter;
    SystemClock clock;
    BootClock bootClock;
    Random random;
    MemoryBudget memory; // outlives all that holds grants
    Loop loop;
    EventLog log;
    Counters counters;
    Latencies latencies;
    HttpClient client;
    std::unique_ptr<Store> store;
    EdgeContext context;
    RequestChain chain;
    DirectoryController directory;
    LoadExchange exchange;
    QuarantineController quarantine;
    ReachController reach;
    RelayEntrance relayEntrance;
    VersionRecorder versionRecorder;
    OriginController origins;
    VmRegistry registry;
    OrderHolder orderHolder;
    RoleController roles;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<Timer> drainTimer;
    TimePoint startedAt = clock.now();
    bool hasBegun = false; // the VM was ready to begin streams once; afterwards they may wait for a new version
    bool vmsListed = false; // the other VMs were read from the store
    bool peersRequested = false; // ahead of the usual time
    std::optional<TimePoint> answeredAt; // when the open requests got their answers because of the stop
    std::unique_ptr<Timer> settingsTimer;
    std::unique_ptr<Timer> flushTimer;
};

auto EdgeNode::Parts::updatePollWait() -> void
{
    const auto average = PollWait::average(exchange.reportingVms(), settings.storeHistory);
    const auto &revocation = settings.revocation;
    store->setPollWait(revocation.isStrict ? PollWait::confirmingWithin(revocation.limit, average) : average);
}

auto EdgeNode::Parts::isReady() -> bool
{
    if (!directory.isComplete()) {
        return false;
    }
    hasBegun = hasBegun || mayBeginStreams() || clock.now() - startedAt >= LongestVersionWait;
    return !context.draining && hasBegun;
}

/// Returns whether streams may begin at each service of engines that has upstreams.
auto EdgeNode::Parts::mayBeginStreams() const -> bool
{
    const auto &services = context.routeTable->services;
    return std::all_of(services.begin(), services.end(),
                       [this](const auto &service) { return !service.engine || context.versions.hasSettled(service.name, clock.now()); });
}

auto EdgeNode::Parts::openServers() -> Result<void>
{
    ServerOptions options;
    options.address = settings.callerAddress.ip;
    options.port = settings.callerAddress.port;
    options.maxBody = MaxBodyBytes;
    options.maxHead = MemoryBudget::ConnectionBufferBytes;
    options.maxConnections = callerConnections(availableDescriptors(settings.maxDescriptors));
    options.onIdleClosed = [this](std::size_t closed, std::size_t open) {
        counters.at("idle_connections_closed").add(static_cast<std::int64_t>(closed));
        log.write("edge", "idle_connections_closed", {{"closed", closed}, {"open", open}});
    };
    options.onStalledEvicted = [this](std::size_t evicted) {
        counters.at("stalled_requests_evicted").add(static_cast<std::int64_t>(evicted));
        log.write(
            "edge", "stalled_requests_evicted",
            {{"evicted", evicted}, {"memory_in_use", memory.inUse()}, {"budget", memory.bytes()}, {"open", callerServer->connections()}});
    };
    options.strictFraming = true;
    options.memory = &memory;
    options.checkHead = [this](const HttpRequest &request) { return checkKey(context, request); };
    options.onMemoryShortage = [this](const HttpRequest &request, const MemoryShortage &shortage) {
        return refuseForMemory(context, request, shortage, false);
    };
    auto opened = HttpServer::open(loop, options, [this](const ExchangePtr &request) { chain.handle(request); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    callerServer = std::move(*opened);
    client.onMemoryShortage([this](std::size_t bytes) { callerServer->freeMemory(bytes); });
    if (auto openedRelay = relayEntrance.start(MaxBodyBytes); !openedRelay) {
        // Other VMs find another one to forward their requests.
        log.write("relay", "relay_unavailable", {{"error", describe(openedRelay.error())}});
    }
    ServerOptions readyOptions;
    readyOptions.address = settings.readinessAddress.ip;
    readyOptions.port = settings.readinessAddress.port;
    auto openedReady = HttpServer::open(loop, readyOptions, [this](const ExchangePtr &request) {
        const bool ready = isReady();
        request->respond({ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready" : "not ready"});
    });
    if (!openedReady) {
        return tl::unexpected(openedReady.error());
    }
    readinessServer = std::move(*openedReady);
    ServerOptions metricsOptions;
    metricsOptions.address = settings.metricsAddress.ip;
    metricsOptions.port = settings.metricsAddress.port;
    auto openedMetrics = HttpServer::open(loop, metricsOptions, [this](const ExchangePtr &request) {
        if (request->request().path == "/tenants") {
            request->respond(jsonResponse(200, dumpJson(tenantsReport(context))));
            return;
        }
        updateMemoryGauges(context);
        updateQuotaGauges(context);
        request->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsText(counters, latencies)});
    });
    if (openedMetrics) {
        metricsServer = std::move(*openedMetrics);
    } else {
        // Requests can be served without metrics.
        log.write("edge", "metrics_unavailable", {{"error", describe(openedMetrics.error())}});
    }
    return {};
}

auto EdgeNode::Parts::onVms(const VmRecords &records) -> void
{
    vmsListed = true;
    context.retryBudget.setVms(records.size());
    exchange.setPeers(records);
    updatePollWait();
    counters.at("vms_known").set(static_cast<std::int64_t>(records.size()));
}

auto EdgeNode::Parts::onRoutes(const RouteTable &routeTable) -> void
{
    const auto &limits = routeTable.limits;
    callerServer->setLimits({limits.maxHead, limits.headTimeout, limits.idleTimeout});
    context.tenantQuotas.setTenants(routeTable.tenants, settings.bootstrap, clock.now());
    // After a restart of all VMs, each would admit the quota of a tenant until they hear each other. Their former entries are still listed.
    const bool mustFindPeers = !settings.bootstrap && !vmsListed && routeTable.tenants.hasQuotas();
    if (mustFindPeers && !std::exchange(peersRequested, true)) {
        registry.readNow();
    }
}

auto EdgeNode::Parts::drain() -> void
{
    if (std::exchange(context.draining, true)) {
        return;
    }
    context.drainingSince = clock.now();
    log.write("edge", "drain_started", {{"requests_under_way", callerServer->active()}});
    callerServer->closeAfterResponses();
    registry.stop();
    roles.stop();
    orderHolder.stop();
    drainTimer->startRepeating(DrainCheckPeriod, DrainCheckPeriod);
}

auto EdgeNode::Parts::checkDrained() -> void
{
    if (context.refusesRequests()) {
        callerServer->quiesce();
        callerServer->closeIdle();
    }
    const auto now = clock.now();
    if (!answeredAt && now >= context.answersDueAt()) {
        answerOpenRequests();
    }
    const bool isOver = answeredAt && now >= std::max(context.stopsAt(), *answeredAt + AnswerFlushTime);
    if (isOver || isDrained()) {
        stop();
    }
}

auto EdgeNode::Parts::answerOpenRequests() -> void
{
    answeredAt = clock.now();
    const auto open = context.openRequests.size();
    context.openRequests.end(StopPhase::Unanswered);
    const auto unread = refuseUnread();
    log.write("edge", "open_requests_answered",
              {{"open", open},
               {"unread_refused", unread},
               {"streams_left", context.openRequests.size()},
               {"draining_ms", toMilliseconds(*answeredAt - context.drainingSince)}});
}

auto EdgeNode::Parts::refuseUnread() -> std::size_t
{
    return callerServer->refuseUnread(context.protocol.refusal(StoppingRetryAfter, StopReason));
}

auto EdgeNode::Parts::isDrained() const -> bool
{
    return context.refusesRequests() && callerServer->active() == 0 && callerServer->connections() == 0 && relayEntrance.active() == 0;
}

auto EdgeNode::Parts::stop() -> void
{
    drainTimer->stop();
    const auto aborted = context.openRequests.size();
    context.openRequests.end(StopPhase::All);
    const auto unread = refuseUnread();
    loop.after(AbortTime, [this, aborted, unread]() {
        log.write("edge", "stopped",
                  {{"streams_aborted", aborted},
                   {"unread_refused", unread},
                   {"requests_cut", callerServer->active()},
                   {"drained_ms", toMilliseconds(clock.now() - context.drainingSince)}});
        log.flush();
        loop.stop();
    });
}

auto EdgeNode::Parts::reload(bool requested) -> void
{
    if (!adapter.reload) {
        return;
    }
    const auto reloaded = adapter.reload();
    if (!reloaded) {
        log.write("edge", "settings_unreadable", {{"asked", requested}, {"error", describe(reloaded.error())}});
        return;
    }
    const bool changed = reloaded->drainLimit != settings.drainLimit || reloaded->retryBound.ratio != settings.retryBound.ratio
        || reloaded->retryBound.slack != settings.retryBound.slack || reloaded->retryBound.window != settings.retryBound.window;
    if (changed) {
        settings.drainLimit = reloaded->drainLimit;
        settings.retryBound = reloaded->retryBound;
        context.retryBudget.setBound(settings.retryBound);
    }
    settings.quotaTolerance = reloaded->quotaTolerance;
    settings.revocation = reloaded->revocation;
    context.tenantQuotas.setTolerance(settings.quotaTolerance);
    if (requested || changed) {
        log.write("edge", "settings_reloaded", {{"asked", requested}, {"changed", changed}});
    }
}

EdgeNode::EdgeNode(EdgeSettings settings, EdgeAdapter adapter, LogSink sink)
    : m_parts(std::make_unique<Parts>(std::move(settings), std::move(adapter), std::move(sink)))
{ }

EdgeNode::~EdgeNode() = default;

auto EdgeNode::start() -> Result<void>
{
    auto &parts = *m_parts;
    parts.log.write("edge", "started",
                    {{"build", buildName()},
                     {"protocol", ProtocolNumber},
                     {"place", parts.settings.place},
                     {"callers", parts.settings.callerAddress.text()},
                     {"readiness", parts.settings.readinessAddress.text()},
                     {"peers", parts.settings.peerAddress.text()},
                     {"store", parts.settings.storeAddress.text()},
                     {"descriptors", availableDescriptors(parts.settings.maxDescriptors)},
                     {"caller_connections", callerConnections(availableDescriptors(parts.settings.maxDescriptors))},
                     {"memory", parts.settings.memory},
                     {"memory_budget", parts.memory.bytes()},
                     {"bootstrap", parts.settings.bootstrap}});
    if (auto opened = parts.openServers(); !opened) {
        return opened;
    }
    if (auto opened = parts.exchange.start(); !opened) {
        return opened;
    }
    parts.updatePollWait();
    parts.context.tenantQuotas.setTolerance(parts.settings.quotaTolerance);
    parts.directory.start();
    parts.quarantine.start();
    parts.reach.start();
    parts.versionRecorder.start();
    parts.origins.start();
    parts.registry.start();
    parts.orderHolder.start();
    parts.roles.start();
    parts.settingsTimer->startRepeating(SettingsCheckPeriod, SettingsCheckPeriod);
    parts.flushTimer->startRepeating(DrainCheckPeriod, DrainCheckPeriod);
    parts.loop.onSignal(SIGTERM, [&parts]() { parts.drain(); });
    parts.loop.onSignal(SIGINT, [&parts]() { parts.drain(); });
    parts.loop.onSignal(SIGHUP, [&parts]() { parts.reload(true); });
    return {};
}

auto EdgeNode::run() -> void
{
    m_parts->loop.run();
}

} // namespace currantstack
