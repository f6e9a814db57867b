#include "currantstack/request_canceller.h"

#include "currantstack/log.h"
#include "currantstack/retry.h"

namespace currantstack
{

namespace
{

constexpr Log CancelLog("cancels");
constexpr Duration BackoffBase = milliseconds(100); // minimum delay and base of the back-off
constexpr Duration LongestBackoff = seconds(3);
constexpr Duration CallTimeout = seconds(1);

} // namespace

RequestCanceller::RequestCanceller(Context &context)
    : m_context(context)
{ }

auto RequestCanceller::cancel(const std::string &engine, const std::string &address, const std::string &requestId, std::string_view cause,
                              std::function<void()> onConfirmed) -> void
{
    const auto key = engine + "/" + requestId;
    if (m_pending.contains(key)) {
        return;
    }
    m_pending[key] = {engine, address, requestId, m_context.clock.now(), 0, std::move(onConfirmed)};
    m_context.counters.at("cancels_sent").add();
    m_context.timeline.add(EventKind::CancelSent, requestId, engine, cause);
    send(key);
}

auto RequestCanceller::send(const std::string &key) -> void
{
    const auto found = m_pending.find(key);
    if (found == m_pending.end()) {
        return;
    }
    auto &pending = found->second;
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(pending.address, "/v1/requests/cancel");
    call.body = dumpJson({{"request_id", pending.requestId}});
    call.connectTimeout = m_context.config->timeouts.connect;
    call.totalTimeout = CallTimeout;
    call.freshConnection = pending.attempts > 0;
    call.step = "cancel";
    call.peer = pending.engine;
    ++pending.attempts;
    HttpHandlers handlers;
    handlers.onDone = [this, key](const Result<HttpResponse> &response) {
        const auto entry = m_pending.find(key);
        if (entry == m_pending.end()) {
            return;
        }
        if (!response || response->status != 200) {
            return scheduleRetry(key);
        }
        const auto done = std::move(entry->second.onConfirmed);
        m_context.counters.at("cancels_confirmed").add();
        m_context.timeline.add(EventKind::CancelConfirmed, entry->second.requestId, entry->second.engine);
        m_pending.erase(entry);
        if (done) {
            done();
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto RequestCanceller::scheduleRetry(const std::string &key) -> void
{
    const auto &pending = m_pending[key];
    if (m_context.clock.now() - pending.startedAt > MaxRetryTime) {
        CancelLog.warning("{} did not confirm the cancellation of {} in time", pending.engine, pending.requestId);
        m_context.counters.at("cancels_unconfirmed").add();
        m_pending.erase(key);
        return;
    }
    const auto delay = BackoffBase + backoff(pending.attempts, BackoffBase, LongestBackoff, m_context.random);
    m_context.loop.after(delay, [this, key]() { send(key); });
}

} // namespace currantstack
