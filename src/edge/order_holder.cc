#include "currantstack/edge/order_holder.h"

namespace currantstack
{

OrderHolder::OrderHolder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock)
    : m_context(context)
    , m_codec(codec)
    , m_store(store)
    , m_bootClock(bootClock)
    , m_timer(context.loop.timer([this]() {
        if (m_term.isHeld()) {
            keep();
        } else {
            look();
        }
    }))
    , m_term(LeaseTtl, context.settings.orderLease)
{ }

auto OrderHolder::start() -> void
{
    lookLater();
}

auto OrderHolder::stop() -> void
{
    *m_alive = false;
    m_timer->stop();
    m_term.end();
}

auto OrderHolder::lookLater() -> void
{
    // Spread, so that the VMs of a fleet do not all try at once.
    const std::uniform_real_distribution<double> spread(0.5, 1.5);
    m_timer->startOnce(fromMilliseconds(toMilliseconds(LookPeriod) * std::uniform_real_distribution<double>(spread)(m_context.random)));
}

auto OrderHolder::look() -> void
{
    m_store.readStale(m_codec.orderHolderKey(), [this, alive = m_alive](const Result<StoreRange> &range) {
        if (!*alive) {
            return;
        }
        if (range && range->values.empty()) {
            acquire();
        } else {
            lookLater();
        }
    });
}

auto OrderHolder::acquire() -> void
{
    const auto askedAt = m_bootClock.now();
    m_store.grantLease(LeaseTtl, [this, alive = m_alive, askedAt](const Result<std::int64_t> &lease) {
        if (!*alive) {
            return;
        }
        if (lease) {
            create(*lease, askedAt);
        } else {
            lookLater();
        }
    });
}

auto OrderHolder::create(std::int64_t lease, TimePoint grantedAt) -> void
{
    StoreTransaction transaction;
    transaction.compares.push_back({m_codec.orderHolderKey(), 0});
    transaction.puts.push_back({m_codec.orderHolderKey(), m_context.settings.vm, lease});
    m_store.commit(std::move(transaction), [this, alive = m_alive, lease, grantedAt](const Result<StoreOutcome> &outcome) {
        if (!*alive) {
            return;
        }
        if (!outcome || !outcome->applied) {
            // An unknown outcome is treated as a loss: the key then ends with its lease.
            m_context.log.write("orders", "holder_not_won", {{"error", outcome ? "another VM holds the key" : describe(outcome.error())}});
            lookLater();
            return;
        }
        m_lease = lease;
        m_term = OrderLease(LeaseTtl, m_context.settings.orderLease);
        m_term.begin(outcome->revision, grantedAt, m_bootClock.now());
        m_context.counters.at("order_holder").set(1);
        m_context.log.write("orders", "holder_won", {{"fence", m_term.token()}, {"lease", lease}});
        m_timer->startOnce(KeepPeriod);
    });
}

auto OrderHolder::keep() -> void
{
    const auto askedAt = m_bootClock.now();
    if (m_term.mayHaveExpired(askedAt)) {
        resign("the lease was not renewed in time");
        return;
    }
    m_store.renewLease(m_lease, [this, alive = m_alive, askedAt](const Result<bool> &kept) {
        if (!*alive || !m_term.isHeld()) {
            return;
        }
        if (kept && !*kept) {
            resign("the lease has ended");
            return;
        }
        if (kept) {
            m_term.renew(askedAt);
        }
        m_timer->startOnce(KeepPeriod);
    });
}

auto OrderHolder::fence() const -> std::optional<std::int64_t>
{
    return m_term.fence(m_bootClock.now());
}

auto OrderHolder::resign(std::string_view reason) -> void
{
    if (!m_term.isHeld()) {
        return;
    }
    m_context.log.write("orders", "holder_resigned", {{"fence", m_term.token()}, {"reason", reason}});
    m_context.counters.at("order_holder").set(0);
    m_term.end();
    lookLater();
}

} // namespace currantstack
