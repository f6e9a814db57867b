// Open-loop callers: arrivals do not wait for answers, and each answer's content is checked.
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

/// What became of one request.
struct Outcome
{
    std::string stream;
    std::string kind;
    std::string booking; // of a booking, its name and key
    std::string result; // "answered", "refused", "broken", "wrong", "unfinished", "cancelled"
    std::string ran; // of a refusal
    int status = 0;
    double arrivedS = 0; // since the start
    double firstTokenMs = 0; // or the whole answer's time, for services
    double totalMs = 0;
    int tokens = 0;
    int lateGaps = 0;
    bool good = false; // whole, and within both targets
};

/// Sends a scenario's requests to a set of VMs in turn.
class Load
{
public:
    Load(Loop &loop, Scenario scenario, std::vector<std::string> targets, double capacity, std::uint64_t seed);

    /// Calls a prefill and a decode engine without a router, to compare with.
    auto callDirectly(std::string prefill, std::string decode) -> void;

    auto start() -> void;
    auto report() const -> Json;
    auto outcomes() const -> Json;

private:
    struct Stream
    {
        StreamSpec spec;
        std::unique_ptr<Timer> timer;
        std::vector<std::string> prefixes;
        TimePoint nextAt;
    };

    struct Call
    {
        Outcome outcome;
        std::uint64_t promptHash = 0;
        int expectedTokens = 0;
        TimePoint begun;
        TimePoint lastToken;
        EventStreamParser parser;
        std::string body; // of a refusal
        int status = 0;
        bool finished = false;
        bool wrong = false;
        HttpClient::CallId id = 0;
        HttpCall request;
        int redirects = 0; // to other VMs, as the balancer does where one takes no connection
    };

    auto arrive(Stream &stream) -> void;
    auto schedule(Stream &stream) -> void;
    auto rateAt(const Stream &stream, double seconds) const -> double;
    auto sendModel(Stream &stream) -> void;
    auto sendService(Stream &stream) -> void;
    auto dispatch(const std::shared_ptr<Call> &call) -> void;
    auto send(const std::shared_ptr<Call> &call) -> void;
    auto dispatchDirectly(const std::shared_ptr<Call> &call) -> void;
    auto onEvent(Call &call, std::string_view data) -> void;
    auto finish(const std::shared_ptr<Call> &call, const Result<HttpResponse> &response) -> void;
    auto makePrompt(Stream &stream) -> std::string;
    auto elapsed() const -> double;
    auto target() -> const std::string &;
    auto summary(const std::string &stream) const -> Json;

    Loop &m_loop;
    SystemClock m_clock;
    HttpClient m_client;
    Scenario m_scenario;
    std::vector<std::string> m_targets;
    std::string m_directPrefill;
    std::string m_directDecode;
    double m_capacity;
    pcg64 m_random;
    std::uint64_t m_seed;
    std::vector<std::unique_ptr<Stream>> m_streams;
    std::vector<std::shared_ptr<Call>> m_calls;
    std::unique_ptr<Timer> m_ender;
    TimePoint m_start;
    std::size_t m_turn = 0;
    std::int64_t m_sequence = 0;
};

} // namespace bench
