#include "currantstack/decisions/watch_lag.h"

#include <algorithm>

namespace currantstack
{

auto WatchLag::onPeerRevision(std::int64_t revision, TimePoint now, Random &random) -> void
{
    const bool wasBehind = isBehind();
    m_peerRevision = std::max(m_peerRevision, revision);
    if (!wasBehind && isBehind()) {
        m_behindSince = now;
        m_restarts = 0;
        drawJitter(random);
    }
}

auto WatchLag::onDelivered(std::int64_t revision) -> void
{
    if (revision != m_delivered) {
        m_restarts = 0;
    }
    m_delivered = revision;
}

auto WatchLag::onRestarted(Random &random) -> void
{
    ++m_restarts;
    drawJitter(random);
}

auto WatchLag::drawJitter(Random &random) -> void
{
    m_jitter = std::uniform_real_distribution<double>(0, Jitter)(random);
}

auto WatchLag::tolerance() const -> Duration
{
    constexpr int MostDoublings = 10; // the longest tolerance is reached before
    const auto base = std::min<Duration>(LongestTolerance, FirstTolerance * (1 << std::min(m_restarts, MostDoublings)));
    return base + fromMilliseconds(m_jitter * toMilliseconds(base));
}

auto WatchLag::judge(const WatchProgress &progress, TimePoint now) const -> std::optional<Duration>
{
    if (progress.state != WatchProgress::State::Waiting) {
        return FirstTolerance;
    }
    const auto waited = std::min(progress.age, behindFor(now));
    return waited < tolerance() ? std::optional(tolerance() - waited) : std::nullopt;
}

} // namespace currantstack
