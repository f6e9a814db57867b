// Pending requests, queued until the engines of their service have capacity.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/placement_order.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/loop.h"

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

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

/// One queue for each service, and one for each of its software versions at which streams must go on. Only the request that
/// `PlacementOrder` names is retried, so that small requests cannot overtake a large one and starve it.
class PendingQueue
{
public:
    static constexpr Duration RetryPeriod = milliseconds(15); // well under the interval at which completed streams of a fleet free capacity

    /// Tries to place the request. Returns whether it leaves the queue: it was placed or refused, or its caller has disconnected. A
    /// request whose turn it is may use the capacity that is otherwise left to higher ranks.
    using PlacementAttempt = std::function<bool(bool isTurn)>;

    PendingQueue(Loop &loop, const Clock &clock);

    auto enqueue(const QueueKey &key, const WaitingStream &stream, PlacementAttempt attempt) -> void;

    /// Returns whether the stream would be placed before all that wait.
    auto wouldBeNext(const QueueKey &key, const WaitingStream &stream) const -> bool;

    auto isEmpty(const QueueKey &key) const -> bool
    {
        return size(key) == 0;
    }

    auto size(const QueueKey &key) const -> std::size_t;

    /// Returns for how long a stream of this rank or a higher one has waited at most, without those that miss their goal.
    auto longestWait(const QueueKey &key, int rank) const -> Duration;

    /// Retries the heads of all queues now.
    auto retryHeads() -> void;

private:
    struct Queue
    {
        PlacementOrder order;
        std::vector<WaitingStream> streams;
        std::vector<PlacementAttempt> attempts; // of `streams`, in the same order
    };

    auto retry(Queue &queue) -> void;

    const Clock &m_clock;
    std::map<QueueKey, Queue> m_queues;
    std::unique_ptr<Timer> m_timer;
    bool m_retrying = false;
};

} // namespace currantstack
