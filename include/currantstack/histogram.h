// A log-linear histogram of durations, with a relative error under 4%.
#pragma once

#include "currantstack/clock.h"

#include <array>
#include <cstdint>

namespace currantstack
{

/// Counts durations from 1 us to about 70 minutes.
class Histogram
{
public:
    /// Adds one observation; values out of range go to the nearest end.
    auto record(Duration value) -> void;

    /// Returns the duration below which the share `quantile` (0 to 1) of the observations lies, 0 without any.
    auto quantile(double quantile) const -> Duration;

    auto count() const -> std::uint64_t
    {
        return m_count;
    }

    auto clear() -> void;

private:
    static constexpr int SubBuckets = 32;
    static constexpr int Exponents = 28;
    static auto bucketOf(std::uint64_t micros) -> int;
    static auto upperEdge(int bucket) -> std::uint64_t;

    std::array<std::uint32_t, SubBuckets * Exponents> m_buckets{};
    std::uint64_t m_count = 0;
};

} // namespace currantstack
