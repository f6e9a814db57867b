#include "currantstack/decisions/stream_origins.h"

namespace currantstack
{

auto StreamOrigins::record(Fingerprint stream, StreamOrigin origin) -> void
{
    const auto [found, isNew] = m_origins.try_emplace(stream, origin);
    found->second.isOwn = found->second.isOwn || origin.isOwn;
    if (!isNew) {
        return;
    }
    m_order.push_back(stream);
    if (m_order.size() > MaxEntries) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

auto StreamOrigins::find(Fingerprint stream, TimePoint now) const -> std::optional<StreamOrigin>
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || now - found->second.at >= Lifetime) {
        return std::nullopt;
    }
    return found->second;
}

auto StreamOrigins::relayedSince(TimePoint since) const -> std::vector<std::pair<Fingerprint, SoftwareVersionKey>>
{
    std::vector<std::pair<Fingerprint, SoftwareVersionKey>> result;
    for (const auto &[stream, origin] : m_origins) {
        if (origin.isOwn && origin.at >= since) {
            result.emplace_back(stream, origin.version);
        }
    }
    return result;
}

auto StreamOrigins::expire(TimePoint now) -> void
{
    while (!m_order.empty() && !find(m_order.front(), now)) {
        m_origins.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace currantstack
