#include "currantstack/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace currantstack
{

auto Histogram::bucketIndex(std::uint64_t micros) -> int
{
    if (micros < SubBuckets) {
        return static_cast<int>(micros);
    }
    const int shift = std::bit_width(micros) - std::bit_width(static_cast<unsigned>(SubBuckets));
    const int sub = static_cast<int>((micros >> shift) - SubBuckets);
    const int index = (shift + 1) * SubBuckets + sub;
    return std::min(index, SubBuckets * Exponents - 1);
}

auto Histogram::upperEdge(int bucket) -> std::uint64_t
{
    if (bucket < SubBuckets) {
        return static_cast<std::uint64_t>(bucket);
    }
    const int shift = bucket / SubBuckets - 1;
    const int sub = bucket % SubBuckets;
    return (static_cast<std::uint64_t>(sub + SubBuckets + 1) << shift) - 1;
}

auto Histogram::record(Duration value) -> void
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    ++m_buckets[bucketIndex(static_cast<std::uint64_t>(std::max<long long>(micros, 0)))];
    ++m_count;
}

auto Histogram::quantile(double quantile) const -> Duration
{
    if (m_count == 0) {
        return Duration::zero();
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(m_count)));
    std::uint64_t cumulative = 0;
    for (int bucket = 0; bucket < SubBuckets * Exponents; ++bucket) {
        cumulative += m_buckets[bucket];
        if (cumulative >= std::max<std::uint64_t>(rank, 1)) {
            return std::chrono::microseconds(upperEdge(bucket));
        }
    }
    return std::chrono::microseconds(upperEdge(SubBuckets * Exponents - 1));
}

auto Histogram::clear() -> void
{
    m_buckets.fill(0);
    m_count = 0;
}

} // namespace currantstack
