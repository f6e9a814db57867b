// A stand-in for a plain booking service that counts how often each booking ran.
#pragma once

#include "currantstack/http_server.h"
#include "currantstack/json.h"

#include <map>

namespace standin
{

using namespace currantstack;

/// Answers GET /availability and POST /bookings; several listening addresses share the counts.
class BookingService
{
public:
    BookingService(Loop &loop, double workMs)
        : m_loop(loop)
        , m_workMs(workMs)
    { }

    auto open(const std::string &name, const std::string &address, std::uint16_t port) -> Result<void>;

private:
    struct Front
    {
        std::string name;
        std::unique_ptr<HttpServer> server;
        TimePoint slowUntil;
        double slow = 1;
        TimePoint silentUntil;
        TimePoint losesUntil; // runs bookings, but breaks the connection instead of answering
    };

    auto handle(Front &front, const ExchangePtr &exchange) -> void;
    auto handleFault(Front &front, const ExchangePtr &exchange) -> void;
    auto answer(Front &front, const ExchangePtr &exchange) -> void;

    Loop &m_loop;
    double m_workMs;
    SystemClock m_clock;
    std::vector<std::unique_ptr<Front>> m_fronts;
    std::map<std::string, std::int64_t> m_runs; // by booking
    std::int64_t m_reads = 0;
};

} // namespace standin
