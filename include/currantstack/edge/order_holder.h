// One VM at a time gives orders to engines: the holder of a leased key, whose revision is its fencing token.
#pragma once

#include "currantstack/decisions/order_term.h"
#include "currantstack/edge/context.h"
#include "currantstack/store.h"

namespace currantstack
{

/// Tries to hold the key, and tells whether this VM may order now.
class OrderHolder
{
public:
    static constexpr seconds LeaseTtl{5}; // how long orders pause after a holder has died
    static constexpr Duration RenewPeriod = milliseconds(1500); // two renewals may fail before the lease ends
    static constexpr Duration CheckPeriod = seconds(4); // between looks at whether the key is free; a stale read each

    /// `bootClock` goes on while the process or its machine stands still.
    OrderHolder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock);

    auto start() -> void;
    auto stop() -> void;

    /// Returns the fencing token where this VM may order: it holds the key for certain, and its predecessor's last order is past.
    auto fencingToken() const -> std::optional<std::int64_t>;

    /// Gives the key up: an engine knows a higher token.
    auto resign(std::string_view reason) -> void;

private:
    auto checkHolder() -> void;
    auto acquire() -> void;
    auto createKey(std::int64_t lease, TimePoint grantedAt) -> void;
    auto renew() -> void;
    auto scheduleCheck() -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    const Clock &m_bootClock;
    std::unique_ptr<Timer> m_timer;
    std::int64_t m_lease = 0;
    OrderTerm m_orderLease;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
