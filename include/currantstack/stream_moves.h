// Decision whether to move a stream from a slow decode engine to another.
#pragma once

namespace currantstack
{

/// Progress and token gaps of a stream.
struct StreamProgress
{
    int consecutiveSlowGaps = 0;
    double lastRatio = 1; // last gap / expected gap
    int lateGaps = 0; // that exceeded the target
    int delivered = 0; // tokens
    int maxTokens = 0; // requested by the caller
    int moves = 0; // so far
};

/// Returns whether moving the stream is worth another prefill: the engine is slow over several gaps or very slow in one, enough tokens
/// remain, and the share of late gaps, including the one that the move causes, can still be at most `maxLateShare`.
inline auto isWorthMoving(const StreamProgress &progress, double maxLateShare) -> bool
{
    constexpr int MinSlowGaps = 2;
    constexpr double VerySlowRatio = 3; // gap / expected gap, from which one gap suffices
    constexpr int MinRemaining = 8; // tokens
    constexpr int MaxMoves = 2;
    const int remaining = progress.maxTokens - progress.delivered;
    const bool slow =
        progress.consecutiveSlowGaps >= MinSlowGaps || (progress.consecutiveSlowGaps > 0 && progress.lastRatio >= VerySlowRatio);
    if (!slow || remaining < MinRemaining || progress.moves >= MaxMoves) {
        return false;
    }
    return progress.lateGaps + 1 <= maxLateShare * (progress.maxTokens - 1);
}

} // namespace currantstack
