#include "currantstack/decisions/admission.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double AdmittedWaitShare = 0.9; // of the longest useful wait
// Bounds of the earliest return. Load peaks last seconds, and callers follow a Retry-After of up to a third of their remaining time.
constexpr Duration ShortestReturn = milliseconds(1000);
constexpr Duration LongestReturn = milliseconds(3000);
constexpr double ReturnFactor = 2; // earliest return as a multiple of the expected wait
constexpr Duration ReturnSpread = milliseconds(1600);

constexpr double LateWaitFactor = 3; // of the latency goal
// Streams that arrive later and can meet their goal go first, so that a late one waits for longer than the present queue lasts.
constexpr double LateBacklogShare = 0.35;

/// Returns the time in which the engines complete this many streams.
auto timeToComplete(int streams, const QueueEstimate &estimate) -> Duration
{
    return fromMilliseconds(toMilliseconds(estimate.streamDuration) * streams / std::max(1, estimate.running));
}

} // namespace

auto expectedWait(const QueueEstimate &estimate) -> Duration
{
    return std::max<Duration>(timeToComplete(estimate.ahead + 1, estimate), estimate.longestWait);
}

auto lateWait(Duration goal, Duration timeLeft) -> Duration
{
    return std::min(fromMilliseconds(LateWaitFactor * toMilliseconds(goal)), timeLeft);
}

auto mayWaitLate(const QueueEstimate &estimate, Duration lateWait) -> bool
{
    return toMilliseconds(timeToComplete(estimate.waiting + 1, estimate)) <= LateBacklogShare * toMilliseconds(lateWait);
}

auto mayWait(Duration expected, Duration longestUseful) -> bool
{
    return toMilliseconds(expected) <= AdmittedWaitShare * toMilliseconds(longestUseful);
}

auto returnDelay(Duration expectedWait, Random &random) -> Duration
{
    const auto earliest = std::clamp(fromMilliseconds(ReturnFactor * toMilliseconds(expectedWait)), ShortestReturn, LongestReturn);
    std::uniform_real_distribution<double> spreadMs(0, toMilliseconds(ReturnSpread));
    return earliest + fromMilliseconds(spreadMs(random));
}

} // namespace currantstack
