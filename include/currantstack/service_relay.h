// One request to a plain service: repeated and hedged only where it is idempotent, run at most once otherwise.
#pragma once

#include "currantstack/relay.h"

namespace currantstack
{

/// What this VM knows of the upstreams of plain services.
class ServiceBoard
{
public:
    struct Entry
    {
        int inFlight = 0;
        MovingAverage latencyMs{20, 0.1};
    };

    auto of(const std::string &service, const std::string &upstream) -> Entry &
    {
        return m_entries[service + "/" + upstream];
    }

private:
    std::map<std::string, Entry> m_entries;
};

/// Returns the upstream with the lower load of two picked at random among those that may take a request, or null.
auto chooseUpstream(const Service &service, ServiceBoard &board, const HealthTracker &health, const std::vector<std::string> &avoid,
                    std::string_view ownPlace, TimePoint now, Random &random) -> const ServiceUpstream *;

/// Serves one request to a plain service.
class ServiceRelay : public Relay, public std::enable_shared_from_this<ServiceRelay>
{
public:
    ServiceRelay(RelayParts &parts, ServiceBoard &board, CallerRequest request);

    auto start() -> void override;

private:
    struct Try
    {
        std::string upstream;
        HttpClient::CallId call = 0;
        TimePoint begun;
    };

    auto enterIntent() -> void;
    auto onIntent(const Result<SliceJournal::Verdict> &verdict) -> void;
    auto dispatch(bool isHedge) -> void;
    auto onAnswer(const std::string &upstream, const Result<HttpResponse> &response) -> void;
    auto onFailure(const std::string &upstream, const Error &error) -> void;
    auto armHedge() -> void;
    auto answer(HttpResponse response) -> void;
    auto refuse(const Error &error, Executed ran) -> void;
    auto finish() -> void;
    auto callerGone() -> void;
    auto hasKey() const -> bool;
    auto scopedKey() const -> std::string;
    auto endTry(const std::string &upstream) -> void;
    auto healthName(std::string_view upstream) const -> std::string;

    RelayParts &m_parts;
    ServiceBoard &m_board;
    CallerRequest m_request;
    std::vector<Try> m_open;
    std::vector<std::string> m_avoid;
    std::unique_ptr<Timer> m_hedgeTimer;
    int m_tries = 0;
    bool m_sent = false; // whether bytes may have reached an upstream
    bool m_intended = false;
    bool m_finished = false;
    bool m_callerGone = false;
};

} // namespace currantstack
