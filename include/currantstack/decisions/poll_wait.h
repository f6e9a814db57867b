// Decides how long a long poll of the store waits for a change.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/placement.h"

#include <algorithm>
#include <random>

namespace currantstack
{

/// Spaces the polls of all VMs. A change that one VM's watch misses is found by the next poll of another VM, which announces the revision
/// to its peers, so that polls may be as long as there are VMs. A poll that outlasts the store's history is in vain: it ends with the loss
/// of the history, and the VM reads everything.
class PollWait
{
public:
    /// Average interval between the polls of all VMs together. It puts a change that a watch has missed in force within 2.5 s, with half of
    /// that time as margin.
    static constexpr Duration Spacing = milliseconds(250);
    static constexpr Duration Shortest = seconds(2);
    static constexpr Duration Longest = seconds(25); // with jitter, what the store allows
    static constexpr int HistoryShare = 2; // polls wait for one part of so many of the store's history, which may be dropped sooner
    static constexpr double Jitter = 0.2; // share of the wait; polls that one change has ended would end together again

    /// Returns the average wait of one VM's polls among `vms`, if the store keeps its history for `history` (zero: not known).
    static auto average(std::size_t vms, Duration history) -> Duration
    {
        const auto spaced =
            std::clamp<Duration>(Spacing * static_cast<int>(std::min<std::size_t>(vms, Longest / Spacing)), Shortest, Longest);
        return history > Duration::zero() ? std::min<Duration>(spaced, history / HistoryShare) : spaced;
    }

    /// Returns the average wait of polls by which the store confirms at least once in `limit` that nothing has changed.
    static auto confirmingWithin(Duration limit, Duration average) -> Duration
    {
        return std::min<Duration>(average, limit / 2); // with jitter and the time of an answer
    }

    /// Returns the wait of the next poll.
    static auto next(Duration average, Random &random) -> Duration
    {
        return fromMilliseconds(toMilliseconds(average) * std::uniform_real_distribution<double>(1 - Jitter, 1 + Jitter)(random));
    }
};

} // namespace currantstack
