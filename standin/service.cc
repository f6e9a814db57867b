#include "service.h"

#include "serve.h"

#include <fmt/format.h>

namespace standin
{

auto BookingService::open(const std::string &name, const std::string &address, std::uint16_t port) -> Result<void>
{
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->name = name;
    auto server = serve(m_loop, address, port, [this, raw = endpoint.get()](const ExchangePtr &exchange) { handle(*raw, exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    endpoint->server = std::move(*server);
    m_endpoints.push_back(std::move(endpoint));
    return {};
}

auto BookingService::handle(Endpoint &endpoint, const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.path == "/standin/faults") {
        return handleFault(endpoint, exchange);
    }
    if (request.path == "/standin/runs") {
        auto runs = Json::object();
        for (const auto &[booking, count] : m_runs) {
            runs[booking] = count;
        }
        return exchange->respond(jsonResponse(200, dumpJson({{"runs", runs}, {"reads", m_reads}})));
    }
    if (m_clock.now() < endpoint.silentUntil) {
        return; // never answered
    }
    const double slowFactor = m_clock.now() < endpoint.slowUntil ? endpoint.slowFactor : 1.0;
    m_loop.after(fromMilliseconds(m_workMs * slowFactor), [this, raw = &endpoint, exchange]() { respond(*raw, exchange); });
}

auto BookingService::respond(Endpoint &endpoint, const ExchangePtr &exchange) -> void
{
    const auto &request = exchange->request();
    if (request.method == "GET") {
        ++m_reads;
        return exchange->respond(jsonResponse(200, dumpJson({{"free", true}, {"from", endpoint.name}})));
    }
    const auto body = parseJson(request.body, "booking");
    if (!body || !body->is_object() || !body->contains("booking") || !(*body)["booking"].is_string()) {
        return exchange->respond(jsonResponse(400, R"({"error":"booking must be a string"})"));
    }
    const auto booking = (*body)["booking"].get<std::string>();
    const auto count = ++m_runs[booking];
    if (m_clock.now() < endpoint.loseRepliesUntil) {
        return exchange->abort();
    }
    exchange->respond(jsonResponse(201, dumpJson({{"booking", booking}, {"run", count}, {"from", endpoint.name}})));
}

auto BookingService::handleFault(Endpoint &endpoint, const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "fault");
    if (!document || !document->is_object()) {
        return exchange->respond(jsonResponse(400, R"({"error":"a fault must be an object"})"));
    }
    const auto until = m_clock.now() + milliseconds(document->value("duration_ms", 1000));
    const auto kind = document->value("kind", std::string());
    if (kind == "silence") {
        endpoint.silentUntil = until;
    } else if (kind == "lose_reply") {
        endpoint.loseRepliesUntil = until;
    } else {
        endpoint.slowFactor = document->value("factor", 10.0);
        endpoint.slowUntil = until;
    }
    exchange->respond(jsonResponse(200, "{}"));
}

} // namespace standin
