#include "currantstack/decisions/order_lease.h"

namespace currantstack
{

auto OrderLease::begin(std::int64_t token, TimePoint requestedAt, TimePoint now) -> void
{
    m_token = token;
    m_heldSince = now;
    m_validUntil = requestedAt + m_leaseTtl;
}

auto OrderLease::renew(TimePoint requestedAt) -> void
{
    m_validUntil = requestedAt + m_leaseTtl;
}

auto OrderLease::end() -> void
{
    m_token = 0;
}

auto OrderLease::fencingToken(TimePoint now) const -> std::optional<std::int64_t>
{
    if (m_token == 0 || now + SendMargin >= m_validUntil || now - m_heldSince < m_predecessorLease + SendMargin) {
        return std::nullopt;
    }
    return m_token;
}

} // namespace currantstack
