#include "currantstack/decisions/attempt.h"

namespace currantstack
{

auto Attempt::onOutcome(SendOutcome outcome) -> void
{
    --m_open;
    if (outcome == SendOutcome::NotSent) {
        --m_sends;
    } else if (outcome != SendOutcome::NotRun) {
        m_mayHaveRun = true;
    }
}

} // namespace currantstack
