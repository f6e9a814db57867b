// An open-loop load generator: arrivals are independent of responses. The content of each response is verified.
#pragma once

#include "currantstack/histogram.h"
#include "currantstack/http_client.h"
#include "currantstack/json.h"
#include "currantstack/sse.h"
#include "scenario.h"

#include <map>
#include <memory>
#include <pcg_random.hpp>

namespace bench
{

using namespace currantstack;

/// The result of one request.
struct Outcome
{
    std::string stream;
    std::string kind;
    std::string booking; // name and idempotency key of a booking; empty for other requests
    std::string result; // "answered", "refused", "broken", "wrong" (content mismatch), "unfinished", "cancelled"
    std::string executed; // of a rejected request: whether it may have been executed
    int status = 0;
    double arrivedS = 0; // seconds since the start of the run
    double firstTokenMs = 0; // time to first token; total time for services
    double totalMs = 0;
    int tokens = 0;
    int lateGaps = 0; // gaps between tokens that exceed the target
    bool good = false; // complete and within the latency targets
};

/// Generates the requests of a scenario and sends them to a set of VMs in round-robin order.
class LoadGenerator
{
public:
    LoadGenerator(Loop &loop, Scenario scenario, std::vector<std::string> targets, double capacity, std::uint64_t seed);

    /// Sends model requests directly to a prefill and a decode engine, as a baseline without the router.
    auto bypassRouter(std::string prefill, std::string decode) -> void;

    auto start() -> void;

    /// Returns the summary of each stream.
    auto report() const -> Json;

    /// Returns the outcome of each request.
    auto outcomes() const -> Json;

private:
    struct Stream
    {
        StreamSpec spec;
        std::unique_ptr<Timer> timer;
        std::vector<std::string> prefixes;
        TimePoint nextArrival;
    };

    struct Call
    {
        Outcome outcome;
        std::uint64_t promptHash = 0;
        int expectedTokens = 0;
        TimePoint startedAt;
        TimePoint lastTokenAt;
        EventStreamParser parser;
        std::string body; // response body, unless it is a token stream
        int status = 0;
        bool receivedDone = false; // the stream's final event, "[DONE]"
        bool mismatched = false; // an event differs from the expected content
        HttpClient::CallId id = 0;
        HttpCall request;
        int connectRetries = 0; // at other VMs after a failed connection, as a load balancer does
    };

    auto onArrival(Stream &stream) -> void;
    auto scheduleArrival(Stream &stream) -> void;
    auto rateAt(const Stream &stream, double seconds) const -> double;
    auto sendModelRequest(Stream &stream) -> void;
    auto sendServiceRequest(Stream &stream) -> void;
    auto dispatch(const std::shared_ptr<Call> &call) -> void;
    auto send(const std::shared_ptr<Call> &call) -> void;
    auto sendDirectly(const std::shared_ptr<Call> &call) -> void;
    auto onEvent(Call &call, std::string_view data) -> void;
    auto complete(const std::shared_ptr<Call> &call, const Result<HttpResponse> &response) -> void;
    auto makePrompt(Stream &stream) -> std::string;
    auto elapsedSeconds() const -> double;
    auto nextTarget() -> const std::string &;
    auto summary(const std::string &stream) const -> Json;

    Loop &m_loop;
    SystemClock m_clock;
    HttpClient m_client;
    Scenario m_scenario;
    std::vector<std::string> m_targets;
    std::string m_directPrefill;
    std::string m_directDecode;
    double m_capacity; // model requests per second at a load of 1
    pcg64 m_random;
    std::uint64_t m_seed;
    std::vector<std::unique_ptr<Stream>> m_streams;
    std::vector<std::shared_ptr<Call>> m_calls;
    std::unique_ptr<Timer> m_endTimer;
    TimePoint m_startedAt;
    std::size_t m_nextTarget = 0;
    std::int64_t m_sequence = 0;
};

} // namespace bench
