#include "currantstack/decisions/request_attempts.h"

namespace currantstack
{

auto RequestAttempts::onOutcome(AttemptOutcome outcome) -> void
{
    --m_pending;
    if (outcome == AttemptOutcome::NotSent) {
        --m_count;
    } else if (outcome != AttemptOutcome::NotRun) {
        m_mayHaveRun = true;
    }
}

} // namespace currantstack
