// Estimates of prefill and decode times, from requests that this VM relayed.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// An exponential moving average with an initial value. `weight` is the weight of a new sample.
class MovingAverage
{
public:
    explicit MovingAverage(double start, double weight = 0.1)
        : m_value(start)
        , m_weight(weight)
    { }

    auto observe(double value) -> void
    {
        m_value += m_weight * (value - m_value);
    }

    auto value() const -> double
    {
        return m_value;
    }

private:
    double m_value;
    double m_weight;
};

/// Estimated service times of one model's pools.
class ModelEstimate
{
public:
    /// Records the duration of a prefill. `computedTokens` excludes the tokens from the prefix cache.
    auto observePrefill(std::int64_t computedTokens, std::int64_t promptTokens, std::size_t promptBytes, Duration duration) -> void;

    /// Records the time from the decode request to its first token, which includes the KV transfer.
    auto observeDecodeStart(std::int64_t promptTokens, Duration duration) -> void;
    auto observeTokenGap(Duration gap) -> void;

    /// Records which share of a prompt was cached at the engine that the prefix map returned for it.
    auto observeCacheHit(double cachedShare) -> void;
    auto cacheHitShare() const -> double;

    auto estimateTokens(std::size_t promptBytes) const -> std::int64_t;
    auto prefillMs(std::int64_t computedTokens) const -> double;
    auto decodeStartMs(std::int64_t promptTokens) const -> double;
    auto tokenGapMs() const -> double;
    auto microsPerToken() const -> double;

private:
    MovingAverage m_bytesPerToken{5, 0.05}; // prompt bytes
    MovingAverage m_prefillMicrosPerToken{30, 0.05};
    MovingAverage m_decodeStartMs{25, 0.05}; // part of the decode start that does not depend on the prompt
    MovingAverage m_decodeStartMicrosPerToken{13, 0.05}; // KV transfer per prompt token
    MovingAverage m_tokenGapMs{15, 0.01};
    MovingAverage m_cacheHitShare{0.3, 0.05};
};

} // namespace currantstack
