// Decides when a watch of the store that is behind other VMs is begun anew.
#pragma once

#include "currantstack/decisions/answer_progress.h"
#include "currantstack/placement.h"

#include <cstdint>
#include <optional>

namespace currantstack
{

/// Compares what a watch has delivered with what other VMs have observed. An answer that arrives is never given up, however long it takes:
/// beginning anew sends it once more over the same link. A watch without any answer is begun anew after a time that grows, because its
/// answer may be lost, or late at a store that all VMs ask at once.
class WatchLag
{
public:
    static constexpr Duration FirstTolerance = milliseconds(500); // in which an answer begins to arrive from a store that is not slow
    static constexpr Duration LongestTolerance = seconds(4);
    static constexpr int Patience = 2; // how many times the store's answer time a watch may be without any answer
    static constexpr double Jitter = 0.5; // share of a tolerance that is added at random, so that VMs do not begin anew together

    /// Records that another VM has observed a change at the revision.
    auto onPeerRevision(std::int64_t revision, TimePoint now, Random &random) -> void;

    /// Records that the watch has delivered all changes up to the revision. What it delivers shows that it works.
    auto onDelivered(std::int64_t revision) -> void;

    /// Records that the watch was begun anew, which doubles the tolerance.
    auto onRestarted(Random &random) -> void;

    /// Returns how long the watch goes on before it is to be judged again, or nothing if it is to be begun anew. To be called while
    /// the watch is behind. `answerTime`: in which answers of the store have begun lately.
    auto judge(const AnswerProgress &progress, Duration answerTime, TimePoint now) const -> std::optional<Duration>;

    /// Returns whether another VM has observed a change that the watch has not delivered.
    auto isBehind() const -> bool
    {
        return m_peerRevision > m_delivered;
    }

    /// Returns for how long the watch has been behind.
    auto behindFor(TimePoint now) const -> Duration
    {
        return isBehind() ? now - m_behindSince : Duration::zero();
    }

    auto peerRevision() const -> std::int64_t
    {
        return m_peerRevision;
    }

    /// Returns how often in a row the watch was begun anew while it was behind.
    auto restarts() const -> int
    {
        return m_restarts;
    }

private:
    /// Returns how long the watch may be without any answer.
    auto tolerance(Duration answerTime) const -> Duration;
    auto drawJitter(Random &random) -> void;

    std::int64_t m_peerRevision = 0; // highest revision of a change that another VM has observed
    std::int64_t m_delivered = 0;
    TimePoint m_behindSince;
    double m_jitter = 0; // share that is added to the tolerance
    int m_restarts = 0;
};

} // namespace currantstack
