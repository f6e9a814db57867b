#include "currantstack/orders.h"

#include "currantstack/log.h"
#include "currantstack/retry.h"

#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Log OrderLog("orders");
constexpr Duration PeerTimeout = seconds(30); // the owner may have to wait for the weight store
constexpr Duration WeightBackoffBase = seconds(1); // minimum delay and base of the back-off
constexpr Duration LongestWeightBackoff = seconds(10);

auto tokenKey(const std::string &engine) -> std::string
{
    return "currant/fence/" + engine;
}

auto storedToken(const StoreRange &range) -> std::int64_t
{
    return range.values.empty() ? 0 : std::atoll(range.values.front().value.c_str());
}

} // namespace

OrderService::OrderService(Context &context)
    : m_context(context)
{
    context.router.on("/peer/order", [this](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
        const auto engine = body.value("engine", std::string());
        const auto *info = m_context.config->findEngine(engine);
        if (info == nullptr || !m_context.isSelf(m_context.ownerOf(*info))) {
            return reply(fail(ErrorCode::Unavailable, "order", engine, "this VM does not own the engine"));
        }
        order(engine, body.value("kind", std::string()), body.value("value", std::string()), [reply](const Result<std::int64_t> &token) {
            if (!token) {
                return reply(tl::unexpected(token.error()));
            }
            reply(Json{{"fencing_number", *token}});
        });
    });
}

auto OrderService::onOwnershipLost() -> void
{
    m_tokens.clear();
}

auto OrderService::order(const std::string &engine, const std::string &kind, const std::string &value, Done done) -> void
{
    const auto *info = m_context.config->findEngine(engine);
    if (info == nullptr) {
        return done(fail(ErrorCode::NotFound, "order", engine, "the engine does not exist"));
    }
    const auto owner = m_context.ownerOf(*info);
    if (!m_context.isSelf(owner)) {
        const Json body = {{"engine", engine}, {"kind", kind}, {"value", value}};
        m_context.peers.call(m_context.addressOf(owner), "/peer/order", body, PeerTimeout,
                             [done = std::move(done)](const Result<Json> &reply) {
                                 if (!reply) {
                                     return done(tl::unexpected(reply.error()));
                                 }
                                 done(reply->value("fencing_number", std::int64_t{0}));
                             });
        return;
    }
    auto pending = std::make_shared<PendingOrder>();
    pending->engine = *info;
    pending->order = {kind, value, 0, info->checksSender ? m_context.settings.engineSenderToken : std::string()};
    pending->done = std::move(done);
    if (const auto parsed = engineOrderFromJson(toJson(pending->order)); !parsed) {
        return pending->done(tl::unexpected(parsed.error()));
    }
    acquireToken(pending);
}

auto OrderService::acquireToken(const std::shared_ptr<PendingOrder> &pending) -> void
{
    if (m_tokens.contains(pending->engine.name)) {
        return loadWeights(pending);
    }
    const auto key = tokenKey(pending->engine.name);
    m_context.store.read(key, true, [this, pending, key](const Result<StoreRange> &range) {
        if (!range) {
            return pending->done(tl::unexpected(range.error()));
        }
        const auto next = storedToken(*range) + 1;
        StoreTransaction transaction;
        transaction.compares.push_back({key, range->values.empty() ? 0 : range->values.front().modRevision});
        transaction.puts.push_back({key, std::to_string(next)});
        m_context.store.commit(std::move(transaction), [this, pending, next](const Result<StoreOutcome> &outcome) {
            if (!outcome || !outcome->applied) {
                // A token whose write may or may not have been applied is not used; the next order acquires a higher one.
                const auto error = outcome
                    ? Error{ErrorCode::Conflict, "order", pending->engine.name, "another VM has become the owner of the engine"}
                    : outcome.error();
                return pending->done(tl::unexpected(error));
            }
            m_tokens[pending->engine.name] = {next, m_context.clock.now()};
            loadWeights(pending);
        });
    });
}

