#include "currantstack/decisions/order_lease.h"

namespace currantstack
{

auto OrderLease::begin(std::int64_t fence, TimePoint askedAt, TimePoint now) -> void
{
    m_fence = fence;
    m_heldSince = now;
    m_validUntil = askedAt + m_leaseTtl;
}

auto OrderLease::renew(TimePoint askedAt) -> void
{
    m_validUntil = askedAt + m_leaseTtl;
}

auto OrderLease::end() -> void
{
    m_fence = 0;
}

auto OrderLease::fence(TimePoint now) const -> std::optional<std::int64_t>
{
    if (m_fence == 0 || now + SendMargin >= m_validUntil || now - m_heldSince < m_predecessorLease + SendMargin) {
        return std::nullopt;
    }
    return m_fence;
}

} // namespace currantstack
