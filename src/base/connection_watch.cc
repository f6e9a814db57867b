#include "currantstack/connection_watch.h"

#include <algorithm>

namespace currantstack::detail
{

namespace
{

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
    const bool isUnlimited = m_idleTimeout == Duration::zero() || limits.idleTimeout == Duration::zero();
    m_idleTimeout = isUnlimited ? Duration::zero() : std::max(m_idleTimeout, limits.idleTimeout);
}

auto ConnectionWatch::check(const ConnectionLimits &limits, ConnectionPhase phase, const TcpProgress &progress, TimePoint now)
    -> ConnectionVerdict
{
    const bool hasChanged = progress.received != m_progress.received || progress.acknowledged != m_progress.acknowledged;
    m_progress = progress;
    if (hasChanged || phase == ConnectionPhase::Waiting) {
        m_changedAt = now;
    }
    if (phase == ConnectionPhase::BetweenRequests && isIdle(progress)) {
        m_headBegunAt.reset();
        return isExceeded(m_idleTimeout, now - m_changedAt) ? ConnectionVerdict::CloseIdle : ConnectionVerdict::Keep;
    }
    if (progress.unread > 0) {
        return ConnectionVerdict::Keep; // these bytes may complete the request
    }
    if (phase == ConnectionPhase::BetweenRequests || phase == ConnectionPhase::Head) {
        m_headBegunAt = m_headBegunAt.value_or(now);
        return isExceeded(limits.headTimeout, now - *m_headBegunAt) ? ConnectionVerdict::CloseSlow : ConnectionVerdict::Keep;
    }
    m_headBegunAt.reset();
    const bool isStalled = phase == ConnectionPhase::Transfer && isExceeded(limits.stallTimeout, now - m_changedAt);
    return isStalled ? ConnectionVerdict::CloseSlow : ConnectionVerdict::Keep;
}

} // namespace currantstack::detail
