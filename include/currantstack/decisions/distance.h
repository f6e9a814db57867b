// How far two places are from each other.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

enum class Distance
{
    SamePlace,
    SameRegion,
    OtherRegion,
};

/// The region of each place.
class PlaceMap
{
public:
    PlaceMap() = default;

    explicit PlaceMap(std::map<std::string, std::string, std::less<>> regions)
        : m_regions(std::move(regions))
    { }

    /// Returns how far the places are apart; an unknown place counts as another region.
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

/// Returns the usual time of a round trip: under a millisecond in a place, 20 ms one way between regions.
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

/// Returns by how much KV cache moves slower than inside one place.
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
