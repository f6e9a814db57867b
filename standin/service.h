// Stand-in for a plain booking service, which counts how often each booking ran.
#pragma once

#include "currantstack/http_server.h"
#include "currantstack/json.h"

#include <map>

namespace standin
{

using namespace currantstack;

/// Answers GET /availability and POST /bookings. All endpoints share the counts.
class BookingService
{
public:
    BookingService(Loop &loop, double workMs)
        : m_loop(loop)
        , m_workMs(workMs)
    { }

    auto open(const std::string &name, const std::string &address, std::uint16_t port) -> Result<void>;

private:
    struct Endpoint
    {
        std::string name;
        std::unique_ptr<HttpServer> server;
        TimePoint slowUntil;
        double slowFactor = 1; // until slowUntil
        TimePoint silentUntil;
        TimePoint loseRepliesUntil; // until then, bookings run but the connection is broken instead of answered
    };

    auto handle(Endpoint &endpoint, const ExchangePtr &exchange) -> void;
    auto handleFault(Endpoint &endpoint, const ExchangePtr &exchange) -> void;
    auto respond(Endpoint &endpoint, const ExchangePtr &exchange) -> void;

    Loop &m_loop;
    double m_workMs;
    SystemClock m_clock;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::map<std::string, std::int64_t> m_runs; // by booking
    std::int64_t m_reads = 0;
};

} // namespace standin
