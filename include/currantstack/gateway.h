// The caller-facing HTTP server of a VM: runs the filter chain on each request and starts a relay for it.
#pragma once

#include "currantstack/announcer.h"
#include "currantstack/filters.h"
#include "currantstack/model_relay.h"
#include "currantstack/service_relay.h"

#include <map>

namespace currantstack
{

/// Serves callers. While draining it refuses new requests and lets in-flight ones finish.
class Gateway
{
public:
    static constexpr double MoveShare = 0.2; // moves of streams to other engines, as a share of completed requests

    Gateway(Context &context, Announcer &announcer, SlotService &slots, RequestCanceller &canceller, JournalService &journal);

    auto open() -> Result<void>;

    /// Stops accepting requests: `/readyz` fails, and new requests are refused with `"ran": "no"`.
    auto drain() -> void;

    auto inFlight() const -> std::size_t
    {
        return m_relays.size();
    }

    auto usage() const -> const MemberUsageTable &
    {
        return m_usage;
    }

    /// Applies the limits of the configuration in force.
    auto applyConfig() -> void;

private:
    auto refuseForMemory(const MemoryShortage &shortage) -> HttpResponse;
    auto handle(const ExchangePtr &exchange) -> void;
    auto handleAdmin(const ExchangePtr &exchange) -> bool;
    auto startRelay(CallerRequest request) -> void;
    auto admit(CallerRequest &request) -> Result<void>;
    auto checkQuarantine(CallerRequest &request) -> Result<void>;
    auto reportCrash(Fingerprint fingerprint, const std::string &upstream) -> void;
    auto recordCrash(Fingerprint fingerprint, const std::string &upstream) -> void;
    auto pollLoads() -> void;
    auto pollCacheEvents() -> void;

    Context &m_context;
    SlotService &m_slots;
    Quarantine m_quarantine;
    MemberUsageTable m_usage;
    RetryBudget m_retryBudget{0.1};
    RetryBudget m_moveBudget{MoveShare};
    PrefixMap m_prefixMap;
    ServiceUpstreamStats m_upstreamStats;
    std::map<std::string, ModelEstimate, std::less<>> m_estimates;
    std::map<std::string, double, std::less<>> m_reportedLoads; // requests per slot, by engine
    std::map<std::string, std::int64_t> m_cacheEventSequences; // sequence number of the last event read, by engine
    RelayParts m_parts;
    FilterChain m_chain;
    std::map<std::string, std::shared_ptr<Relay>> m_relays;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Timer> m_loadTimer;
    std::unique_ptr<Timer> m_cacheEventTimer;
    std::int64_t m_sequence = 0; // part of the next request id
    bool m_draining = false;
};

/// Splits "IP:port"; the port is 0 if the text has none.
auto splitAddress(std::string_view address) -> std::pair<std::string, std::uint16_t>;

} // namespace currantstack
