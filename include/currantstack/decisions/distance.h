// How far two places are from each other.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

enum class Reach
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
    auto between(std::string_view left, std::string_view right) const -> Reach
    {
        if (left == right) {
            return Reach::SamePlace;
        }
        const auto a = m_regions.find(left);
        const auto b = m_regions.find(right);
        return a != m_regions.end() && b != m_regions.end() && a->second == b->second ? Reach::SameRegion : Reach::OtherRegion;
    }

private:
    std::map<std::string, std::string, std::less<>> m_regions; // by place
};

/// Returns the usual time of a round trip: under a millisecond in a place, 20 ms one way between regions.
inline auto roundTrip(Reach reach) -> Duration
{
    switch (reach) {
    case Reach::SamePlace:
        return microseconds(300);
    case Reach::SameRegion:
        return milliseconds(3);
    case Reach::OtherRegion:
        break;
    }
    return milliseconds(40);
}

/// Returns by how much KV cache moves slower than inside one place.
inline auto transferFactor(Reach reach) -> double
{
    switch (reach) {
    case Reach::SamePlace:
        return 1;
    case Reach::SameRegion:
        return 2;
    case Reach::OtherRegion:
        break;
    }
    return 10;
}

} // namespace currantstack
