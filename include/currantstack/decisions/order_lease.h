// Decides when the holder of a leased key may send orders.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <optional>

namespace currantstack
{

/// The lease of one order holder. All times are of a clock that also advances while the machine is suspended.
class OrderLease
{
public:
    /// Upper bound of the time from sending an order to its arrival.
    static constexpr Duration SendMargin = milliseconds(1000);

    /// Orders of the previous holder may still arrive for `predecessorLease` after it lost the key.
    OrderLease(Duration leaseTtl, Duration predecessorLease)
        : m_leaseTtl(leaseTtl)
        , m_predecessorLease(predecessorLease)
    { }

    /// Records that the key was acquired with the fencing token, under a lease that was requested at `requestedAt`.
    auto begin(std::int64_t token, TimePoint requestedAt, TimePoint now) -> void;

    /// Records that a call sent at `requestedAt` renewed the lease. The new term counts from that time, as the store received the
    /// call no earlier.
    auto renew(TimePoint requestedAt) -> void;
    auto end() -> void;

    auto isHeld() const -> bool
    {
        return m_token != 0;
    }

    auto token() const -> std::int64_t
    {
        return m_token;
    }

    /// Returns whether the lease may have expired, so that another VM may hold the key.
    auto mayHaveExpired(TimePoint now) const -> bool
    {
        return now >= m_validUntil;
    }

    /// Returns the fencing token if an order may be sent now: the key is held until the order arrives, and no order of the previous
    /// holder can still arrive.
    auto fencingToken(TimePoint now) const -> std::optional<std::int64_t>;

private:
    Duration m_leaseTtl;
    Duration m_predecessorLease;
    std::int64_t m_token = 0; // 0: not the holder
    TimePoint m_heldSince;
    TimePoint m_validUntil;
};

} // namespace currantstack
