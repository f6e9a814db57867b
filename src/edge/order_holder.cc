#include "currantstack/edge/order_holder.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxNameBytes = 200;

/// Returns whether the value can be the name of a VM, as a holder writes it.
auto isHolder(std::string_view value) -> bool
{
    return !value.empty() && value.size() <= MaxNameBytes
        && std::none_of(value.begin(), value.end(), [](unsigned char byte) { return byte < ' ' || byte == 0x7f; });
}

} // namespace

OrderHolder::OrderHolder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock)
    : m_context(context)
    , m_codec(codec)
    , m_store(store)
    , m_bootClock(bootClock)
    , m_timer(context.loop.timer([this]() {
        if (m_orderLease.isHeld()) {
            verify();
        } else {
            checkHolder();
        }
    }))
    , m_orderLease(LeaseTtl, context.settings.orderLease)
{
    // The key may be gone although its older lease still renews, so that another VM can acquire it.
    m_store.onReturnedFromCopy([this]() { resign("the store has returned from an older copy"); });
}

auto OrderHolder::start() -> void
{
    scheduleCheck();
}

auto OrderHolder::stop() -> void
{
    *m_alive = false;
    m_timer->stop();
    m_orderLease.end();
}

auto OrderHolder::scheduleCheck() -> void
{
    // Jitter keeps the VMs of a fleet from checking at the same time.
    const std::uniform_real_distribution<double> jitter(0.5, 1.5);
    m_timer->startOnce(fromMilliseconds(toMilliseconds(CheckPeriod) * std::uniform_real_distribution<double>(jitter)(m_context.random)));
}

auto OrderHolder::checkHolder() -> void
{
    m_store.readStale(m_codec.orderHolderKey(), [this, alive = m_alive](const Result<StoreRange> &range) {
        if (!*alive) {
            return;
        }
        if (range) {
            onHolderRead(range->values);
        } else {
            scheduleCheck();
        }
    });
}

auto OrderHolder::onHolderRead(std::span<const StoreValue> values) -> void
{
    const auto key = m_codec.orderHolderKey();
    const auto found = std::find_if(values.begin(), values.end(), [&key](const StoreValue &value) { return value.key == key; });
    if (found == values.end()) {
        acquire(0);
        return;
    }
    if (isHolder(found->value)) {
        m_unreadableRevision = 0;
        scheduleCheck();
        return;
    }
    // Until the second check, a holder whose key was overwritten notices it.
    if (std::exchange(m_unreadableRevision, found->modRevision) == found->modRevision) {
        acquire(found->modRevision);
        return;
    }
    m_context.log.write("orders", "entry_ignored", {{"key", key}, {"revision", found->modRevision}, {"error", "names no VM"}});
    scheduleCheck();
}

auto OrderHolder::acquire(std::int64_t modRevision) -> void
{
    const auto requestedAt = m_bootClock.now();
    m_store.grantLease(LeaseTtl, [this, alive = m_alive, modRevision, requestedAt](const Result<std::int64_t> &lease) {
        if (!*alive) {
            return;
        }
        if (lease) {
            createKey(*lease, modRevision, requestedAt);
        } else {
            scheduleCheck();
        }
    });
}

auto OrderHolder::createKey(std::int64_t lease, std::int64_t modRevision, TimePoint requestedAt) -> void
{
    StoreTransaction transaction;
    transaction.compares.push_back({m_codec.orderHolderKey(), modRevision});
    transaction.puts.push_back({m_codec.orderHolderKey(), m_context.settings.vm, lease});
    m_store.commit(std::move(transaction), [this, alive = m_alive, lease, requestedAt](const Result<StoreOutcome> &outcome) {
        if (!*alive) {
            return;
        }
        if (!outcome || !outcome->applied) {
            // An unknown outcome is treated as a failure: if the key was created, it expires with its lease.
            m_context.log.write("orders", "holder_not_won", {{"error", outcome ? "another VM holds the key" : describe(outcome.error())}});
            scheduleCheck();
            return;
        }
        m_leaseId = lease;
        m_orderLease = OrderLease(LeaseTtl, m_context.settings.orderLease);
        m_orderLease.begin(outcome->revision, requestedAt, m_bootClock.now());
        m_context.counters.at("order_holder").set(1);
        m_context.log.write("orders", "holder_won", {{"fence", m_orderLease.token()}, {"lease", lease}});
        m_timer->startOnce(RenewPeriod);
    });
}

auto OrderHolder::verify() -> void
{
    m_store.read(m_codec.orderHolderKey(), true, [this, alive = m_alive](const Result<StoreRange> &range) {
        if (!*alive || !m_orderLease.isHeld()) {
            return;
        }
        const bool isOwn = !range || (!range->values.empty() && range->values.front().modRevision == m_orderLease.token());
        if (!isOwn) {
            resign("the key was overwritten or deleted");
        } else if (range) {
            renew();
        } else if (m_orderLease.mayHaveExpired(m_bootClock.now())) {
            resign("the lease was not renewed in time");
        } else {
            m_timer->startOnce(RenewPeriod);
        }
    });
}

auto OrderHolder::renew() -> void
{
    const auto requestedAt = m_bootClock.now();
    if (m_orderLease.mayHaveExpired(requestedAt)) {
        resign("the lease was not renewed in time");
        return;
    }
    m_store.renewLease(m_leaseId, [this, alive = m_alive, requestedAt](const Result<bool> &renewed) {
        if (!*alive || !m_orderLease.isHeld()) {
            return;
        }
        if (renewed && !*renewed) {
            resign("the lease has expired");
            return;
        }
        if (renewed) {
            m_orderLease.renew(requestedAt);
        }
        m_timer->startOnce(RenewPeriod);
    });
}

auto OrderHolder::fencingToken() const -> std::optional<std::int64_t>
{
    return m_orderLease.fencingToken(m_bootClock.now());
}

auto OrderHolder::resign(std::string_view reason) -> void
{
    if (!m_orderLease.isHeld()) {
        return;
    }
    m_context.log.write("orders", "holder_resigned", {{"fence", m_orderLease.token()}, {"reason", reason}});
    m_context.counters.at("order_holder").set(0);
    m_orderLease.end();
    scheduleCheck();
}

} // namespace currantstack
