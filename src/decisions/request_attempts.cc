#include "currantstack/decisions/request_attempts.h"

namespace currantstack
{

auto RequestAttempts::onOutcome(AttemptOutcome outcome, int attempts) -> void
{
    --m_pending;
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Misdirected) {
        m_count -= attempts;
    } else if (outcome != AttemptOutcome::NotRun) {
        m_mayHaveRun = true;
    }
}

} // namespace currantstack
