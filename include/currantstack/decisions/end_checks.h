// Decides which streams that ended with their connection are checked by asking another engine for what follows the last event.
#pragma once

namespace currantstack
{

/// The ends of one service's streams that neither a length nor chunks mark. That an engine lives does not prove that it has completed its
/// answer; a continuation without events does. Each check costs a second run, so that a service whose ends were all true is trusted. After
/// a cut, an end that cannot be checked is as likely another cut as not, until the service is trusted again.
class EndChecks
{
public:
    static constexpr int TrustedAfter = 20; // checks in a row that found nothing
    static constexpr int TrustedPeriod = 16; // ends of a trusted service for each check

    /// Returns whether the next end is to be checked.
    auto isDue() const -> bool
    {
        return m_wholeInRow < TrustedAfter || m_endsSinceCheck + 1 >= TrustedPeriod;
    }

    /// Returns whether an end that cannot be checked counts as incomplete.
    auto isSuspect() const -> bool
    {
        return m_isSuspect;
    }

    /// Records an end that was not checked.
    auto onUnchecked() -> void
    {
        ++m_endsSinceCheck;
    }

    /// Records the result of a check. `wasCut`: events followed.
    auto onChecked(bool wasCut) -> void
    {
        m_wholeInRow = wasCut ? 0 : m_wholeInRow + 1;
        m_isSuspect = wasCut || (m_isSuspect && m_wholeInRow < TrustedAfter);
        m_endsSinceCheck = 0;
    }

private:
    int m_wholeInRow = 0;
    int m_endsSinceCheck = 0;
    bool m_isSuspect = false; // a cut was found since the service was last trusted
};

} // namespace currantstack
