// Election of the one VM that may send orders to engines: the holder of a leased key, whose revision is the fencing token.
#pragma once

#include "currantstack/decisions/order_lease.h"
#include "currantstack/edge/context.h"
#include "currantstack/store.h"

namespace currantstack
{

/// Competes for the key, renews its lease while the key holds what it wrote, and decides whether this VM may send orders now.
class OrderHolder
{
public:
    static constexpr seconds LeaseTtl{5}; // bounds how long no orders are sent after the holder has failed
    static constexpr Duration RenewPeriod = milliseconds(1500); // two renewals in a row may fail before the lease expires
    static constexpr Duration CheckPeriod = seconds(4); // between checks whether the key is free, each a stale read

    /// `bootClock` also advances while the process or its machine is suspended.
    OrderHolder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock);

    auto start() -> void;
    auto stop() -> void;

    /// Returns the fencing token if this VM may send orders: its lease is certainly valid, and orders of the previous holder can no
    /// longer arrive.
    auto fencingToken() const -> std::optional<std::int64_t>;

    /// Stops acting as the holder, because the lease may have expired or an engine has accepted a higher fencing token.
    auto resign(std::string_view reason) -> void;

private:
    auto checkHolder() -> void;
    auto onHolderRead(std::span<const StoreValue> values) -> void;
    auto acquire(std::int64_t modRevision) -> void;
    auto createKey(std::int64_t lease, std::int64_t modRevision, TimePoint requestedAt) -> void;
    auto verify() -> void;
    auto renew() -> void;
    auto scheduleCheck() -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    const Clock &m_bootClock;
    std::unique_ptr<Timer> m_timer;
    std::int64_t m_leaseId = 0; // in the store
    std::int64_t m_unreadableRevision = 0; // of the key when the last check found it unreadable
    OrderLease m_orderLease;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
