#include "currantstack/store.h"

#include "currantstack/codec.h"

namespace currantstack
{

namespace detail
{

auto prefixEnd(std::string_view prefix) -> std::string
{
    std::string end(prefix);
    while (!end.empty()) {
        if (static_cast<unsigned char>(end.back()) < 0xff) {
            end.back() = static_cast<char>(end.back() + 1);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

auto gatewayNumber(const Json &object, const char *key) -> std::int64_t
{
    if (!object.is_object() || !object.contains(key)) {
        return 0;
    }
    const auto &value = object[key];
    if (value.is_string()) {
        return std::atoll(value.get_ref<const std::string &>().c_str());
    }
    return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

auto gatewayValue(const Json &object) -> StoreValue
{
    StoreValue value;
    if (object.is_object()) {
        value.key = fromBase64(object.value("key", std::string())).value_or("");
        value.value = fromBase64(object.value("value", std::string())).value_or("");
        value.modRevision = gatewayNumber(object, "mod_revision");
    }
    return value;
}

} // namespace detail

namespace
{

auto arrayField(const Json &object, const char *key) -> const Json &
{
    static const Json Empty = Json::array();
    return object.is_object() && object.contains(key) && object[key].is_array() ? object[key] : Empty;
}

auto revisionOf(const Json &reply) -> std::int64_t
{
    return reply.is_object() && reply.contains("header") ? detail::gatewayNumber(reply["header"], "revision") : 0;
}

auto valuesOf(const Json &reply) -> std::vector<StoreValue>
{
    std::vector<StoreValue> values;
    for (const auto &entry : arrayField(reply, "kvs")) {
        values.push_back(detail::gatewayValue(entry));
    }
    return values;
}

auto rangeRequest(std::string_view key, bool exact) -> Json
{
    Json request = {{"key", toBase64(key)}};
    if (!exact) {
        request["range_end"] = toBase64(detail::prefixEnd(key));
    }
    return request;
}

auto transactionRequest(const StoreTransaction &transaction) -> Json
{
    Json request = {{"compare", Json::array()}, {"success", Json::array()}, {"failure", Json::array()}};
    for (const auto &compare : transaction.compares) {
        request["compare"].push_back({{"key", toBase64(compare.key)},
                                      {"target", "MOD"},
                                      {"result", "EQUAL"},
                                      {"mod_revision", std::to_string(compare.modRevision)}});
        request["failure"].push_back({{"request_range", rangeRequest(compare.key, true)}});
    }
    for (const auto &put : transaction.puts) {
        Json entry = {{"key", toBase64(put.key)}, {"value", toBase64(put.value)}};
        if (put.lease != 0) {
            entry["lease"] = std::to_string(put.lease);
        }
        request["success"].push_back({{"request_put", std::move(entry)}});
    }
    for (const auto &key : transaction.deletes) {
        request["success"].push_back({{"request_delete_range", {{"key", toBase64(key)}}}});
    }
    return request;
}

auto outcomeOf(const Json &reply) -> StoreOutcome
{
    StoreOutcome outcome;
    outcome.applied = reply.value("succeeded", false);
    outcome.revision = revisionOf(reply);
    if (!outcome.applied) {
        for (const auto &response : arrayField(reply, "responses")) {
            if (response.is_object() && response.contains("response_range")) {
                for (auto &value : valuesOf(response["response_range"])) {
                    outcome.current.push_back(std::move(value));
                }
            }
        }
    }
    return outcome;
}

} // namespace

auto progressOf(const std::optional<CallProgress> &call) -> AnswerProgress
{
    if (!call) {
        return {AnswerProgress::State::Paused};
    }
    const auto state = call->begun ? AnswerProgress::State::Receiving : AnswerProgress::State::Waiting;
    return {state, call->age, call->silence, call->received, call->expected};
}

EtcdStore::EtcdStore(HttpClient &client, Counters &counters, std::vector<std::string> addresses, Duration timeout, Duration idleTimeout)
    : m_client(client)
    , m_counters(counters)
    , m_addresses(std::move(addresses))
    , m_timeout(timeout)
    , m_idleTimeout(idleTimeout)
{ }

auto EtcdStore::call(std::string_view path, const Json &body, std::string_view step, std::function<void(Result<Json>)> done)
    -> HttpClient::CallId
{
    const auto &address = m_addresses[m_address];
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(address, path);
    call.headers = {{"Content-Type", "application/json"}};
    call.body = dumpJson(body);
    call.limitSilence(m_timeout);
    call.step = step;
    call.peer = address;
    HttpHandlers handlers;
    handlers.onDone = [this, step = std::string(step), address, done = std::move(done)](Result<HttpResponse> response) {
        if (!response) {
            // The next call goes to another address of the store.
            m_address = (m_address + 1) % m_addresses.size();
            m_counters.at("store_errors").add();
            return done(tl::unexpected(response.error()));
        }
        if (response->status == 429) {
            // The rate limit is checked before the write, so nothing was changed.
            m_counters.at("store_rate_refusals").add();
            return done(fail(ErrorCode::Unreachable, step, address, "the store rejected the call by its rate limit"));
        }
        if (response->status != 200) {
            m_counters.at("store_errors").add();
            return done(fail(ErrorCode::Unavailable, step, address, "status " + std::to_string(response->status)));
        }
        done(parseJson(response->body, step));
    };
    return m_client.start(std::move(call), std::move(handlers));
}

auto EtcdStore::read(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> void
{
    startRead(key, exact, std::move(done));
}

auto EtcdStore::readPatiently(std::string_view prefix, std::function<void(Result<StoreRange>)> done) -> StoreCallHandle
{
    const auto id = startRead(prefix, false, std::move(done));
    return {[this, id]() { m_client.cancel(id); }, [this, id]() { return progressOf(m_client.progress(id)); }};
}

auto EtcdStore::startRead(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> HttpClient::CallId
{
    m_counters.at("store_reads").add();
    return call("/v3/kv/range", rangeRequest(key, exact), "store read", [done = std::move(done)](const Result<Json> &reply) {
        if (!reply) {
            return done(tl::unexpected(reply.error()));
        }
        done(StoreRange{revisionOf(*reply), valuesOf(*reply)});
    });
}

auto EtcdStore::commit(StoreTransaction transaction, std::function<void(Result<StoreOutcome>)> done) -> void
{
    m_counters.at("store_writes").add();
    call("/v3/kv/txn", transactionRequest(transaction), "store commit", [done = std::move(done)](const Result<Json> &reply) {
        if (!reply) {
            return done(tl::unexpected(reply.error()));
        }
        done(outcomeOf(*reply));
    });
}

auto EtcdStore::grantLease(seconds ttl, std::function<void(Result<std::int64_t>)> done) -> void
{
    m_counters.at("store_writes").add();
    call("/v3/lease/grant", {{"TTL", std::to_string(ttl.count())}}, "lease grant", [done = std::move(done)](const Result<Json> &reply) {
        if (!reply) {
            return done(tl::unexpected(reply.error()));
        }
        done(detail::gatewayNumber(*reply, "ID"));
    });
}

auto EtcdStore::renewLease(std::int64_t lease, std::function<void(Result<bool>)> done) -> void
{
    m_counters.at("store_writes").add();
    call("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, "lease renewal", [done = std::move(done)](const Result<Json> &reply) {
        if (!reply) {
            return done(tl::unexpected(reply.error()));
        }
        const auto &result = reply->contains("result") ? (*reply)["result"] : *reply;
        done(detail::gatewayNumber(result, "TTL") > 0);
    });
}

auto EtcdStore::watch(std::string_view prefix, std::int64_t fromRevision, WatchHook onEvents, std::function<void(Error)> onEnd)
    -> StoreCallHandle
{
    m_counters.at("store_watches").add();
    auto create = rangeRequest(prefix, false);
    create["start_revision"] = std::to_string(fromRevision);
    create["progress_notify"] = true;
    const auto &address = m_addresses[m_address];
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(address, "/v3/watch");
    call.body = dumpJson({{"create_request", std::move(create)}});
    call.idleTimeout = m_idleTimeout;
    call.freshConnection = true;
    call.step = "store watch";
    call.peer = address;
    HttpHandlers handlers;
    auto buffer = std::make_shared<std::string>();
    handlers.onData = [buffer, onEvents = std::move(onEvents)](std::string_view data) {
        buffer->append(data);
        for (auto end = buffer->find('\n'); end != std::string::npos; end = buffer->find('\n')) {
            const auto line = Json::parse(buffer->substr(0, end), nullptr, false);
            buffer->erase(0, end + 1);
            if (line.is_discarded() || !line.is_object() || !line.contains("result")) {
                continue;
            }
            std::vector<StoreEvent> events;
            for (const auto &event : arrayField(line["result"], "events")) {
                if (event.is_object() && event.contains("kv")) {
                    events.push_back({detail::gatewayValue(event["kv"]), event.value("type", std::string()) == "DELETE"});
                }
            }
            if (!events.empty()) {
                onEvents(events, detail::gatewayNumber(line["result"].value("header", Json::object()), "revision"));
            }
        }
    };
    handlers.onDone = [this, address, onEnd = std::move(onEnd)](const Result<HttpResponse> &response) {
        m_address = (m_address + 1) % m_addresses.size();
        onEnd(response ? Error{ErrorCode::Unavailable, "store watch", address, "the store closed the watch"} : response.error());
    };
    const auto id = m_client.start(std::move(call), std::move(handlers));
    return {[this, id]() { m_client.cancel(id); }, [this, id]() { return progressOf(m_client.progress(id)); }};
}

} // namespace currantstack
