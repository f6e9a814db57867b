// Probes the upstreams that this VM cannot reach, and takes requests from VMs that cannot reach theirs.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/load_exchange.h"

namespace currantstack
{

/// Probes upstreams while this VM is cut off from them or several are silent, others of a service whose upstreams refuse connections,
/// those that another VM reports to have ended, and those that may be gone without a word.
class ReachController
{
public:
    static constexpr Duration ShortestPeriod = milliseconds(200); // between probes; drawn at random, which spreads the VMs' returns
    static constexpr Duration LongestPeriod = milliseconds(400);

    static constexpr Duration ShortestVerificationDelay = milliseconds(50); // drawn at random, which spreads the probes of all VMs
    static constexpr Duration LongestVerificationDelay = milliseconds(300);

    /// VMs that probe an upstream of which another VM says that it is silent, among those that hear one another.
    static constexpr std::size_t SilenceWitnesses = 3;

    ReachController(EdgeContext &context, LoadExchange &exchange);

    enum class ProbePurpose
    {
        Links, // of this VM
        Notice, // of another VM
        Silence, // of the upstream
    };

    auto start() -> void;

private:
    auto check() -> void;
    auto probeAny(const ServiceSpec &service, const std::function<bool(const Upstream &upstream)> &isEligible) -> void;
    auto probeSilent(const ServiceSpec &service, EngineRole role) -> void;
    auto probeSuspects() -> void;
    auto onEndNotice(const ExclusionNotice &notice, bool isWitness) -> void;
    auto onOutdated(const ExclusionNotice &notice, bool isWitness) -> void;
    auto onSilent(const ExclusionNotice &notice, bool isWitness) -> void;
    auto verify(const std::string &id, TimePoint issuedAt) -> void;
    auto probe(const Upstream &upstream, std::string_view healthPath, ProbePurpose purpose) -> void;

    EdgeContext &m_context;
    LoadExchange &m_exchange;
    std::unique_ptr<Timer> m_timer;
};

/// Receives the requests that other VMs cannot send to upstreams. `handle` forwards one as if its caller had sent it to this VM.
class RelayEntrance
{
public:
    using Handler = std::function<void(const ExchangePtr &exchange, RelayInfo info)>;

    static constexpr unsigned MaxConnections = 1000;
    static constexpr std::size_t MaxRequests = 500; // under way for other VMs

    RelayEntrance(EdgeContext &context, const LoadExchange &exchange, Handler handler);

    /// Listens on the address of this VM that other VMs send their datagrams to.
    auto start(std::size_t maxBody) -> Result<void>;

    /// Returns the number of requests under way for other VMs.
    auto active() const -> std::size_t
    {
        return m_server ? m_server->active() : 0;
    }

private:
    auto onRequest(const ExchangePtr &exchange) -> void;

    EdgeContext &m_context;
    const LoadExchange &m_exchange;
    Handler m_handler;
    std::unique_ptr<HttpServer> m_server;
};

/// Returns a refusal of a request from another VM, which then asks a third one.
auto relayRefusal(const EdgeContext &context, std::string_view reason) -> HttpResponse;

} // namespace currantstack
