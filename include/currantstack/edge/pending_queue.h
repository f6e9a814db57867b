// Pending requests, queued in FIFO order until the engines of their service have capacity.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/loop.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace currantstack
{

/// The engines for which requests wait.
struct QueueKey
{
    std::string service;
    SoftwareVersionKey version = AnySoftwareVersion;

    /// Streams that can go on at one version only are placed before those that any engine can take.
    auto operator<(const QueueKey &other) const -> bool
    {
        const auto rank = [](const QueueKey &key) {
            return std::tuple(std::string_view(key.service), key.version == AnySoftwareVersion, key.version);
        };
        return rank(*this) < rank(other);
    }
};

/// One queue for each service, and one for each of its software versions at which streams must go on. Only the head of a queue is
/// retried, so that small requests cannot overtake a large one and starve it.
class PendingQueue
{
public:
    static constexpr Duration RetryPeriod = milliseconds(15); // well under the interval at which completed streams of a fleet free capacity

    /// Tries to place the request. Returns whether it leaves the queue: it was placed or refused, or its caller has disconnected.
    using PlacementAttempt = std::function<bool()>;

    explicit PendingQueue(Loop &loop);

    /// Queues the request at the end of the queue, or at the head if it has been placed before.
    auto enqueue(const QueueKey &key, bool atHead, PlacementAttempt attempt) -> void;
    auto isEmpty(const QueueKey &key) const -> bool
    {
        return size(key) == 0;
    }

    auto size(const QueueKey &key) const -> std::size_t;

    /// Retries the heads of all queues now.
    auto retryHeads() -> void;

private:
    std::map<QueueKey, std::deque<PlacementAttempt>> m_queues;
    std::unique_ptr<Timer> m_timer;
    bool m_retrying = false;
};

} // namespace currantstack
