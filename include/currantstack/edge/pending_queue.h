// Requests that wait for room at the engines of their service, first come, first served.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/loop.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace currantstack
{

/// One queue for each service. The head of a queue is tried again and again; those behind it wait, so that large requests are not
/// passed by small ones for ever.
class PendingQueue
{
public:
    static constexpr Duration RetryPeriod = milliseconds(15); // well under the time in which a fleet's streams free one place

    /// Returns whether the request has left the queue: placed, refused or gone.
    using PlacementAttempt = std::function<bool()>;

    explicit PendingQueue(Loop &loop);

    /// Puts the request at the end of its service's queue, or at the head where it had its turn already.
    auto enqueue(const std::string &service, bool atHead, PlacementAttempt attempt) -> void;
    auto isEmpty(const std::string &service) const -> bool;

    /// Tries the heads of all queues now.
    auto retryHeads() -> void;

private:
    std::map<std::string, std::deque<PlacementAttempt>> m_queues;
    std::unique_ptr<Timer> m_timer;
    bool m_retrying = false;
};

} // namespace currantstack
