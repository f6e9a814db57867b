// Whether a stream is moved away from a slow decode engine.
#pragma once

namespace currantstack
{

/// How a stream went so far.
struct StreamPace
{
    int slowGapsInARow = 0;
    double lastRatio = 1; // of the last gap to the expected one
    int lateGaps = 0; // over the target
    int delivered = 0; // tokens
    int maxTokens = 0; // that the caller asked for
    int moves = 0; // made already
};

/// Returns whether moving is worth another prefill: the engine is slow and not just late once, enough of the answer is left, and the
/// answer can still meet its target of `lateShare` late gaps, one of which the move costs.
inline auto isWorthMoving(const StreamPace &pace, double lateShare) -> bool
{
    constexpr int SlowGaps = 2;
    constexpr double PlainlySlow = 3; // ratio from which one gap is enough
    constexpr int MinRemaining = 8; // tokens
    constexpr int MaxMoves = 2;
    const int remaining = pace.maxTokens - pace.delivered;
    const bool slow = pace.slowGapsInARow >= SlowGaps || (pace.slowGapsInARow > 0 && pace.lastRatio >= PlainlySlow);
    if (!slow || remaining < MinRemaining || pace.moves >= MaxMoves) {
        return false;
    }
    return pace.lateGaps + 1 <= lateShare * (pace.maxTokens - 1);
}

} // namespace currantstack
