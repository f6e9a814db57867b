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
        /// All keys as of the revision. `wasAway` tells that the store could not be reached before.
        std::function<void(const StoreRange &range, bool wasAway)> onSnapshot;
        std::function<void(std::span<const StoreEvent> events)> onEvents;
        std::function<void()> onAway = []() {}; // the store was lost
    };

    static constexpr Duration FirstPause = milliseconds(50); // before the first new try
    static constexpr Duration LongestPause = milliseconds(800); // between tries, so that a returning store is found within a second

    StoreFollower(Loop &loop, const Clock &clock, Random &random, Store &store, EventLog &log, std::string prefix, Hooks hooks);

    static constexpr Duration NudgePause = milliseconds(500); // an answer that is on its way comes within it

    auto start() -> void;

    /// Takes in that another VM knows a change under the prefix at the revision. Where the own watch does not bring it soon, the
    /// watch is asked anew: its connection may be dead, or its wait may have missed the change.
    auto hearOf(std::int64_t revision) -> void;

    /// Returns the revision of the last change under the prefix that this VM knows.
    auto changedAt() const -> std::int64_t
    {
        return m_changedAt;
    }

    auto stop() -> void;

    /// Returns when the store last answered.
    auto heardAt() const -> TimePoint
    {
        return m_heardAt;
    }

    /// Returns whether the last call to the store failed.
    auto isAway() const -> bool
    {
        return m_away;
    }

private:
    auto read() -> void;
    auto onRead(Result<StoreRange> range) -> void;
    auto watch() -> void;
    auto onNudge() -> void;
    auto onEnd(const Error &error) -> void;
    auto retry(const Error &error) -> void;

    Loop &m_loop;
    const Clock &m_clock;
    Random &m_random;
    Store &m_store;
    EventLog &m_log;
    std::string m_prefix;
    Hooks m_hooks;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_nudge;
    std::int64_t m_currentTo = 0; // revision up to which this VM is current
    std::int64_t m_changedAt = 0;
    std::int64_t m_heardOf = 0; // highest revision of a change that another VM knows
    bool m_nudgeSet = false;
    std::function<void()> m_endWatch;
    TimePoint m_heardAt;
    TimePoint m_awaySince;
    int m_failures = 0;
    bool m_away = false;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
