// Follows the keys under a prefix of the store through outages, missed events and compacted history.
#pragma once

#include "currantstack/decisions/catch_up.h"
#include "currantstack/decisions/watch_lag.h"
#include "currantstack/event_log.h"
#include "currantstack/loop.h"
#include "currantstack/placement.h"
#include "currantstack/store.h"

#include <map>
#include <optional>

namespace currantstack
{

/// Reads all keys under a prefix, then watches it. A watch that is cut is resumed from its position; after other interruptions, all keys
/// are read again.
class StoreFollower
{
public:
    /// What happened before a read of all keys.
    struct Interruption
    {
        bool wasUnreachable = false; // for this VM, so that entries may have expired meanwhile
        bool returnedFromCopy = false; // keys may be older than what was observed before, or lost
    };

    struct Hooks
    {
        /// Receives all keys as of a revision.
        std::function<void(const StoreRange &range, const Interruption &interruption)> onSnapshot;
        std::function<void(std::span<const StoreEvent> events)> onEvents;
        std::function<void()> onUnreachable = []() {}; // runs when a call to the store first fails
    };

    static constexpr Duration FirstBackoff = milliseconds(50); // before the first retry
    static constexpr Duration LongestBackoff = milliseconds(800); // so that a reachable store is noticed within a second
    static constexpr Duration ReadPatience = seconds(2); // until a read is repeated beside the one in flight
    static constexpr std::size_t MostReads = 2; // in flight: the oldest one for a slow store, another one for a store that returns
    static constexpr Duration CalmWatchTime = seconds(5); // a watch that is cut later is resumed without back-off
    static constexpr Duration FirstLagReport = seconds(1); // after which a watch that is behind is logged; doubled each time
    static constexpr Duration CatchUpDelay = milliseconds(100); // before a read to catch up, so that it covers several changes

    StoreFollower(Loop &loop, const Clock &clock, Random &random, Store &store, EventLog &log, std::string prefix, Hooks hooks,
                  CatchUp::Needs needs = CatchUp::Needs::EachChange);

    auto start() -> void;

    /// Reads all keys again, unless a read is under way.
    auto readAgain() -> void;

    /// Records that another VM has observed a change under the prefix at the revision. A watch that does not deliver that change, and
    /// receives nothing, is begun anew (`WatchLag`), because its connection may be dead or its poll may have missed the change.
    auto observeRevision(std::int64_t revision) -> void;

    /// Returns the revision of the last change under the prefix that this VM has observed.
    auto lastChangeRevision() const -> std::int64_t
    {
        return m_lastChangeRevision;
    }

    /// Returns a time before which none of the events that `onEvents` receives now was written. Holds for long-polling stores.
    auto eventsWrittenAfter() const -> TimePoint
    {
        return m_eventsWrittenAfter;
    }

    /// Returns a time before which no change was written that has not been observed.
    auto currentSince() const -> TimePoint
    {
        return m_currentSince;
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
    auto cancelReads(std::size_t kept) -> void;
    auto judgeRead() -> void;
    auto onRead(Result<StoreRange> range) -> void;
    auto watch() -> void;
    auto cancelWatch() -> void;
    auto judgeLaggingWatch() -> void;
    auto prefersRead() const -> bool;
    auto catchUpDelay() -> Duration;
    auto scheduleCatchUp() -> void;
    auto readIfPaused() -> void;
    auto writeLag(std::string_view event, const AnswerProgress &progress) -> void;
    auto resume() -> void;
    auto onWatchEvents(std::span<const StoreEvent> events, std::int64_t revision) -> void;
    auto onWatchEnded(const Error &error) -> void;
    auto resumeLater(const Error &error) -> void;
    auto retry(const Error &error) -> void;

    Loop &m_loop;
    const Clock &m_clock;
    Random &m_random;
    Store &m_store;
    EventLog &m_log;
    std::string m_prefix;
    Hooks m_hooks;
    CatchUp m_catchUp;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_patienceTimer;
    std::unique_ptr<Timer> m_lagTimer;
    std::unique_ptr<Timer> m_catchUpTimer;
    std::unique_ptr<Timer> m_resumeTimer;
    std::int64_t m_currentRevision = 0; // all changes up to this revision have been observed
    std::int64_t m_lastChangeRevision = 0;
    WatchLag m_lag;
    bool m_lagTimerRunning = false;
    bool m_catchUpPlanned = false;
    Duration m_nextLagReport = FirstLagReport; // after the watch fell behind
    std::optional<StoreCallHandle> m_watch;
    std::map<std::int64_t, StoreCallHandle> m_reads; // in flight, the oldest first
    std::int64_t m_lastReadId = 0;
    TimePoint m_lastAnswerAt;
    TimePoint m_requestedAt; // when the read or poll in flight was begun, at the earliest
    TimePoint m_currentSince; // when the one that brought `m_currentRevision` was begun: later changes have later revisions
    TimePoint m_eventsWrittenAfter;
    TimePoint m_unreachableSince;
    TimePoint m_watchedSince; // begin of the watch, or of the one before the last cut
    std::optional<TimePoint> m_cutAt; // set until the resumed watch is answered
    int m_cuts = 0; // in a row, of watches that were cut soon
    std::int64_t m_failedCalls = 0; // of the store, when it last answered the watch
    int m_failures = 0;
    bool m_unreachable = false;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
