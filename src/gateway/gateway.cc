#include "currantstack/gateway.h"

#include "currantstack/descriptor_budget.h"
#include "currantstack/log.h"
#include "currantstack/rendezvous.h"

#include <charconv>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Log GatewayLog("gateway");
constexpr Duration LoadPollPeriod = milliseconds(500);
constexpr Duration CacheEventPollPeriod = seconds(2);
constexpr Duration MemoryRetryAfter = seconds(1); // requests with large bodies end within about this time
// A suspect runs only on engines without other suspects, so the second crash identifies it.
constexpr std::size_t CrashesUntilQuarantine = 2;
constexpr std::size_t MaxAnnouncedEntries = 32; // of the quarantine, per announcement

} // namespace

auto splitAddress(std::string_view address) -> std::pair<std::string, std::uint16_t>
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos) {
        const auto digits = address.substr(colon + 1);
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    }
    return {std::string(address.substr(0, colon)), port};
}

Gateway::Gateway(Context &context, Announcer &announcer, SlotService &slots, RequestCanceller &canceller, JournalService &journal)
    : m_context(context)
    , m_slots(slots)
    , m_parts{context,
              slots,
              canceller,
              journal,
              m_quarantine,
              m_usage,
              m_retryBudget,
              m_moveBudget,
              m_prefixMap,
              m_estimates,
              m_reportedLoads,
              [this](Fingerprint fingerprint, const std::string &upstream) { reportCrash(fingerprint, upstream); },
              [this](const std::string &id) { m_context.loop.defer([this, id]() { m_relays.erase(id); }); }}
    , m_loadTimer(context.loop.timer([this]() { pollLoads(); }))
    , m_cacheEventTimer(context.loop.timer([this]() { pollCacheEvents(); }))
{
    m_chain.add("authenticate", authenticate);
    m_chain.add("parse", [this](CallerRequest &request) { return parseCallerRequest(request, m_context.clock.now()); });
    m_chain.add("quarantine", [this](CallerRequest &request) { return checkQuarantine(request); });
    m_chain.add("admit", [this](CallerRequest &request) { return admit(request); });
    announcer.addSection(
        "quarantine",
        [this]() {
            auto list = Json::array();
            for (const auto &entry : m_quarantine.entries(m_context.clock.now())) {
                if (list.size() < MaxAnnouncedEntries) {
                    list.push_back(
                        {{"f", fingerprintText(entry.traits.front())}, {"ms", static_cast<std::int64_t>(toMilliseconds(entry.remaining))}});
                }
            }
            return list;
        },
        [this](const std::string &, const Json &section) {
            QuarantineReport report;
            ValidationErrors errors;
            for (const auto &value : section.is_array() ? section : Json::array()) {
                ObjectReader reader(value, "", errors);
                report.entries.push_back(
                    {{fingerprintFromText(reader.text("f"))}, milliseconds(reader.integer("ms", 0, 86400000)), {}, {}, {}});
            }
            if (errors.empty()) {
                m_quarantine.setLimits({CrashesUntilQuarantine, m_context.config->limits.quarantine});
                m_quarantine.merge(report, m_context.clock.now());
            }
        });
    context.router.on("/peer/death", [this](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
        recordCrash(fingerprintFromText(body.value("f", std::string())), body.value("upstream", std::string()));
        reply(Json::object());
    });
}

