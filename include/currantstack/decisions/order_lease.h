// For how long the holder of a leased key may give orders.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <optional>

namespace currantstack
{

/// One term as holder. Times are of a clock that goes on while the machine stands still.
class OrderLease
{
public:
    /// An order that is sent now arrives within it.
    static constexpr Duration SendMargin = milliseconds(1000);

    /// `predecessorLease` is how long after its loss of the key a former holder's orders may still arrive.
    OrderLease(Duration leaseTtl, Duration predecessorLease)
        : m_leaseTtl(leaseTtl)
        , m_predecessorLease(predecessorLease)
    { }

    /// Notes that the key was won with the fencing token, by a lease that was asked for at `askedAt`.
    auto begin(std::int64_t fence, TimePoint askedAt, TimePoint now) -> void;

    /// Notes that the lease was renewed by a call sent at `askedAt`: it counts from its arrival, which is no earlier.
    auto renew(TimePoint askedAt) -> void;
    auto end() -> void;

    auto isHeld() const -> bool
    {
        return m_fence != 0;
    }

    auto token() const -> std::int64_t
    {
        return m_fence;
    }

    /// Returns whether the lease may have ended, so that another VM may hold the key.
    auto mayHaveExpired(TimePoint now) const -> bool
    {
        return now >= m_validUntil;
    }

    /// Returns the fencing token where orders may be sent now: the key is held for certain until they arrive, and those of the
    /// former holder are past.
    auto fence(TimePoint now) const -> std::optional<std::int64_t>;

private:
    Duration m_leaseTtl;
    Duration m_predecessorLease;
    std::int64_t m_fence = 0; // 0: not the holder
    TimePoint m_heldSince;
    TimePoint m_validUntil;
};

} // namespace currantstack
