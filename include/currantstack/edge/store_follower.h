// Follows keys of the store through outages, gaps and lost history.
#pragma once

#include "currantstack/event_log.h"
#include "currantstack/loop.h"
#include "currantstack/placement.h"
#include "currantstack/store.h"

namespace currantstack
{

/// Reads a prefix whole, then watches it; after any break it reads it whole again.
class StoreFollower
{
public:
    struct Hooks
    {
        /// All keys as of the revision. `wasUnreachable` tells that the store could not be reached before.
        std::function<void(const StoreRange &range, bool wasUnreachable)> onSnapshot;
        std::function<void(std::span<const StoreEvent> events)> onEvents;
        std::function<void()> onUnreachable = []() {}; // the store was lost
    };

    static constexpr Duration FirstBackoff = milliseconds(50); // before the first new try
    static constexpr Duration LongestBackoff = milliseconds(800); // between tries, so that a returning store is found within a second

    StoreFollower(Loop &loop, const Clock &clock, Random &random, Store &store, EventLog &log, std::string prefix, Hooks hooks);

    static constexpr Duration LagTolerance = milliseconds(500); // an answer that is on its way comes within it

    auto start() -> void;

    /// Takes in that another VM knows a change under the prefix at the revision. Where the own watch does not bring it soon, the
    /// watch is asked anew: its connection may be dead, or its wait may have missed the change.
    auto observeRevision(std::int64_t revision) -> void;

    /// Returns the revision of the last change under the prefix that this VM knows.
    auto lastChangeRevision() const -> std::int64_t
    {
        return m_lastChangeRevision;
    }

    auto stop() -> void;

    /// Returns when the store last answered.
    auto lastAnswerAt() const -> TimePoint
    {
        return m_lastAnswerAt;
    }

    /// Returns whether the last call to the store failed.
    auto isUnreachable() const -> bool
    {
        return m_unreachable;
    }

private:
    auto read() -> void;
    auto onRead(Result<StoreRange> range) -> void;
    auto watch() -> void;
    auto restartLaggingWatch() -> void;
    auto onWatchEnded(const Error &error) -> void;
    auto retry(const Error &error) -> void;

    Loop &m_loop;
    const Clock &m_clock;
    Random &m_random;
    Store &m_store;
    EventLog &m_log;
    std::string m_prefix;
    Hooks m_hooks;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_lagTimer;
    std::int64_t m_currentRevision = 0; // revision up to which this VM is current
    std::int64_t m_lastChangeRevision = 0;
    std::int64_t m_peerRevision = 0; // highest revision of a change that another VM knows
    bool m_lagTimerRunning = false;
    std::function<void()> m_cancelWatch;
    TimePoint m_lastAnswerAt;
    TimePoint m_unreachableSince;
    int m_failures = 0;
    bool m_unreachable = false;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
