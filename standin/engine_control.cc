// The engine's calls other than completions and KV transfers: cancels, orders, faults, resumed streams, load reports and cache events.
#include "currantstack/log.h"
#include "engine.h"

#include <algorithm>

namespace standin
{

namespace
{

constexpr Log EngineLog("engine");
constexpr Duration CancelRetention = seconds(10); // in which a cancelled request id is refused

auto numberField(const Json &value, const char *key, double fallback) -> double
{
    return value.contains(key) && value[key].is_number() ? value[key].get<double>() : fallback;
}

} // namespace

auto Engine::handleCancel(const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "cancel");
    if (!document || !document->is_object() || !document->contains("request_id") || !(*document)["request_id"].is_string()) {
        return respondError(exchange, 400, "request_id must be a string");
    }
    const auto id = (*document)["request_id"].get<std::string>();
    m_cancelled[id] = m_clock.now() + CancelRetention;
    const auto found = m_jobs.find(id);
    const bool existed = found != m_jobs.end();
    if (existed) {
        m_counters.at("cancels").add();
        const auto job = found->second;
        dropJob(job);
    }
    exchange->respond(jsonResponse(200, dumpJson({{"found", existed}, {"held", false}})));
}

auto Engine::handleOrder(const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "order");
    const auto order = document ? engineOrderFromJson(*document) : Result<EngineOrder>(tl::unexpected(document.error()));
    if (!order) {
        return respondError(exchange, 400, order.error().message);
    }
    if (!m_settings.senderToken.empty() && order->senderToken != m_settings.senderToken) {
        return respondError(exchange, 403, "the sender token is wrong");
    }
    if (m_settings.checksFencing && order->fencingToken < m_highestFencingToken) {
        m_counters.at("orders_refused_stale").add();
        return respondError(exchange, 409, "the fencing number is stale");
    }
    m_highestFencingToken = std::max(m_highestFencingToken, order->fencingToken);
    if (order->kind == "role") {
        m_settings.role = order->value;
    } else if (order->kind == "load") {
        m_settings.model = order->value;
    }
    m_counters.at("orders").add();
    exchange->respond(
        jsonResponse(200, dumpJson({{"role", m_settings.role}, {"model", m_settings.model}, {"fencing_number", m_highestFencingToken}})));
}

auto Engine::handleFault(const ExchangePtr &exchange) -> void
{
    const auto document = parseJson(exchange->request().body, "fault");
    if (!document || !document->is_object()) {
        return respondError(exchange, 400, "a fault must be an object");
    }
    const auto kind = document->value("kind", std::string());
    const auto until = m_clock.now() + fromMilliseconds(numberField(*document, "duration_ms", 1000));
    if (kind == "slow") {
        m_slowdown = numberField(*document, "factor", 4);
        m_slowUntil = until;
    } else if (kind == "stall") {
        m_stallUntil = until;
    } else if (kind == "silence") {
        for (const auto &[id, job] : m_jobs) {
            job->silenced = true;
        }
    } else if (kind == "crash") {
        m_loop.defer([this, alive = m_alive]() {
            if (*alive) {
                crash();
            }
        });
    } else {
        return respondError(exchange, 400, "kind must be slow, stall, silence or crash");
    }
    EngineLog.debug("{}: fault {}", m_settings.name, kind);
    exchange->respond(jsonResponse(200, "{}"));
}

auto Engine::crash() -> void
{
    if (!m_server) {
        return;
    }
    m_counters.at("crashes").add();
    // Callbacks that were scheduled before the crash must not change the engine after its restart.
    *m_alive = false;
    m_alive = std::make_shared<bool>(true);
    for (const auto &[handle, entry] : m_exports) {
        m_counters.at("prefill_tokens_wasted").add(entry.tokens);
    }
    for (const auto &[id, job] : m_jobs) {
        if (job->importCall != 0) {
            m_client.cancel(job->importCall);
        }
    }
    m_server.reset();
    m_jobs.clear();
    m_waiting.clear();
    m_batch.clear();
    m_exports.clear();
    m_prefillJob.reset();
    m_cache.clear();
    m_stepTimer->stop();
    m_stepScheduled = false;
    m_loop.after(fromMilliseconds(m_settings.restartMs), [this]() {
        if (const auto opened = open(); !opened) {
            EngineLog.error("{}", describe(opened.error()));
        }
    });
}

auto Engine::handleResume(const ExchangePtr &exchange) -> void
{
    const auto found = m_jobs.find(std::string(exchange->request().argument("request_id")));
    if (found == m_jobs.end() || found->second->phase != "decode") {
        return respondError(exchange, 404, "no such stream");
    }
    const auto job = found->second;
    const auto from = std::atoll(std::string(exchange->request().argument("from")).c_str());
    exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
    job->request.stream = true;
    job->exchange = exchange;
    job->silenced = false;
    job->disconnectedAt = {};
    for (auto index = from; index < job->nextToken; ++index) {
        exchange->write(fmt::format("data: {{\"id\":\"{}\",\"choices\":[{{\"index\":0,\"text\":\"{}\",\"finish_reason\":null}}]}}\n\n",
                                    job->request.requestId, tokenText(job->promptHash, index)));
    }
    exchange->onDisconnect([this, alive = m_alive, weak = std::weak_ptr<Job>(job)]() {
        if (const auto disconnected = weak.lock(); *alive && disconnected) {
            disconnected->disconnectedAt = m_clock.now();
            disconnected->exchange.reset();
        }
    });
}

auto Engine::handleRunningRequests(const ExchangePtr &exchange) -> void
{
    auto list = Json::array();
    for (const auto &[id, job] : m_jobs) {
        list.push_back(
            toJson(RunningRequest{id, job->phase, std::chrono::duration_cast<milliseconds>(m_clock.now() - job->arrived).count()}));
    }
    exchange->respond(jsonResponse(200, dumpJson({{"requests", list}, {"slots", m_settings.slots}, {"role", m_settings.role}})));
}

auto Engine::handleLoad(const ExchangePtr &exchange) -> void
{
    LoadReport report;
    const auto latest = m_clock.now() - fromMilliseconds(m_settings.reportLagMs);
    for (const auto &[sampledAt, entry] : m_reports) {
        if (sampledAt <= latest || report.slots == 0) {
            report = entry;
            report.ageMs = std::chrono::duration_cast<milliseconds>(m_clock.now() - sampledAt).count();
        }
    }
    exchange->respond(jsonResponse(200, dumpJson(toJson(report))));
}

auto Engine::handleCacheEvents(const ExchangePtr &exchange) -> void
{
    const auto after = std::atoll(std::string(exchange->request().argument("after")).c_str());
    auto list = Json::array();
    for (const auto &event : m_cacheEvents) {
        if (event.sequence > after && event.visibleAt <= m_clock.now()) {
            list.push_back({{"sequence", event.sequence}, {"prefix_hash", fmt::format("{:016x}", event.prefixHash)}});
        }
    }
    exchange->respond(jsonResponse(200, dumpJson({{"events", list}})));
}

} // namespace standin
