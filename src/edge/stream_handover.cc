// Leaves a stream to another VM when this one cannot reach the engines.
#include "relayed_request.h"
#include "stream_request.h"

#include <algorithm>

namespace currantstack
{

/// Lets another VM forward the request, or go on with its stream. Returns false if it may not run again or no VM can take it.
auto StreamRequest::handOver(std::string_view reason) -> bool
{
    if (!m_attempts.mayRetry() || m_context.clock.now() >= m_request.deadline() || !mayRelay(m_context, m_request)) {
        return false;
    }
    m_handedOver = true;
    const auto firstAttempt = m_headSent ? firstAttemptId() : std::string();
    relayRequest(m_context, {m_request, m_attempts, true, m_headSent, m_sequence.lastId(), firstAttempt, reason, m_mayHaveEnded});
    finish();
    return true;
}

/// Returns true if the request leaves this VM or is refused, because this VM is cut off from the engines.
auto StreamRequest::leaveIfCutOff() -> bool
{
    if (!m_context.reach.isCutOff(m_request.service)) {
        return false;
    }
    if (!handOver("this VM is cut off from the engines")) {
        fail(false, "no VM reaches the engines of the service", retryDelay());
    }
    return true;
}

/// Hands over a request for which the engines that this VM reaches have no capacity, while it does not reach others.
auto StreamRequest::handOverIfUnreached(std::string_view reason) -> bool
{
    const auto now = m_context.clock.now();
    const auto engines = m_context.directory.usable(m_request.service);
    const bool isAnyUnreached = std::any_of(engines.begin(), engines.end(), [this, now](const auto *engine) {
        return engine->role == EngineRole::Decode && m_context.reach.isUnreached(engine->id, now);
    });
    return isAnyUnreached && handOver(reason);
}

} // namespace currantstack
