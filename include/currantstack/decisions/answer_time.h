// How long the store takes to answer, and how long to wait for it.
#pragma once

#include "currantstack/clock.h"

#include <algorithm>

namespace currantstack
{

/// Follows the time in which answers begin: a slower answer counts at once, and each faster one halves what is left of slower ones. A store
/// that answers slowly is thereby told from one that does not answer, which leaves the time unchanged.
class AnswerTime
{
public:
    static constexpr int Patience = 2; // how many times the answer time a call waits
    static constexpr Duration LongestWait = seconds(6);

    auto observe(Duration time) -> void
    {
        m_time = std::max(time, m_time / 2);
    }

    auto value() const -> Duration
    {
        return m_time;
    }

    /// Returns how long a call waits for its answer, which is `usual` unless the store is slow.
    auto waitFor(Duration usual) const -> Duration
    {
        return std::max(usual, std::min<Duration>(Patience * m_time, LongestWait));
    }

private:
    Duration m_time = Duration::zero();
};

} // namespace currantstack
