// Estimates of service times, learned from this VM's own observations.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// A moving average that starts at a stated value.
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

/// Service times of one model's pools.
class ModelEstimate
{
public:
    /// Records that a prefill of `freshTokens` took the time, for a prompt of so many bytes and tokens.
    auto observePrefill(std::int64_t freshTokens, std::int64_t promptTokens, std::size_t promptBytes, Duration length) -> void;

    /// Records the time from the decode request to its first token, for a prompt of so many tokens.
    auto observeDecodeStart(std::int64_t promptTokens, Duration length) -> void;
    auto observeGap(Duration gap) -> void;

    /// Records which share of a prompt was found in the cache of the engine that was thought to hold its prefix.
    auto observeHit(double cachedShare) -> void;
    auto hitShare() const -> double;

    auto estimateTokens(std::size_t promptBytes) const -> std::int64_t;
    auto prefillMs(std::int64_t freshTokens) const -> double;
    auto decodeStartMs(std::int64_t promptTokens) const -> double;
    auto gapMs() const -> double;
    auto microsPerToken() const -> double;

private:
    MovingAverage m_bytesPerToken{5, 0.05};
    MovingAverage m_prefillMicrosPerToken{30, 0.05};
    MovingAverage m_startMs{25, 0.05};
    MovingAverage m_startMicrosPerToken{13, 0.05};
    MovingAverage m_gapMs{15, 0.01};
    MovingAverage m_hitShare{0.3, 0.05};
};

} // namespace currantstack
