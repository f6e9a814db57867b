// Decides whether a stream may wait for capacity, and when a refused caller should come back.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/placement.h"

namespace currantstack
{

/// What is known about the wait of a stream that joins the queue now.
struct QueueEstimate
{
    int ahead = 0; // streams at all VMs that are placed before it
    int running = 0; // streams at the engines that it can use
    Duration streamDuration = Duration::zero(); // mean time for which one occupies its engine
    Duration longestWait = Duration::zero(); // so far, of the streams ahead at this VM
    int waiting = 0; // streams at all VMs, late ones included
};

/// Returns the expected wait for capacity: the time in which the engines complete the streams ahead, or the wait of the first one, which
/// shows sooner that they do not keep up.
auto expectedWait(const QueueEstimate &estimate) -> Duration;

/// Returns whether a newcomer may wait, if a wait of up to `longestUseful` lets it meet its goal. Estimates are uncertain, and a refusal
/// at once costs its caller less than one after a wait in vain.
auto mayWait(Duration expected, Duration longestUseful) -> bool;

/// Returns how long a stream with this latency goal waits in all if it misses the goal: callers still use a late answer, but leave after
/// a multiple of the goal. `timeLeft` is what the caller allows until the stream must begin.
auto lateWait(Duration goal, Duration timeLeft) -> Duration;

/// Returns whether a stream that is expected to miss its goal may wait for up to `lateWait` behind those that can meet theirs.
auto mayWaitLate(const QueueEstimate &estimate, Duration lateWait) -> bool;

/// Returns the Retry-After of a refusal under load: some time after the expected wait, drawn at random, so that the callers who were
/// refused in a peak return neither into it nor all at once.
auto returnDelay(Duration expectedWait, Random &random) -> Duration;

} // namespace currantstack
