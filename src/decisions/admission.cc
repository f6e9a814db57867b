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

} // namespace

auto expectedWait(const QueueEstimate &estimate) -> Duration
{
    const auto byRate = toMilliseconds(estimate.streamDuration) * (estimate.ahead + 1) / std::max(1, estimate.running);
    return std::max<Duration>(fromMilliseconds(byRate), estimate.longestWait);
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
