#include "currantstack/node.h"

#include "currantstack/build_info.h"
#include "currantstack/log.h"

#include <random>

namespace currantstack
{

namespace
{

constexpr Log NodeLog("node");
constexpr Duration StoreTimeout = seconds(1);
constexpr Duration WatchIdleTimeout = seconds(10);
constexpr Duration DrainCheckPeriod = milliseconds(50);
constexpr Duration BalancerDetectionTime = milliseconds(1500); // until the load balancer has seen /readyz fail

auto makeSelf(const Settings &settings, const Clock &clock) -> Vm
{
    Vm self;
    self.name = settings.name;
    self.address = settings.peerAddress;
    self.place = settings.place;
    self.region = settings.region;
    self.startedAtMs = epochMilliseconds(clock.wall());
    self.incarnation = self.startedAtMs;
    return self;
}

} // namespace

struct Node::Parts
{
    explicit Parts(Settings initialSettings);

    Settings settings;
    MemoryBudget memory; // outlives all that holds grants
    SystemClock clock;
    Loop loop;
    Random random{std::random_device{}()};
    Counters counters;
    Timeline timeline;
    HttpClient client;
    Membership membership;
    PeerAuth auth;
    PeerClient peers;
    PeerRouter router;
    EtcdStore store;
    Context context;
    Announcer announcer;
    RequestCanceller canceller;
    SlotService slots;
    ConfigService config;
    JournalService journal;
    OrderService orders;
    Gateway gateway;
    OperatorApi operators;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<Timer> drainTimer;
    TimePoint drainStartedAt;
    bool draining = false;

    auto beginDrain() -> void;
    auto pollDrain() -> void;
};

Node::Parts::Parts(Settings initialSettings)
    : settings(std::move(initialSettings))
    , memory(MemoryBudget::budgetOf(settings.memory))
    , timeline(clock, settings.name, settings.timelineEvents)
    , client(loop, &memory)
    , membership(makeSelf(settings, clock), settings.suspectAfter, settings.deadAfter)
    , auth(settings.peerSecret, settings.name, clock)
    , peers(client, auth, timeline, counters)
    , router(auth, timeline, counters)
    , store(client, counters, settings.storeAddresses, StoreTimeout, WatchIdleTimeout)
    , context{loop, clock, random, settings, client, memory, peers, router, store, counters, timeline, membership}
    , announcer(context)
    , canceller(context)
    , slots(context, announcer, canceller)
    , config(context, announcer)
    , journal(context)
    , orders(context)
    , gateway(context, announcer, slots, canceller, journal)
    , operators(context, config, gateway, slots, orders, [this]() { beginDrain(); })
    , drainTimer(loop.timer([this]() { pollDrain(); }))
{
    config.onChange([this]() {
        slots.updateOwnedEngines();
        gateway.applyConfig();
    });
    announcer.onChange([this]() {
        slots.updateOwnedEngines();
        config.updateWatch();
    });
    announcer.onReincarnated([this]() {
        slots.onOwnershipLost();
        orders.onOwnershipLost();
    });
}

auto Node::Parts::beginDrain() -> void
{
    if (std::exchange(draining, true)) {
        return;
    }
    NodeLog.info("Draining with {} requests in flight", gateway.inFlight());
    drainStartedAt = clock.now();
    gateway.drain();
    membership.startDraining();
    announcer.announceToAll();
    slots.updateOwnedEngines();
    drainTimer->startRepeating(DrainCheckPeriod, DrainCheckPeriod);
}

auto Node::Parts::pollDrain() -> void
{
    const auto passed = clock.now() - drainStartedAt;
    const bool done = gateway.inFlight() == 0 && canceller.pending() == 0 && passed >= BalancerDetectionTime;
    if (done || passed > context.config->timeouts.drain) {
        NodeLog.info("Drained after {:.1f} s with {} requests still in flight", toSeconds(passed), gateway.inFlight());
        loop.stop();
    }
}

Node::Node(Settings settings)
    : m_parts(std::make_unique<Parts>(std::move(settings)))
{ }

Node::~Node() = default;

auto Node::start() -> Result<void>
{
    ServerOptions options;
    std::tie(options.address, options.port) = splitAddress(m_parts->settings.peerListenAddress);
    options.maxBody = m_parts->settings.maxBody;
    options.memory = &m_parts->memory;
    auto server = HttpServer::open(m_parts->loop, options, [this](const ExchangePtr &exchange) {
        if (!m_parts->router.dispatch(exchange) && !m_parts->operators.dispatch(exchange)) {
            exchange->respond(jsonResponse(404, R"({"title":"no such path","status":404})"));
        }
    });
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_parts->peerServer = std::move(*server);
    if (auto opened = m_parts->gateway.open(); !opened) {
        return opened;
    }
    m_parts->loop.onSignal(SIGTERM, [this]() { drain(); });
    m_parts->loop.onSignal(SIGINT, [this]() { drain(); });
    m_parts->announcer.start();
    m_parts->config.start();
    m_parts->slots.start();
    NodeLog.info("VM {} started, build {}", m_parts->settings.name, buildName());
    return {};
}

auto Node::run() -> void
{
    m_parts->loop.run();
}

auto Node::drain() -> void
{
    m_parts->beginDrain();
}

} // namespace currantstack
