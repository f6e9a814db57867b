// Network distance between places, and what it costs in round trips and KV transfers.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// How far apart two places are.
enum class Distance
{
    SamePlace,
    SameRegion,
    OtherRegion,
};

/// Maps each place to its region.
class PlaceMap
{
public:
    PlaceMap() = default;

    explicit PlaceMap(std::map<std::string, std::string, std::less<>> regions)
        : m_regions(std::move(regions))
    { }

    /// Returns the distance between the places; an unknown place counts as in another region.
    auto distance(std::string_view left, std::string_view right) const -> Distance
    {
        if (left == right) {
            return Distance::SamePlace;
        }
        const auto a = m_regions.find(left);
        const auto b = m_regions.find(right);
        return a != m_regions.end() && b != m_regions.end() && a->second == b->second ? Distance::SameRegion : Distance::OtherRegion;
    }

private:
    std::map<std::string, std::string, std::less<>> m_regions; // by place
};

/// Returns the typical round-trip time: under a millisecond within a place, 20 ms one way between regions.
inline auto roundTripTime(Distance distance) -> Duration
{
    switch (distance) {
    case Distance::SamePlace:
        return microseconds(300);
    case Distance::SameRegion:
        return milliseconds(3);
    case Distance::OtherRegion:
        break;
    }
    return milliseconds(40);
}

/// Returns the factor by which a KV cache transfer is slower than within one place.
inline auto transferFactor(Distance distance) -> double
{
    switch (distance) {
    case Distance::SamePlace:
        return 1;
    case Distance::SameRegion:
        return 2;
    case Distance::OtherRegion:
        break;
    }
    return 10;
}

} // namespace currantstack
