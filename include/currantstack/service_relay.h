// Requests to plain services: idempotent ones are retried and hedged, others run at most once.
#pragma once

#include "currantstack/decisions/answer_end.h"
#include "currantstack/relay.h"

namespace currantstack
{

/// Load and latency of the upstreams of plain services, as seen by this VM.
class ServiceUpstreamStats
{
public:
    struct Entry
    {
        int inFlight = 0;
        MovingAverage latencyMs{20, 0.1}; // initial value, and weight of a new one
    };

    auto forUpstream(const std::string &service, const std::string &upstream) -> Entry &
    {
        return m_entries[service + "/" + upstream];
    }

private:
    std::map<std::string, Entry> m_entries;
};

/// Picks two random upstreams among those that can take the request and returns the less loaded one ("power of two choices"), or
/// null. Unhealthy upstreams are used only if there is no healthy one.
auto chooseUpstream(const Service &service, ServiceUpstreamStats &stats, const HealthTracker &health,
                    const std::vector<std::string> &excluded, std::string_view localPlace, TimePoint now, Random &random)
    -> const ServiceUpstream *;

/// Serves one request to a plain service.
class ServiceRelay : public Relay, public std::enable_shared_from_this<ServiceRelay>
{
public:
    ServiceRelay(RelayParts &parts, ServiceUpstreamStats &stats, CallerRequest request);

    auto start() -> void override;

private:
    struct Attempt
    {
        std::string upstream;
        HttpClient::CallId call = 0;
        TimePoint startedAt;
    };

    /// An answer without a length or chunks, held until its upstream is known to have outlived it.
    struct HeldAnswer
    {
        ServiceUpstream upstream;
        HttpResponse response;
        AnswerEndEvidence evidence = {.entry = std::nullopt};
        HttpClient::CallId trial = 0;
    };

    auto recordIntent() -> void;
    auto onIntent(const Result<JournalShard::IntentResult> &result) -> void;
    auto dispatch(bool isHedge) -> void;
    auto onResponse(const ServiceUpstream &upstream, Result<HttpResponse> response) -> void;
    auto onAnswer(const HttpResponse &response) -> void;
    auto holdAnswer(const ServiceUpstream &upstream, HttpResponse response) -> void;
    auto findHeld(std::string_view upstream) -> std::vector<HeldAnswer>::iterator;
    auto judgeEnd(const std::string &upstream) -> void;
    auto tryConnection(const std::string &upstream) -> void;
    auto endHold(std::vector<HeldAnswer>::iterator found, AnswerEnd end) -> void;
    auto onFailure(const std::string &upstream, const Error &error) -> void;
    auto startHedgeTimer() -> void;
    auto respond(HttpResponse response) -> void;
    auto refuse(const Error &error, Executed executed) -> void;
    auto finish() -> void;
    auto onCallerDisconnected() -> void;
    auto usesJournal() const -> bool;
    auto scopedKey() const -> std::string;
    auto endAttempt(const std::string &upstream) -> void;
    auto hasOpenAttempt() const -> bool;
    auto healthKey(std::string_view upstream) const -> std::string;

    RelayParts &m_parts;
    ServiceUpstreamStats &m_upstreamStats;
    CallerRequest m_request;
    std::vector<Attempt> m_openAttempts;
    std::vector<HeldAnswer> m_heldAnswers;
    std::vector<std::string> m_attemptedUpstreams;
    std::unique_ptr<Timer> m_hedgeTimer;
    int m_attemptCount = 0;
    bool m_sent = false; // bytes may have reached an upstream
    bool m_intentRecorded = false;
    bool m_finished = false;
    bool m_callerDisconnected = false;
};

} // namespace currantstack
