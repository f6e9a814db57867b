// Decides which of the streams that wait for the engines of a service is placed next.
#pragma once

#include "currantstack/clock.h"

#include <functional>
#include <span>

namespace currantstack
{

/// A stream that waits for capacity.
struct WaitingStream
{
    int rank = 0; // of its route; 0 is the highest
    TimePoint arrivedAt;
    TimePoint lateAt; // from which on it cannot meet its latency goal any more
    bool begun = false; // it has been placed before, or its caller already has events
};

/// Streams that have begun go first, then the highest rank, then those that can still meet their goal, by goal, then the late ones. Of the
/// placements that overtake a stream of a lower rank, each `LowerRankPeriod`-th goes to the one that has waited longest instead, so that no
/// rank starves.
class PlacementOrder
{
public:
    static constexpr int LowerRankPeriod = 5;

    /// Returns whether the first of two streams goes before the second.
    using Compare = std::function<bool(const WaitingStream &left, const WaitingStream &right, TimePoint now)>;

    explicit PlacementOrder(Compare goesBefore = byRankAndGoal)
        : m_goesBefore(std::move(goesBefore))
    { }

    static auto byRankAndGoal(const WaitingStream &left, const WaitingStream &right, TimePoint now) -> bool;

    /// Returns the index of the stream to place next; `waiting` must not be empty.
    auto next(std::span<const WaitingStream> waiting, TimePoint now) const -> std::size_t;

    /// Returns whether it is the turn of a stream that others of a higher rank have overtaken.
    auto isTurnOfLowerRank(std::span<const WaitingStream> waiting) const -> bool;

    /// Records that a stream left the queue in which `others` go on waiting.
    auto onPlaced(const WaitingStream &placed, std::span<const WaitingStream> others) -> void;

private:
    Compare m_goesBefore;
    int m_overtakings = 0; // since a stream of a lower rank was placed
};

} // namespace currantstack
