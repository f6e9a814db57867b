// The budget for retries and hedges, and the time between tries.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

/// Allows extra work as a share of the work that succeeded, over all causes.
class RetryBudget
{
public:
    static constexpr double Reserve = 20; // tries allowed before any success
    static constexpr double Cap = 100;

    explicit RetryBudget(double share)
        : m_share(share)
    { }

    auto setShare(double share) -> void
    {
        m_share = share;
    }

    auto onSuccess() -> void
    {
        m_tokens = std::min(Cap, m_tokens + m_share);
    }

    /// Returns whether one more try is allowed, and counts it.
    auto tryAcquire() -> bool
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    auto left() const -> double
    {
        return m_tokens;
    }

private:
    double m_share;
    double m_tokens = Reserve;
};

/// Returns a random wait up to base × 2^attempt, at most `longest` ("full jitter").
inline auto backoff(int attempt, Duration base, Duration longest, Random &random) -> Duration
{
    const double limit = std::min(toSeconds(longest), toSeconds(base) * std::pow(2.0, std::min(attempt, 30)));
    return fromMilliseconds(1000 * std::uniform_real_distribution<double>(0, limit)(random));
}

} // namespace currantstack
