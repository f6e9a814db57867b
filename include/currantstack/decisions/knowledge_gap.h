// Whether a VM may have missed what its peers know, because it has just started or was suspended.
#pragma once

#include "currantstack/clock.h"

#include <optional>

namespace currantstack
{

/// Opens at the start of a VM and after each suspension, and is closed by a read of the version record, its own or that of a peer. All
/// times are of a clock that also advances during a suspension.
class KnowledgeGap
{
public:
    /// A VM whose timers did not run for this time was suspended.
    static constexpr Duration SuspensionTime = milliseconds(500);
    /// A VM that no peer tells anything knows after this time what has mattered since: longer than a caller keeps trying to complete one
    /// stream. The store lists what there is, not what there was.
    static constexpr Duration Lifetime = seconds(60);

    /// Records the start, unless timers run already.
    auto begin(TimePoint now) -> void
    {
        if (!m_tickedAt) {
            tick(now);
        }
    }

    /// Records that timers run; to be called several times per `SuspensionTime`.
    auto tick(TimePoint now) -> void
    {
        if (wasSuspended(now)) {
            m_openedAt = now;
        }
        m_tickedAt = now;
    }

    /// Records that a read that was begun, or a question that was asked, at the time has been answered. One of before a suspension closes
    /// no gap.
    auto close(TimePoint askedAt, TimePoint now) -> void
    {
        if (!wasSuspended(now) && (!m_openedAt || askedAt >= *m_openedAt)) {
            m_openedAt.reset();
        }
    }

    auto isOpen(TimePoint now) const -> bool
    {
        return wasSuspended(now) || (m_openedAt && now - *m_openedAt < Lifetime);
    }

private:
    auto wasSuspended(TimePoint now) const -> bool
    {
        return !m_tickedAt || now - *m_tickedAt > SuspensionTime;
    }

    std::optional<TimePoint> m_tickedAt;
    std::optional<TimePoint> m_openedAt;
};

} // namespace currantstack
