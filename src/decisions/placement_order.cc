#include "currantstack/decisions/placement_order.h"

#include <algorithm>
#include <tuple>

namespace currantstack
{

namespace
{

auto highestRank(std::span<const WaitingStream> waiting) -> int
{
    return std::min_element(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) { return left.rank < right.rank; })
        ->rank;
}

} // namespace

auto PlacementOrder::byRankAndGoal(const WaitingStream &left, const WaitingStream &right, TimePoint now) -> bool
{
    const auto key = [now](const WaitingStream &stream) {
        return std::tuple(stream.rank, now > stream.lateAt, stream.lateAt, stream.arrivedAt);
    };
    return key(left) < key(right);
}

auto PlacementOrder::isTurnOfLowerRank(std::span<const WaitingStream> waiting) const -> bool
{
    if (waiting.empty() || m_overtakings + 1 < LowerRankPeriod) {
        return false;
    }
    const auto highest = highestRank(waiting);
    const bool hasBegun = std::any_of(waiting.begin(), waiting.end(), [](const auto &stream) { return stream.begun; });
    return !hasBegun && std::any_of(waiting.begin(), waiting.end(), [highest](const auto &stream) { return stream.rank > highest; });
}

auto PlacementOrder::next(std::span<const WaitingStream> waiting, TimePoint now) const -> std::size_t
{
    const auto highest = highestRank(waiting);
    const bool isTurn = isTurnOfLowerRank(waiting);
    const auto goesBefore = [&](const WaitingStream &left, const WaitingStream &right) {
        if (left.begun != right.begun) {
            return left.begun;
        }
        if (left.begun) {
            return left.arrivedAt < right.arrivedAt;
        }
        if (isTurn) {
            return std::tuple(left.rank == highest, left.arrivedAt) < std::tuple(right.rank == highest, right.arrivedAt);
        }
        return m_goesBefore(left, right, now);
    };
    return static_cast<std::size_t>(std::min_element(waiting.begin(), waiting.end(), goesBefore) - waiting.begin());
}

auto PlacementOrder::onPlaced(const WaitingStream &placed, std::span<const WaitingStream> others) -> void
{
    const bool overtakes = std::any_of(others.begin(), others.end(), [&placed](const auto &other) {
        return other.rank > placed.rank && other.arrivedAt < placed.arrivedAt;
    });
    const bool isLower = std::any_of(others.begin(), others.end(), [&placed](const auto &other) { return other.rank < placed.rank; });
    if (overtakes) {
        ++m_overtakings;
    } else if (isLower || others.empty()) {
        m_overtakings = 0;
    }
}

} // namespace currantstack
