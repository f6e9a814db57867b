// As of when a VM knows all software versions that streams can have begun at.
#pragma once

#include "currantstack/clock.h"

#include <algorithm>

namespace currantstack
{

/// A version gets streams only some time after the store's record names it (`SoftwareVersions::SettlingTime`). So whoever has read the
/// record lately knows all versions that streams can have begun at. Nothing else shows that there is no further one: not what peers do not
/// tell, nor what the store does not list any more.
class VersionCurrency
{
public:
    /// Knowledge of this age is outdated. Together with the longest suspension that goes unnoticed (`KnowledgeGap`), shorter than the time
    /// for which a new version gets no streams.
    static constexpr Duration MaxAge = milliseconds(800);

    /// Records that all versions are known that the record named at the time.
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
};

} // namespace currantstack
