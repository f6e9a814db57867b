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

auto WatchLag::tolerance(Duration answerTime) const -> Duration
{
    constexpr int MostDoublings = 10; // the longest tolerance is reached before
    const auto doubled = std::min<Duration>(LongestTolerance, FirstTolerance * (1 << std::min(m_restarts, MostDoublings)));
    const auto base = std::max<Duration>(doubled, Patience * answerTime);
    return base + fromMilliseconds(m_jitter * toMilliseconds(base));
}

auto WatchLag::judge(const AnswerProgress &progress, Duration answerTime, TimePoint now) const -> std::optional<Duration>
{
    if (progress.state != AnswerProgress::State::Waiting) {
        return FirstTolerance;
    }
    const auto waited = std::min(progress.age, behindFor(now));
    const auto limit = tolerance(answerTime);
    return waited < limit ? std::optional(limit - waited) : std::nullopt;
}

} // namespace currantstack