auto OrderService::loadWeights(const std::shared_ptr<PendingOrder> &pending) -> void
{
    const bool needsWeights = pending->order.kind == "load" || pending->order.kind == "version";
    if (!needsWeights || m_context.settings.platformAddress.empty()) {
        return confirmToken(pending);
    }
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(m_context.settings.platformAddress, "/platform/weights");
    call.body = dumpJson({{"model", pending->order.value}});
    call.totalTimeout = seconds(2);
    call.step = "weights";
    HttpHandlers handlers;
    handlers.onDone = [this, pending](const Result<HttpResponse> &response) {
        if (response && response->status == 200) {
            return confirmToken(pending);
        }
        if (++pending->attempts >= MaxWeightAttempts) {
            return pending->done(
                fail(ErrorCode::Overloaded, "weights", pending->engine.name, "the weight store accepts no further load now"));
        }
        m_context.counters.at("weight_loads_waited").add();
        const auto delay = WeightBackoffBase + backoff(pending->attempts, WeightBackoffBase, LongestWeightBackoff, m_context.random);
        m_context.loop.after(delay, [this, pending]() { loadWeights(pending); });
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto OrderService::confirmToken(const std::shared_ptr<PendingOrder> &pending) -> void
{
    const auto found = m_tokens.find(pending->engine.name);
    if (found == m_tokens.end()) {
        return pending->done(fail(ErrorCode::Conflict, "order", pending->engine.name, "this VM lost the ownership of the engine"));
    }
    pending->order.fencingToken = found->second.value;
    if (pending->engine.checksFencing) {
        return send(pending);
    }
    // The engine does not check fencing tokens. A new owner therefore waits until no order of the previous owner can arrive any more,
    // and reads from the store before each order that its token is still the highest.
    const auto age = m_context.clock.now() - found->second.acquiredAt;
    if (age < OldOrderLifetime) {
        m_context.loop.after(OldOrderLifetime - age, [this, pending]() { confirmToken(pending); });
        return;
    }
    const auto readStart = m_context.clock.now();
    m_context.store.read(tokenKey(pending->engine.name), true, [this, pending, readStart](const Result<StoreRange> &range) {
        if (!range) {
            return pending->done(tl::unexpected(range.error()));
        }
        if (storedToken(*range) != pending->order.fencingToken || m_context.clock.now() - readStart > SendTimeout) {
            m_tokens.erase(pending->engine.name);
            return pending->done(fail(ErrorCode::Conflict, "order", pending->engine.name, "another VM has become the owner of the engine"));
        }
        send(pending);
    });
}

auto OrderService::send(const std::shared_ptr<PendingOrder> &pending) -> void
{
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(pending->engine.address, "/v1/orders");
    call.body = dumpJson(toJson(pending->order));
    call.connectTimeout = m_context.config->timeouts.connect;
    call.totalTimeout = SendTimeout;
    call.freshConnection = true;
    call.step = "order";
    call.peer = pending->engine.name;
    HttpHandlers handlers;
    handlers.onDone = [this, pending](const Result<HttpResponse> &response) {
        if (!response) {
            return pending->done(tl::unexpected(response.error()));
        }
        if (response->status == 409) {
            m_tokens.erase(pending->engine.name);
            return pending->done(fail(ErrorCode::Conflict, "order", pending->engine.name, "the engine has seen a higher fencing token"));
        }
        if (response->status != 200) {
            return pending->done(fail(ErrorCode::Unavailable, "order", pending->engine.name, fmt::format("status {}", response->status)));
        }
        m_context.counters.at("orders_sent").add();
        m_context.timeline.add(EventKind::OrderSent, "", pending->engine.name, pending->order.kind + " " + pending->order.value);
        OrderLog.info("Sent an order to {}: {} {}", pending->engine.name, pending->order.kind, pending->order.value);
        pending->done(pending->order.fencingToken);
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

} // namespace currantstack
