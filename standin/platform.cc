#include "platform.h"

#include "serve.h"

#include "currantstack/codec.h"

#include <random>

namespace standin
{

namespace
{

constexpr Duration TickPeriod = milliseconds(200);
constexpr double MaxWeightBurst = 4; // weight loads
constexpr double ProgressShare = 0.2; // of ticks on which watches get a progress line

auto decodeField(const Json &object, const char *key) -> std::string
{
    return fromBase64(object.value(key, std::string())).value_or("");
}

auto encodeValue(const StoreValue &value) -> Json
{
    return {{"key", toBase64(value.key)}, {"value", toBase64(value.value)}, {"mod_revision", std::to_string(value.modRevision)}};
}

auto encodeValues(const std::vector<StoreValue> &values) -> Json
{
    auto list = Json::array();
    for (const auto &value : values) {
        list.push_back(encodeValue(value));
    }
    return list;
}

auto parsePut(const Json &request) -> StorePut
{
    return {decodeField(request, "key"), decodeField(request, "value"), detail::gatewayNumber(request, "lease")};
}

auto parseTransaction(const Json &body) -> StoreTransaction
{
    StoreTransaction transaction;
    for (const auto &compare : body.value("compare", Json::array())) {
        transaction.compares.push_back({decodeField(compare, "key"), detail::gatewayNumber(compare, "mod_revision")});
    }
    for (const auto &operation : body.value("success", Json::array())) {
        if (operation.contains("request_put")) {
            transaction.puts.push_back(parsePut(operation["request_put"]));
        } else if (operation.contains("request_delete_range")) {
            transaction.deletes.push_back(decodeField(operation["request_delete_range"], "key"));
        }
    }
    return transaction;
}

} // namespace

Platform::Platform(Loop &loop, PlatformSettings settings, std::uint64_t seed)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_tickTimer(loop.timer([this]() { tick(); }))
    , m_lastRefill(m_clock.now())
{
    m_writeTokens = m_settings.writesPerSecond;
    m_readTokens = m_settings.readsPerSecond;
    m_tickTimer->startRepeating(TickPeriod, TickPeriod);
}

auto Platform::open() -> Result<void>
{
    auto server = serve(m_loop, m_settings.address, m_settings.port, [this](const ExchangePtr &exchange) { handle(exchange); });
    if (!server) {
        return tl::unexpected(server.error());
    }
    m_server = std::move(*server);
    return {};
}

auto Platform::handle(const ExchangePtr &exchange) -> void
{
    const auto &path = exchange->request().path;
    if (path == "/standin/faults") {
        return handleFaults(exchange);
    }
    if (path == "/standin/counters") {
        return exchange->respond(jsonResponse(200, m_counters.dump()));
    }
    if (path == "/standin/vms") {
        return handleVms(exchange);
    }
    if (m_faults.silent) {
        m_unanswered.push_back(exchange);
        return;
    }
    if (m_faults.down) {
        return exchange->respond(jsonResponse(503, R"({"error":"the service is unavailable"})"));
    }
    dispatch(exchange);
}

auto Platform::tryAcquire(bool isWrite) -> bool
{
    const auto now = m_clock.now();
    const auto elapsed = toSeconds(now - m_lastRefill);
    m_lastRefill = now;
    m_writeTokens = std::min(m_settings.writesPerSecond, m_writeTokens + elapsed * m_settings.writesPerSecond);
    m_readTokens = std::min(m_settings.readsPerSecond, m_readTokens + elapsed * m_settings.readsPerSecond);
    m_weightTokens = std::min(MaxWeightBurst, m_weightTokens + elapsed * m_settings.weightLoadsPerMinute / 60);
    auto &tokens = isWrite ? m_writeTokens : m_readTokens;
    if (tokens < 1) {
        m_counters.at("refused_for_rate").add();
        return false;
    }
    tokens -= 1;
    m_counters.at(isWrite ? "writes" : "reads").add();
    return true;
}

auto Platform::dispatch(const ExchangePtr &exchange) -> void
{
    const auto &path = exchange->request().path;
    if (path == "/platform/vms") {
        return handleVms(exchange);
    }
    if (path == "/platform/weights") {
        return handleWeights(exchange);
    }
    auto body = parseJson(exchange->request().body, "platform");
    if (!body || !body->is_object()) {
        return exchange->respond(jsonResponse(400, R"({"error":"the body must be a JSON object"})"));
    }
    const bool isWrite = path != "/v3/kv/range" && path != "/v3/watch";
    if (!tryAcquire(isWrite)) {
        return exchange->respond(jsonResponse(429, R"({"error":"too many calls"})"));
    }
    if (path == "/v3/kv/range") {
        const auto values = m_store.range(decodeField(*body, "key"), decodeField(*body, "range_end"));
        reply(exchange, {{"kvs", encodeValues(values)}, {"count", std::to_string(values.size())}}, false);
    } else if (path == "/v3/kv/put") {
        m_store.commit({{}, {parsePut(*body)}, {}});
        reply(exchange, Json::object(), true);
    } else if (path == "/v3/kv/txn") {
        handleTransaction(exchange, *body);
    } else if (path.starts_with("/v3/lease/")) {
        handleLease(exchange, *body, path);
    } else if (path == "/v3/watch") {
        handleWatch(exchange, *body);
    } else {
        exchange->respond(jsonResponse(404, R"({"error":"no such path"})"));
    }
    notifyWatches();
}

auto Platform::reply(const ExchangePtr &exchange, const Json &body, bool isWrite) -> void
{
    auto document = body;
    document["header"] = {{"revision", std::to_string(m_store.revision())}};
    if (isWrite && std::uniform_real_distribution<double>()(m_random) < m_faults.lostReplyShare) {
        m_counters.at("replies_lost").add();
        return exchange->abort();
    }
    if (m_faults.slowMs <= 0) {
        return exchange->respond(jsonResponse(200, dumpJson(document)));
    }
    m_loop.after(fromMilliseconds(m_faults.slowMs),
                 [exchange, text = dumpJson(document)]() { exchange->respond(jsonResponse(200, text)); });
}

auto Platform::handleTransaction(const ExchangePtr &exchange, const Json &body) -> void
{
    const bool applied = m_store.commit(parseTransaction(body));
    auto responses = Json::array();
    if (!applied) {
        for (const auto &operation : body.value("failure", Json::array())) {
            if (operation.contains("request_range")) {
                const auto values =
                    m_store.range(decodeField(operation["request_range"], "key"), decodeField(operation["request_range"], "range_end"));
                responses.push_back({{"response_range", {{"kvs", encodeValues(values)}}}});
            }
        }
    }
    reply(exchange, {{"succeeded", applied}, {"responses", responses}}, true);
}

auto Platform::handleLease(const ExchangePtr &exchange, const Json &body, std::string_view path) -> void
{
    const auto id = detail::gatewayNumber(body, "ID");
    if (path == "/v3/lease/grant") {
        const auto ttl = detail::gatewayNumber(body, "TTL");
        reply(exchange, {{"ID", std::to_string(m_store.grantLease(ttl, m_clock.now()))}, {"TTL", std::to_string(ttl)}}, true);
    } else if (path == "/v3/lease/keepalive") {
        reply(exchange, {{"result", {{"ID", std::to_string(id)}, {"TTL", std::to_string(m_store.renewLease(id, m_clock.now()))}}}}, true);
    } else {
        m_store.revokeLease(id);
        reply(exchange, Json::object(), true);
    }
}

auto Platform::handleWatch(const ExchangePtr &exchange, const Json &body) -> void
{
    const auto request = body.value("create_request", Json::object());
    const Watch watch{exchange, decodeField(request, "key"), decodeField(request, "range_end")};
    exchange->beginStream(200, {{"Content-Type", "application/json"}});
    exchange->write(dumpJson({{"result", {{"created", true}}}}) + "\n");
    const auto from = detail::gatewayNumber(request, "start_revision");
    for (const auto &change : m_store.changesFrom(from == 0 ? m_store.revision() + 1 : from)) {
        const auto &key = change.event.value.key;
        if (change.revision <= m_notifiedRevision && key >= watch.key && (watch.end.empty() ? key == watch.key : key < watch.end)) {
            const Json event = {{"type", change.event.deleted ? "DELETE" : "PUT"}, {"kv", encodeValue(change.event.value)}};
            exchange->write(dumpJson({{"result", {{"events", {event}}}}}) + "\n");
        }
    }
    m_watches.push_back(watch);
}

auto Platform::notifyWatches() -> void
{
    for (const auto &change : m_store.changesFrom(m_notifiedRevision + 1)) {
        const Json event = {{"type", change.event.deleted ? "DELETE" : "PUT"}, {"kv", encodeValue(change.event.value)}};
        const auto line = dumpJson({{"result", {{"events", {event}}}}}) + "\n";
        const auto &key = change.event.value.key;
        for (const auto &watch : m_watches) {
            if (key >= watch.key && (watch.end.empty() ? key == watch.key : key < watch.end)) {
                watch.exchange->write(line);
            }
        }
    }
    m_notifiedRevision = m_store.revision();
}

auto Platform::handleFaults(const ExchangePtr &exchange) -> void
{
    const auto body = parseJson(exchange->request().body, "faults");
    if (!body || !body->is_object()) {
        return exchange->respond(jsonResponse(400, R"({"error":"faults must be an object"})"));
    }
    m_faults.down = body->value("down", m_faults.down);
    m_faults.silent = body->value("silent", m_faults.silent);
    m_faults.slowMs = body->value("slow_ms", m_faults.slowMs);
    m_faults.lostReplyShare = body->value("lost_reply_share", m_faults.lostReplyShare);
    if (m_faults.down) {
        for (const auto &watch : m_watches) {
            watch.exchange->abort();
        }
        m_watches.clear();
    }
    if (!m_faults.silent) {
        for (const auto &unanswered : std::exchange(m_unanswered, {})) {
            unanswered->abort();
        }
    }
    exchange->respond(jsonResponse(200, "{}"));
}

auto Platform::handleVms(const ExchangePtr &exchange) -> void
{
    const auto now = m_clock.now();
    if (exchange->request().method == "POST") {
        const auto body = parseJson(exchange->request().body, "vms");
        if (body && body->is_object()) {
            m_vms.push_back({body->value("name", std::string()), body->value("address", std::string()),
                             body->value("state", std::string("live")), now + fromMilliseconds(m_settings.listLagMs)});
        }
        return exchange->respond(jsonResponse(200, "{}"));
    }
    std::map<std::string, Json> visible;
    for (const auto &vm : m_vms) {
        if (vm.visibleAt <= now) {
            visible[vm.name] = {{"name", vm.name}, {"address", vm.address}, {"state", vm.state}};
        }
    }
    auto list = Json::array();
    for (const auto &[name, vm] : visible) {
        if (vm["state"] != "gone") {
            list.push_back(vm);
        }
    }
    exchange->respond(jsonResponse(200, dumpJson({{"vms", list}})));
}

auto Platform::handleWeights(const ExchangePtr &exchange) -> void
{
    tryAcquire(false);
    if (m_weightTokens < 1) {
        m_counters.at("weight_loads_refused").add();
        return exchange->respond({429, {{"Content-Type", "application/json"}, {"Retry-After", "2"}}, R"({"error":"too many loads"})"});
    }
    m_weightTokens -= 1;
    m_counters.at("weight_loads").add();
    exchange->respond(jsonResponse(200, "{}"));
}

auto Platform::tick() -> void
{
    m_store.expireLeases(m_clock.now());
    notifyWatches();
    m_watches.remove_if([](const Watch &watch) { return watch.exchange->isDisconnected(); });
    if (!m_faults.silent && std::uniform_real_distribution<double>()(m_random) < ProgressShare) {
        for (const auto &watch : m_watches) {
            watch.exchange->write("{\"result\":{}}\n");
        }
    }
}

} // namespace standin
