// Retry budget and exponential back-off.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

/// Token bucket that bounds retries and hedges to a share of the successful requests, whatever caused them.
class RetryBudget
{
public:
    static constexpr double InitialTokens = 20; // attempts allowed before any success
    static constexpr double MaxTokens = 100;

    explicit RetryBudget(double share)
        : m_share(share)
    { }

    auto setShare(double share) -> void
    {
        m_share = share;
    }

    auto onSuccess() -> void
    {
        m_tokens = std::min(MaxTokens, m_tokens + m_share);
    }

    /// Takes a token. Returns false if none is left, in which case the attempt must not be made.
    auto tryAcquire() -> bool
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    auto remaining() const -> double
    {
        return m_tokens;
    }

private:
    double m_share;
    double m_tokens = InitialTokens;
};

/// Returns a uniformly random wait from 0 to min(maxWait, base × 2^attempt) ("full jitter").
inline auto backoff(int attempt, Duration base, Duration maxWait, Random &random) -> Duration
{
    const double bound = std::min(toSeconds(maxWait), toSeconds(base) * std::pow(2.0, std::min(attempt, 30)));
    return fromMilliseconds(1000 * std::uniform_real_distribution<double>(0, bound)(random));
}

} // namespace currantstack
