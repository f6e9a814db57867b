// Stand-in for one model engine: continuous batching, a prefix cache, KV export and import over a limited link, and injected faults.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/engine_api.h"
#include "currantstack/http_client.h"
#include "currantstack/http_server.h"
#include "prefix_cache.h"

#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>

namespace standin
{

using namespace currantstack;

/// Address, role and speed of one engine.
struct EngineSettings
{
    std::string name;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string role = "decode"; // "prefill" or "decode"
    std::string model = "model";
    int slots = 20;
    double prefillOverheadMs = 4;
    double prefillMicrosPerToken = 30;
    double stepBaseMs = 8; // duration of a decode step without requests
    double stepPerRequestMs = 0.5; // added for each request in the batch
    double linkBytesPerSecond = 10e9;
    double kvBytesPerToken = 131072;
    double kvExpiryMs = 900; // how long an export is held for the decode engine
    double reportLagMs = 500; // age of the load reports that are served
    double eventLagMs = 300; // delay until a cache event is visible
    double eventLossShare = 0.05; // of cache events
    double lingerMs = 10000; // how long a request keeps running after its connection broke
    double restartMs = 1500; // downtime after a crash
    std::size_t cacheBlocks = 20000;
    bool checksFencing = true; // whether orders with a stale fencing token are refused
    std::string senderToken; // if not empty, orders must carry it
};

/// One engine, which listens on its own address.
class Engine
{
public:
    Engine(Loop &loop, HttpClient &client, EngineSettings settings, std::uint64_t seed);
    ~Engine();

    auto open() -> Result<void>;

private:
    struct Job
    {
        CompletionRequest request;
        std::uint64_t promptHash = 0;
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t nextToken = 0; // index
        std::string phase = "waiting"; // then "prefill" and "exportable", or "transfer" and "decode"
        TimePoint arrived;
        TimePoint disconnectedAt; // when the connection broke; zero while it is open
        ExchangePtr exchange;
        HttpClient::CallId importCall = 0;
        bool silenced = false; // the connection stays open, but gets no more data
    };
    using JobPtr = std::shared_ptr<Job>;

    /// A prompt's KV cache that waits for its decode engine.
    struct Export
    {
        std::string requestId;
        std::int64_t tokens = 0; // that the prefill computed
        TimePoint expires;
        bool transferring = false;
    };

    /// Reports that the prefix cache holds a prompt's first block.
    struct CacheEvent
    {
        std::int64_t sequence = 0;
        std::uint64_t prefixHash = 0;
        TimePoint visibleAt;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto handleCompletion(const ExchangePtr &exchange, bool chat) -> void;
    auto handleExport(const ExchangePtr &exchange) -> void;
    auto handleCancel(const ExchangePtr &exchange) -> void;
    auto handleOrder(const ExchangePtr &exchange) -> void;
    auto handleFault(const ExchangePtr &exchange) -> void;
    auto handleResume(const ExchangePtr &exchange) -> void;
    auto handleRunningRequests(const ExchangePtr &exchange) -> void;
    auto handleLoad(const ExchangePtr &exchange) -> void;
    auto handleCacheEvents(const ExchangePtr &exchange) -> void;

    auto startPrefills() -> void;
    auto finishPrefill(const JobPtr &job) -> void;
    auto startImports() -> void;
    auto joinBatch(const JobPtr &job) -> void;
    auto scheduleStep() -> void;
    auto step() -> void;
    /// Generates the next token; returns whether it was the last.
    auto emitToken(const JobPtr &job) -> bool;
    auto dropJob(const JobPtr &job) -> void;
    auto popHighestPriority() -> JobPtr;
    auto occupiedSlots() const -> int;
    auto slowFactor() const -> double;
    auto tick() -> void;
    auto crash() -> void;
    auto respondError(const ExchangePtr &exchange, int status, std::string_view message) -> void;

    Loop &m_loop;
    HttpClient &m_client;
    SystemClock m_clock;
    EngineSettings m_settings;
    pcg32 m_random;
    std::unique_ptr<HttpServer> m_server;
    PrefixCache m_cache;
    std::map<std::string, JobPtr> m_jobs; // by request id
    std::vector<JobPtr> m_waiting;
    std::vector<JobPtr> m_batch;
    std::map<std::string, Export> m_exports; // by handle
    std::map<std::string, TimePoint> m_cancelled; // request id to the end of retention
    std::deque<CacheEvent> m_cacheEvents;
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // false for callbacks from before a crash
    JobPtr m_prefillJob;
    std::unique_ptr<Timer> m_stepTimer;
    std::unique_ptr<Timer> m_tickTimer;
    TimePoint m_lastStep;
    TimePoint m_linkFreeAt;
    TimePoint m_slowUntil;
    TimePoint m_stallUntil;
    double m_slowdown = 1; // until m_slowUntil
    bool m_stepScheduled = false;
    std::int64_t m_highestFencingToken = 0;
    std::int64_t m_nextEventSequence = 1;
    std::int64_t m_nextHandle = 1;
    Counters m_counters;
};

/// Returns the text of the token at the index, which depends only on the prompt and the index.
auto tokenText(std::uint64_t promptHash, std::int64_t index) -> std::string;

} // namespace standin
