#include "currantstack/connection_watch.h"

#include <algorithm>

namespace currantstack::detail
{

namespace
{

/// Returns the longer one of two limits, of which zero is none.
auto longer(Duration left, Duration right) -> Duration
{
    const bool isUnlimited = left == Duration::zero() || right == Duration::zero();
    return isUnlimited ? Duration::zero() : std::max(left, right);
}

auto isExceeded(Duration limit, Duration time) -> bool
{
    return limit > Duration::zero() && time > limit;
}

} // namespace

auto ConnectionWatch::onRequestEnd(const TcpProgress &progress, TimePoint now) -> void
{
    m_consumed = progress.received - std::min(progress.received, progress.unread);
    m_changedAt = now;
    m_headBegunAt.reset();
}

auto ConnectionWatch::onLimits(const ConnectionLimits &limits) -> void
{
    const bool isFirst = m_headTimeout == Duration::zero(); // no limit was known when the connection was opened
    m_headTimeout = isFirst ? limits.headTimeout : longer(m_headTimeout, limits.headTimeout);
    m_idleTimeout = longer(m_idleTimeout, limits.idleTimeout);
}

auto ConnectionWatch::check(const ConnectionLimits &limits, ConnectionPhase phase, const TcpProgress &progress, TimePoint now)
    -> ConnectionVerdict
{
    const bool hasChanged = progress.received != m_progress.received || progress.acknowledged != m_progress.acknowledged;
    m_isBlocked = !hasChanged && progress.unread > 0 && progress.unread == m_progress.unread;
    m_progress = progress;
    if (hasChanged || phase == ConnectionPhase::Waiting) {
        m_changedAt = now;
    }
    if (phase == ConnectionPhase::BetweenRequests && isIdle(progress)) {
        m_headBegunAt.reset();
        m_headTimeout = limits.headTimeout;
        return isExceeded(m_idleTimeout, now - m_changedAt) ? ConnectionVerdict::CloseIdle : ConnectionVerdict::Keep;
    }
    if (progress.unread > 0) {
        return ConnectionVerdict::Keep; // these bytes may complete the request
    }
    if (phase == ConnectionPhase::BetweenRequests || phase == ConnectionPhase::Head) {
        m_headBegunAt = m_headBegunAt.value_or(now);
        return isExceeded(m_headTimeout, now - *m_headBegunAt) ? ConnectionVerdict::CloseSlow : ConnectionVerdict::Keep;
    }
    m_headBegunAt.reset();
    m_headTimeout = limits.headTimeout;
    const bool isStalled = phase == ConnectionPhase::Transfer && isExceeded(limits.stallTimeout, now - m_changedAt);
    return isStalled ? ConnectionVerdict::CloseSlow : ConnectionVerdict::Keep;
}

} // namespace currantstack::detail
