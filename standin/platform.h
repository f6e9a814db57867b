// Stand-in for the platform: key-value service, delayed list of VMs and weight store, with injected faults.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/http_server.h"
#include "currantstack/json.h"
#include "kv_store.h"

#include <deque>
#include <list>
#include <pcg_random.hpp>

namespace standin
{

struct PlatformSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    double listLagMs = 2000; // delay until a change is visible in the VM list
    double writesPerSecond = 400;
    double readsPerSecond = 2000;
    double weightLoadsPerMinute = 30;
};

/// Faults that a test can switch on; all are off by default.
struct PlatformFaults
{
    bool down = false; // every call is answered with 503 and watches end
    bool silent = false; // calls are accepted and never answered
    double slowMs = 0; // delay of each reply
    double lostReplyShare = 0; // share of writes that take effect but whose reply is lost
};

/// Serves etcd's JSON gateway protocol under /v3, the VM list and the weights under /platform, and the control interface under /standin.
class Platform
{
public:
    Platform(Loop &loop, PlatformSettings settings, std::uint64_t seed);

    auto open() -> Result<void>;

private:
    struct Watch
    {
        ExchangePtr exchange;
        std::string key;
        std::string end;
    };

    struct ListedVm
    {
        std::string name;
        std::string address;
        std::string state; // "live", "leaving" or "gone"
        TimePoint visibleAt;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto dispatch(const ExchangePtr &exchange) -> void;
    auto reply(const ExchangePtr &exchange, const Json &body, bool isWrite) -> void;
    auto handleWatch(const ExchangePtr &exchange, const Json &body) -> void;
    auto handleTransaction(const ExchangePtr &exchange, const Json &body) -> void;
    auto handleLease(const ExchangePtr &exchange, const Json &body, std::string_view path) -> void;
    auto handleFaults(const ExchangePtr &exchange) -> void;
    auto handleVms(const ExchangePtr &exchange) -> void;
    auto handleWeights(const ExchangePtr &exchange) -> void;
    /// Returns whether the rate limit allows the call, and counts it.
    auto tryAcquire(bool isWrite) -> bool;
    /// Sends the changes since the last call to the watches.
    auto notifyWatches() -> void;
    auto tick() -> void;

    Loop &m_loop;
    SystemClock m_clock;
    PlatformSettings m_settings;
    PlatformFaults m_faults;
    pcg32 m_random;
    KvStore m_store;
    Counters m_counters;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Timer> m_tickTimer;
    std::list<Watch> m_watches;
    std::vector<ExchangePtr> m_unanswered; // calls that arrived while silent
    std::deque<ListedVm> m_vms;
    std::int64_t m_notifiedRevision = 0;
    double m_writeTokens = 0; // of the rate limits' token buckets
    double m_readTokens = 0;
    double m_weightTokens = 1;
    TimePoint m_lastRefill;
};

} // namespace standin
