#include "currantstack/edge/pending_queue.h"

#include <utility>

namespace currantstack
{

PendingQueue::PendingQueue(Loop &loop, const Clock &clock)
    : m_clock(clock)
    , m_timer(loop.timer([this]() { retryHeads(); }))
{ }

auto PendingQueue::enqueue(const QueueKey &key, const WaitingStream &stream, PlacementAttempt attempt) -> void
{
    auto &queue = m_queues[key];
    queue.streams.push_back(stream);
    queue.attempts.push_back(std::move(attempt));
    m_timer->startOnce(RetryPeriod);
}

auto PendingQueue::wouldBeNext(const QueueKey &key, const WaitingStream &stream) const -> bool
{
    const auto found = m_queues.find(key);
    if (found == m_queues.end() || found->second.streams.empty()) {
        return true;
    }
    auto streams = found->second.streams;
    streams.push_back(stream);
    return found->second.order.next(streams, m_clock.now()) + 1 == streams.size();
}

auto PendingQueue::size(const QueueKey &key) const -> std::size_t
{
    const auto found = m_queues.find(key);
    return found == m_queues.end() ? 0 : found->second.streams.size();
}

auto PendingQueue::longestWait(const QueueKey &key, int rank) const -> Duration
{
    const auto now = m_clock.now();
    Duration longest = Duration::zero();
    if (const auto found = m_queues.find(key); found != m_queues.end()) {
        for (const auto &stream : found->second.streams) {
            if (stream.rank <= rank && !stream.begun && now <= stream.lateAt) {
                longest = std::max<Duration>(longest, now - stream.arrivedAt);
            }
        }
    }
    return longest;
}

auto PendingQueue::retry(Queue &queue) -> void
{
    while (!queue.streams.empty()) {
        const auto index = static_cast<std::ptrdiff_t>(queue.order.next(queue.streams, m_clock.now()));
        const bool isTurn = queue.order.isTurnOfLowerRank(queue.streams);
        const auto stream = queue.streams[static_cast<std::size_t>(index)];
        // The attempt may queue its request again, so it is removed first.
        auto attempt = std::move(queue.attempts[static_cast<std::size_t>(index)]);
        queue.streams.erase(queue.streams.begin() + index);
        queue.attempts.erase(queue.attempts.begin() + index);
        if (!attempt(isTurn)) {
            queue.streams.insert(queue.streams.begin() + index, stream);
            queue.attempts.insert(queue.attempts.begin() + index, std::move(attempt));
            return;
        }
        queue.order.onPlaced(stream, queue.streams);
    }
}

auto PendingQueue::retryHeads() -> void
{
    if (std::exchange(m_retrying, true)) {
        return; // called from a placement attempt that freed capacity, which the running pass will use
    }
    bool hasPending = false;
    for (auto &[key, queue] : m_queues) {
        retry(queue);
        hasPending = hasPending || !queue.streams.empty();
    }
    m_retrying = false;
    if (hasPending) {
        m_timer->startOnce(RetryPeriod);
    }
}

} // namespace currantstack
