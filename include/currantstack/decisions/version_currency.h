// As of when a VM knows all software versions that upstreams have.
#pragma once

#include "currantstack/clock.h"

#include <algorithm>

namespace currantstack
{

/// Contact with most of the fleet keeps a VM's knowledge current, because VMs tell each other at once of a version that appears. After
/// an interruption, it is current again once the store or a peer has told what there is, or once the contact has lasted for so long
/// that each VM has told.
class VersionCurrency
{
public:
    /// Knowledge of this age is outdated. Longer than the time between two reports of an idle VM, and, together with the longest
    /// suspension that goes unnoticed (`KnowledgeGap`), shorter than the time for which a new version gets no streams.
    static constexpr Duration MaxAge = milliseconds(800);
    /// Contact in which each VM has reported all versions that it knows.
    static constexpr Duration ContactTime = seconds(1);

    /// Records that most VMs have been heard since the time. To be called several times per `MaxAge`.
    auto onMostHeard(TimePoint since, TimePoint now) -> void
    {
        if (now - m_heardAt >= MaxAge) {
            m_contactSince = now;
        }
        m_heardAt = since;
        if (isCurrent(now) || now - m_contactSince >= ContactTime) {
            confirm(since);
        }
    }

    /// Records that all versions which there were at the time are known.
    auto confirm(TimePoint asOf) -> void
    {
        m_currentAt = std::max(m_currentAt, asOf);
    }

    auto isCurrent(TimePoint now) const -> bool
    {
        return now - m_currentAt < MaxAge;
    }

    /// Returns the time as of which all versions are known.
    auto currentAt() const -> TimePoint
    {
        return m_currentAt;
    }

private:
    TimePoint m_currentAt;
    TimePoint m_heardAt; // most VMs, as of the last check
    TimePoint m_contactSince; // without interruption
};

} // namespace currantstack
