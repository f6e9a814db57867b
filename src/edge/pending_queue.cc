#include "currantstack/edge/pending_queue.h"

#include <utility>

namespace currantstack
{

PendingQueue::PendingQueue(Loop &loop)
    : m_timer(loop.timer([this]() { retryHeads(); }))
{ }

auto PendingQueue::enqueue(const QueueKey &key, bool atHead, PlacementAttempt attempt) -> void
{
    auto &queue = m_queues[key];
    queue.insert(atHead ? queue.begin() : queue.end(), std::move(attempt));
    m_timer->startOnce(RetryPeriod);
}

auto PendingQueue::size(const QueueKey &key) const -> std::size_t
{
    const auto found = m_queues.find(key);
    return found == m_queues.end() ? 0 : found->second.size();
}

auto PendingQueue::retryHeads() -> void
{
    if (std::exchange(m_retrying, true)) {
        return; // called from a placement attempt that freed capacity, which the running pass will use
    }
    bool hasPending = false;
    for (auto &[key, queue] : m_queues) {
        while (!queue.empty()) {
            // The attempt may queue its request at the head again, so it is removed first.
            auto attempt = std::move(queue.front());
            queue.pop_front();
            if (!attempt()) {
                queue.push_front(std::move(attempt));
                break;
            }
        }
        hasPending = hasPending || !queue.empty();
    }
    m_retrying = false;
    if (hasPending) {
        m_timer->startOnce(RetryPeriod);
    }
}

} // namespace currantstack
