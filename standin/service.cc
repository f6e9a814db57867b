#include "service.h"

#include "serve.h"

#include <fmt/format.h>

namespace standin
{

auto BookingService::open(const std::string &name, const std::string &address, std::uint16_t port) -> Result<void>
{
    auto front = std::make_unique<Front>();
    front->name = name;
    auto server = serve(m_loop, address, port, [this, raw = front.get()](const ExchangePtr &exchange) { handle(*raw, exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    front->server = std::move(*server);
    m_fronts.push_back(std::move(front));
    return {};
}

auto BookingService::handle(Front &front, const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.path == "/standin/faults") {
        return handleFault(front, exchange);
    }
    if (request.path == "/standin/runs") {
        auto runs = Json::object();
        for (const auto &[booking, count] : m_runs) {
            runs[booking] = count;
        }
        return exchange->respond(jsonResponse(200, dumpJson({{"runs", runs}, {"reads", m_reads}})));
    }
    if (m_clock.now() < front.silentUntil) {
        return; // never answered
    }
    const double slow = m_clock.now() < front.slowUntil ? front.slow : 1.0;
    m_loop.after(fromMilliseconds(m_workMs * slow), [this, raw = &front, exchange]() { answer(*raw, exchange); });
}

auto BookingService::answer(Front &front, const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.method == "GET") {
        ++m_reads;
        return exchange->respond(jsonResponse(200, dumpJson({{"free", true}, {"from", front.name}})));
    }
    const auto body = parseJson(request.body, "booking");
    if (!body || !body->is_object() || !body->contains("booking") || !(*body)["booking"].is_string()) {
        return exchange->respond(jsonResponse(400, R"({"error":"booking must be a string"})"));
    }
    const auto booking = (*body)["booking"].get<std::string>();
    const auto count = ++m_runs[booking];
    if (m_clock.now() < front.losesUntil) {
        return exchange->abort();
    }
    exchange->respond(jsonResponse(201, dumpJson({{"booking", booking}, {"run", count}, {"from", front.name}})));
}

auto BookingService::handleFault(Front &front, const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "fault");
    if (!document || !document->is_object()) {
        return exchange->respond(jsonResponse(400, R"({"error":"a fault must be an object"})"));
    }
    const auto until = m_clock.now() + milliseconds(document->value("duration_ms", 1000));
    const auto kind = document->value("kind", std::string());
    if (kind == "silence") {
        front.silentUntil = until;
    } else if (kind == "lose_reply") {
        front.losesUntil = until;
    } else {
        front.slow = document->value("factor", 10.0);
        front.slowUntil = until;
    }
    exchange->respond(jsonResponse(200, "{}"));
}

} // namespace standin
