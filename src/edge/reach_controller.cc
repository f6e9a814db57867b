#include "currantstack/edge/reach_controller.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/memory_refusal.h"
#include "currantstack/edge/notice_observer.h"
#include "currantstack/edge/upstream_links.h"

namespace currantstack
{

namespace
{

constexpr Duration ProbeTimeout = milliseconds(900); // of the whole probe; a plain upstream may answer only when a slot is free

auto name(ReachController::ProbePurpose purpose) -> std::string_view
{
    switch (purpose) {
    case ReachController::ProbePurpose::Notice:
        return "notice";
    case ReachController::ProbePurpose::Silence:
        return "silence";
    case ReachController::ProbePurpose::Links:
        break;
    }
    return "links";
}

} // namespace

ReachController::ReachController(EdgeContext &context, LoadExchange &exchange)
    : m_context(context)
    , m_exchange(exchange)
    , m_timer(context.loop.timer([this]() { check(); }))
{
    context.relayHooks.candidates = [&context, &exchange](std::string_view service) {
        auto candidates = exchange.relayCandidates(service);
        for (auto &candidate : candidates) {
            const auto found = context.relayedInFlight.find(candidate.vm);
            candidate.inFlight = found == context.relayedInFlight.end() ? 0 : found->second;
        }
        return candidates;
    };
    context.mayHaveWitnesses = [&exchange]() { return exchange.mayHaveWitnesses(); };
    exchange.setEndNoticeHandler([this](const ExclusionNotice &notice, bool isWitness) { onEndNotice(notice, isWitness); });
    context.relayHooks.onConnectionRefused = [&exchange](std::string_view vm) { exchange.onRelayConnectionRefused(vm); };
}

auto ReachController::start() -> void
{
    m_timer->startOnce(LongestPeriod);
}

auto ReachController::check() -> void
{
    std::uniform_real_distribution<double> periodMs(toMilliseconds(ShortestPeriod), toMilliseconds(LongestPeriod));
    m_timer->startOnce(fromMilliseconds(periodMs(m_context.random)));
    forgetOldCuts(m_context);
    if (!m_context.routeTable) {
        return;
    }
    probeSuspects();
    for (const auto &service : m_context.routeTable->services) {
        for (const auto role : {EngineRole::None, EngineRole::Decode, EngineRole::Prefill}) {
            if (m_context.reach.isCutOff(service.name, role)) {
                probeAny(service, [role](const Upstream &upstream) { return upstream.role == role; });
            } else {
                probeSilent(service, role);
            }
        }
    }
    if (const auto *upstream = m_context.reach.nextDoubtful(); upstream != nullptr && mayGetRequest(m_context, *upstream)) {
        const auto *service = m_context.routeTable->service(upstream->service);
        probe(Upstream(*upstream), service == nullptr ? "" : service->healthPath, ProbePurpose::Links);
    }
    const auto now = m_context.clock.now();
    for (const auto &name : m_context.reach.unprovedServices()) {
        if (const auto *service = m_context.routeTable->service(name)) {
            probeAny(*service, [this, now](const Upstream &upstream) { return !m_context.reach.isUnreached(upstream.id, now); });
        }
    }
}

auto ReachController::probeAny(const ServiceSpec &service, const std::function<bool(const Upstream &upstream)> &isEligible) -> void
{
    auto upstreams = m_context.directory.usable(service.name);
    std::erase_if(upstreams, [this, &isEligible](const auto *upstream) {
        return !isEligible(*upstream) || m_context.notices.pauseLeft(*upstream, m_context.clock.now()) > Duration::zero();
    });
    if (const auto *upstream = m_context.reach.nextProbe(upstreams)) {
        probe(*upstream, service.healthPath, ProbePurpose::Links);
    }
}

/// Probes an upstream that accepts connections without answering, so that its back-off ends when it answers again.
auto ReachController::probeSilent(const ServiceSpec &service, EngineRole role) -> void
{
    const auto now = m_context.clock.now();
    auto upstreams = m_context.directory.usable(service.name);
    std::erase_if(upstreams, [role](const auto *upstream) { return upstream->role != role; });
    if (const auto *upstream = m_context.reach.nextLate(upstreams, now); upstream != nullptr && mayGetRequest(m_context, *upstream)) {
        probe(*upstream, service.healthPath, ProbePurpose::Links);
    }
}

/// Probes the upstreams that streams wait for in vain, and those that have left calls unanswered.
auto ReachController::probeSuspects() -> void
{
    const auto now = m_context.clock.now();
    for (const auto &upstream : m_context.silence.takeDueProbes(now)) {
        if (m_context.notices.pauseLeft(upstream, now) == Duration::zero()) {
            probe(upstream, "", ProbePurpose::Silence);
        }
    }
}

auto ReachController::onEndNotice(const ExclusionNotice &notice, bool isWitness) -> void
{
    if (notice.reason == ExclusionReason::Silent) {
        onSilent(notice, isWitness);
    } else {
        onOutdated(notice, isWitness);
    }
}

/// Avoids an upstream that another VM finds silent, unless this VM has heard it since. Some of the VMs probe it as well.
auto ReachController::onSilent(const ExclusionNotice &notice, bool isWitness) -> void
{
    const auto now = m_context.clock.now();
    const auto issuedAt = now - std::max<Duration>(Duration::zero(), UpstreamSilence::SuspicionLifetime - notice.remaining);
    if (m_context.silence.hasHeard(notice.upstream, issuedAt)) {
        return;
    }
    m_context.exclusions.merge(notice, now);
    if (isWitness) {
        m_context.silence.onWitness(notice.upstream, now);
    }
    const auto *upstream = m_context.directory.find(notice.upstream);
    if (upstream != nullptr && !m_context.draining && m_exchange.isHolder(hash64(notice.upstream), SilenceWitnesses)) {
        m_context.silence.onAwaited(*upstream, now - UpstreamSilence::ProbeAfter, now);
    }
}

auto ReachController::onOutdated(const ExclusionNotice &notice, bool isWitness) -> void
{
    const auto now = m_context.clock.now();
    const auto issuedAt = EndEvidence::issuedAt(notice, now);
    const auto &reach = m_context.reach;
    const EndEvidence::Contact contact{
        reach.hasReached(notice.upstream, issuedAt), reach.hasReached(notice.upstream, now - EndEvidence::RecentContact),
        reach.isUnreached(notice.upstream, now) || m_context.exclusions.hasObservedOutdated(notice.upstream, now)};
    if (isWitness && !contact.sinceNotice) {
        recordWitness(m_context, notice.upstream);
    }
    const auto use = m_context.endEvidence.onNotice(notice, contact, now);
    if (use == NoticeUse::Exclude || use == NoticeUse::ExcludeAndVerify) {
        m_context.exclusions.merge(notice, now);
    }
    if (use == NoticeUse::Verify || use == NoticeUse::ExcludeAndVerify) {
        std::uniform_real_distribution<double> delayMs(toMilliseconds(ShortestVerificationDelay), toMilliseconds(LongestVerificationDelay));
        m_context.loop.after(fromMilliseconds(delayMs(m_context.random)),
                             [this, id = notice.upstream, issuedAt]() { verify(id, issuedAt); });
    }
}

auto ReachController::verify(const std::string &id, TimePoint issuedAt) -> void
{
    const auto now = m_context.clock.now();
    const auto *upstream = m_context.directory.find(id);
    const auto *service = upstream == nullptr || !m_context.routeTable ? nullptr : m_context.routeTable->service(upstream->service);
    const bool isReached = m_context.reach.hasReached(id, issuedAt);
    if (isReached) {
        m_context.exclusions.onCurrent(id, now);
    }
    if (isReached || service == nullptr || m_context.draining || !mayGetRequest(m_context, *upstream)
        || m_context.exclusions.hasObservedOutdated(id, now)) {
        m_context.endEvidence.onVerified(id, now);
        return;
    }
    probe(*upstream, service->healthPath, ProbePurpose::Notice);
}

auto ReachController::probe(const Upstream &upstream, std::string_view healthPath, ProbePurpose purpose) -> void
{
    m_context.reach.onProbe(upstream, m_context.clock.now());
    auto call = m_context.protocol.probeCall(upstream, healthPath);
    call.connectTimeout = ConnectTimeout;
    call.totalTimeout = ProbeTimeout;
    HttpHandlers handlers;
    handlers.onDone = [this, upstream, purpose, openedAt = m_context.clock.now()](const Result<HttpResponse> &result) {
        m_context.counters.at("link_probes").add();
        m_context.log.write("links", "upstream_probed",
                            {{"upstream", upstream.id},
                             {"service", upstream.service},
                             {"purpose", name(purpose)},
                             {"result", result ? fmt::format("status {}", result->status) : describe(result.error())}});
        if (purpose == ProbePurpose::Notice) {
            m_context.endEvidence.onVerified(upstream.id, m_context.clock.now());
        }
        if (!result) {
            // An upstream that is merely late says nothing about the notice, nor about this VM's links.
            const auto record = purpose == ProbePurpose::Notice ? &recordFailedLink : &recordFailedCall;
            record(m_context, upstream, result.error(), openedAt);
            return;
        }
        m_context.exclusions.onAccepted(upstream.id);
        recordReached(m_context, upstream, openedAt);
        if (m_context.protocol.responderOf(*result, upstream) == Responder::Other) {
            m_context.reach.onOtherAnswered(upstream, m_context.clock.now());
            recordEnd(m_context, upstream);
        } else {
            m_context.exclusions.onCurrent(upstream.id, m_context.clock.now());
            observeNotices(m_context, upstream, result);
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

RelayEntrance::RelayEntrance(EdgeContext &context, const LoadExchange &exchange, Handler handler)
    : m_context(context)
    , m_exchange(exchange)
    , m_handler(std::move(handler))
{ }

auto RelayEntrance::start(std::size_t maxBody) -> Result<void>
{
    ServerOptions options;
    options.address = m_context.settings.peerAddress.ip;
    options.port = m_context.settings.peerAddress.port;
    options.maxBody = maxBody;
    options.maxConnections = MaxConnections;
    options.strictFraming = true;
    options.memory = &m_context.memory;
    options.onMemoryShortage = [this](const HttpRequest &request, const MemoryShortage &shortage) {
        return refuseForMemory(m_context, request, shortage, true);
    };
    auto opened = HttpServer::open(m_context.loop, options, [this](const ExchangePtr &exchange) { onRequest(exchange); });
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    m_server = std::move(*opened);
    m_context.takesRelays = true;
    return {};
}

auto RelayEntrance::onRequest(const ExchangePtr &exchange) -> void
{
    const auto from = exchange->callerIp();
    auto info = decodeRelay(exchange->takeHeader(RelayHeader));
    std::string_view reason;
    if (!m_exchange.isPeer(from)) {
        reason = "the sender is not known as a VM";
    } else if (!info) {
        reason = "the request has no valid state of its first VM";
    } else if (m_context.draining) {
        reason = "this VM is stopping";
    } else if (m_server->active() > MaxRequests) {
        reason = "this VM forwards too many requests for others";
    }
    if (!reason.empty()) {
        m_context.counters.at("relays_refused").add();
        m_context.log.write("relay", "relay_refused",
                            {{"from", from}, {"first_vm", info ? info->vm.substr(0, 100) : ""}, {"reason", reason}});
        exchange->respond(relayRefusal(m_context, reason));
        return;
    }
    m_context.counters.at("relays_taken").add();
    m_handler(exchange, std::move(*info));
}

auto relayRefusal(const EdgeContext &context, std::string_view reason) -> HttpResponse
{
    auto response = context.protocol.refusal(Duration::zero(), reason);
    response.headers.push_back({std::string(RelayRefusedHeader), "1"});
    return response;
}

} // namespace currantstack