auto Gateway::open() -> Result<void>
{
    ServerOptions options;
    std::tie(options.address, options.port) = splitAddress(m_context.settings.callerAddress);
    options.maxBody = m_context.settings.maxBody;
    options.maxHead = m_context.settings.maxHead;
    options.idleTimeout = m_context.settings.idleTimeout;
    options.maxConnections = callerConnections(availableDescriptors());
    options.memory = &m_context.memory;
    options.onMemoryShortage = [this](const HttpRequest & /*request*/, const MemoryShortage &shortage) {
        return refuseForMemory(shortage);
    };
    auto server = HttpServer::open(m_context.loop, options, [this](const ExchangePtr &exchange) { handle(exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_server = std::move(*server);
    m_context.client.onMemoryShortage([this](std::size_t bytes) { m_server->freeMemory(bytes); });
    if (m_context.settings.policy != PolicyKind::Ledger) {
        m_loadTimer->startRepeating(LoadPollPeriod, LoadPollPeriod);
    }
    m_cacheEventTimer->startRepeating(CacheEventPollPeriod, CacheEventPollPeriod);
    GatewayLog.info("Listening for callers on {}", m_context.settings.callerAddress);
    return {};
}

auto Gateway::refuseForMemory(const MemoryShortage &shortage) -> HttpResponse
{
    m_context.counters.at("requests_refused").add();
    m_context.counters.at(fmt::format("requests_refused_for_memory{{use=\"{}\"}}", name(shortage.use))).add();
    return problemResponse({ErrorCode::Overloaded, "admit", "", "this VM has no memory for the request"}, Executed::No, MemoryRetryAfter,
                           "");
}

auto Gateway::drain() -> void
{
    m_draining = true;
}

auto Gateway::applyConfig() -> void
{
    m_retryBudget.setShare(m_context.config->limits.retryShare);
}

auto Gateway::handleAdmin(const ExchangePtr &exchange) -> bool
{
    const auto &path = exchange->request().path;
    if (path == "/healthz") {
        exchange->respond(jsonResponse(200, R"({"alive":true})"));
    } else if (path == "/readyz") {
        const bool ready = !m_draining && m_context.config->revision > 0;
        exchange->respond(jsonResponse(ready ? 200 : 503,
                                       dumpJson({{"ready", ready}, {"draining", m_draining}, {"revision", m_context.config->revision}})));
    } else if (path == "/counters") {
        m_context.counters.at("requests_in_flight").set(static_cast<std::int64_t>(m_relays.size()));
        exchange->respond(jsonResponse(200, m_context.counters.dump()));
    } else {
        return false;
    }
    return true;
}

auto Gateway::handle(const ExchangePtr &exchange) -> void
{
    if (handleAdmin(exchange)) {
        return;
    }
    CallerRequest request;
    request.exchange = exchange;
    request.config = m_context.config;
    request.received = m_context.clock.now();
    request.id = fmt::format("{}.{}.{}", m_context.settings.name, m_context.membership.self().startedAtMs, m_sequence++);
    m_context.counters.at("requests_taken").add();
    m_context.timeline.add(EventKind::RequestAccepted, request.id, "");
    auto checked = m_draining ? Result<void>(fail(ErrorCode::Unavailable, "drain", "", "this VM is draining; retry at another VM"))
                              : m_chain.run(request);
    if (!checked) {
        m_context.counters.at("requests_refused").add();
        m_context.timeline.add(EventKind::RequestRefused, request.id, checked.error().peer, checked.error().message);
        if (request.member != nullptr) {
            ++m_usage.forMember(request.member->name).refused;
        }
        const bool retryable = checked.error().code == ErrorCode::Overloaded || checked.error().code == ErrorCode::Unavailable;
        return exchange->respond(
            problemResponse(checked.error(), Executed::No, retryable ? Duration(seconds(1)) : Duration::zero(), request.id));
    }
    startRelay(std::move(request));
}

auto Gateway::startRelay(CallerRequest request) -> void
{
    const auto id = request.id;
    std::shared_ptr<Relay> relay;
    if (request.kind == RequestKind::Service) {
        relay = std::make_shared<ServiceRelay>(m_parts, m_upstreamStats, std::move(request));
    } else {
        relay = std::make_shared<ModelRelay>(m_parts, std::move(request));
    }
    m_relays[id] = relay;
    relay->start();
}

auto Gateway::checkQuarantine(CallerRequest &request) -> Result<void>
{
    const auto now = m_context.clock.now();
    if (m_quarantine.find({&request.fingerprint, 1}, now)) {
        m_context.counters.at("requests_quarantined").add();
        return fail(ErrorCode::Quarantined, "quarantine", "",
                    "identical requests crashed the upstreams that ran them; the request is quarantined");
    }
    request.suspect = m_quarantine.isSuspect({&request.fingerprint, 1}, now);
    return {};
}

auto Gateway::admit(CallerRequest &request) -> Result<void>
{
    if (request.kind == RequestKind::Service || m_context.settings.policy != PolicyKind::Ledger) {
        return {};
    }
    auto &estimate = m_estimates[request.completion.model];
    const auto tokens = estimate.estimateTokens(request.completion.prompt.size());
    const double prefillMs = estimate.prefillMs(tokens);
    const auto decodeWait = m_slots.shortestWait(request.config->poolOf(request.completion.model, Role::Decode), Role::Decode, 0);
    const auto prefillWait =
        m_slots.shortestWait(request.config->poolOf(request.completion.model, Role::Prefill), Role::Prefill, prefillMs);
    if (decodeWait == Duration::max() || prefillWait == Duration::max()) {
        return fail(ErrorCode::Unavailable, "admit", request.completion.model, "no engine of the model accepts work");
    }
    const auto expected = decodeWait + prefillWait + fromMilliseconds(prefillMs + estimate.decodeStartMs(tokens));
    // The owners' queues serve prioritized requests and members below their fair share first, so the queue length in this estimate
    // does not apply to them.
    const bool hasPrecedence = request.priority > 0 || isBelowFairShare(m_usage, *request.config, request.member->name);
    if (!hasPrecedence && m_context.clock.now() + expected > request.deadline) {
        m_context.counters.at("requests_not_admitted").add();
        return fail(ErrorCode::Overloaded, "admit", request.completion.model,
                    fmt::format("the first token is expected in {:.0f} ms, after the deadline", toMilliseconds(expected)));
    }
    return {};
}

auto Gateway::reportCrash(Fingerprint fingerprint, const std::string &upstream) -> void
{
    // One VM, chosen by the fingerprint, counts the crashes that different VMs observe.
    const auto live = m_context.membership.live();
    const auto owner = std::string(rendezvousOwner(live, fingerprintText(fingerprint)));
    recordCrash(fingerprint, upstream);
    if (!m_context.isSelf(owner)) {
        m_context.peers.call(m_context.addressOf(owner), "/peer/death", {{"f", fingerprintText(fingerprint)}, {"upstream", upstream}},
                             m_context.config->timeouts.peer, [](const Result<Json> &) {});
    }
}

auto Gateway::recordCrash(Fingerprint fingerprint, const std::string &upstream) -> void
{
    const auto now = m_context.clock.now();
    const bool wasQuarantined = m_quarantine.find({&fingerprint, 1}, now).has_value();
    m_quarantine.setLimits({CrashesUntilQuarantine, m_context.config->limits.quarantine});
    m_quarantine.recordCrash({upstream, m_context.settings.name, now, {{fingerprint}}}, now);
    if (!wasQuarantined && m_quarantine.find({&fingerprint, 1}, now)) {
        m_context.timeline.add(EventKind::Quarantined, fingerprintText(fingerprint), upstream, "two upstreams crashed while running it");
        m_context.counters.at("fingerprints_quarantined").add();
    }
}

auto Gateway::pollLoads() -> void
{
    for (const auto &engine : m_context.config->engines) {
        HttpCall call;
        call.url = urlOf(engine.address, "/v1/load");
        call.totalTimeout = seconds(1);
        HttpHandlers handlers;
        handlers.onDone = [this, name = engine.name](const Result<HttpResponse> &response) {
            const auto body = response ? parseJson(response->body, "load") : Result<Json>(tl::unexpected(response.error()));
            const auto report = body ? loadReportFromJson(*body) : Result<LoadReport>(tl::unexpected(body.error()));
            if (report && report->slots > 0) {
                m_reportedLoads[name] = static_cast<double>(report->running + report->waiting) / static_cast<double>(report->slots);
            }
        };
        m_context.client.start(std::move(call), std::move(handlers));
    }
}

auto Gateway::pollCacheEvents() -> void
{
    m_quarantine.expire(m_context.clock.now());
    for (const auto &name : m_slots.ledger().ownedEngines()) {
        const auto *engine = m_context.config->findEngine(name);
        if (engine == nullptr || engine->role != Role::Prefill) {
            continue;
        }
        HttpCall call;
        call.url = urlOf(engine->address, fmt::format("/v1/cache-events?after={}", m_cacheEventSequences[name]));
        call.totalTimeout = seconds(1);
        HttpHandlers handlers;
        handlers.onDone = [this, name](const Result<HttpResponse> &response) {
            const auto body = response ? parseJson(response->body, "cache events") : Result<Json>(tl::unexpected(response.error()));
            if (!body || !body->is_object()) {
                return;
            }
            ValidationErrors errors;
            ObjectReader reader(*body, "", errors);
            for (auto &event : reader.objects("events")) {
                m_cacheEventSequences[name] = std::max(m_cacheEventSequences[name], event.integer("sequence", 0, 1LL << 53));
                m_prefixMap.insertHash(fingerprintFromText(event.text("prefix_hash")), name);
            }
        };
        m_context.client.start(std::move(call), std::move(handlers));
    }
}

} // namespace currantstack
