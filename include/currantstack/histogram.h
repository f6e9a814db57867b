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
    /// Records one value; values out of range are counted in the first or last bucket.
    auto record(Duration value) -> void;

    /// Returns the quantile (0 to 1) of the recorded values, or zero if there are none.
    auto quantile(double quantile) const -> Duration;

    auto count() const -> std::uint64_t
    {
        return m_count;
    }

    auto clear() -> void;

private:
    static constexpr int SubBuckets = 32;
    static constexpr int Exponents = 28;
    static auto bucketIndex(std::uint64_t micros) -> int;
    static auto upperEdge(int bucket) -> std::uint64_t;

    std::array<std::uint32_t, SubBuckets * Exponents> m_buckets{};
    std::uint64_t m_count = 0;
};

} // namespace currantstack
