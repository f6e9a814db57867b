// A stand-in for one model engine: continuous batching, prefix cache, KV export and import over a limited link, and injected faults.
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

/// What one engine is and how fast it works.
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
    double stepBaseMs = 8;
    double stepPerRequestMs = 0.5;
    double linkBytesPerSecond = 10e9;
    double kvBytesPerToken = 131072;
    double kvExpiryMs = 900;
    double reportLagMs = 500;
    double eventLagMs = 300;
    double eventLossShare = 0.05;
    double lingerMs = 10000; // how long a request runs on after its connection broke
    double restartMs = 1500; // how long the engine is away after a crash
    std::size_t cacheBlocks = 20000;
    bool checksFencing = true;
    std::string senderToken; // where set, orders must carry it
};

/// One engine with its own listening address.
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
        std::int64_t produced = 0; // index of the next token
        std::string phase = "waiting";
        TimePoint arrived;
        TimePoint brokenAt; // when the connection broke; zero while it stands
        ExchangePtr exchange;
        HttpClient::CallId importCall = 0;
        bool muted = false;
    };
    using JobPtr = std::shared_ptr<Job>;

    struct Export
    {
        std::string requestId;
        std::int64_t tokens = 0;
        TimePoint expires;
        bool transferring = false;
    };

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
    auto handleRunning(const ExchangePtr &exchange) -> void;
    auto handleLoad(const ExchangePtr &exchange) -> void;
    auto handleCacheEvents(const ExchangePtr &exchange) -> void;

    auto startPrefills() -> void;
    auto finishPrefill(const JobPtr &job) -> void;
    auto startImports() -> void;
    auto joinBatch(const JobPtr &job) -> void;
    auto scheduleStep() -> void;
    auto step() -> void;
    auto emitToken(const JobPtr &job) -> bool;
    auto drop(const JobPtr &job) -> void;
    auto takeNext() -> JobPtr;
    auto held() const -> int;
    auto slowFactor() const -> double;
    auto tick() -> void;
    auto crash() -> void;
    auto answerError(const ExchangePtr &exchange, int status, std::string_view message) -> void;

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
    std::map<std::string, TimePoint> m_cancelled;
    std::deque<CacheEvent> m_events;
    std::deque<std::pair<TimePoint, LoadReport>> m_reports;
    std::shared_ptr<bool> m_life = std::make_shared<bool>(true);
    JobPtr m_prefilling;
    std::unique_ptr<Timer> m_stepTimer;
    std::unique_ptr<Timer> m_ticker;
    TimePoint m_lastStep;
    TimePoint m_linkFreeAt;
    TimePoint m_slowUntil;
    TimePoint m_stallUntil;
    double m_slow = 1;
    bool m_stepping = false;
    std::int64_t m_highestFence = 0;
    std::int64_t m_nextEvent = 1;
    std::int64_t m_nextHandle = 1;
    Counters m_counters;
};

/// Returns the text of the token at the index, which depends on the prompt alone.
auto tokenText(std::uint64_t promptHash, std::int64_t index) -> std::string;

} // namespace standin
