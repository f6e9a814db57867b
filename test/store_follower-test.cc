#include "currantstack/edge/store_follower.h"

#include "check.h"
#include "watch_errors.h"

using namespace currantstack;

namespace
{

/// A store whose calls the test answers. Reads are answered at once unless `readError` is set.
class ScriptedStore : public Store
{
public:
    auto read(std::string_view /*key*/, bool /*exact*/, std::function<void(Result<StoreRange>)> /*done*/) -> void override
    { }

    auto readPatiently(std::string_view /*prefix*/, std::function<void(Result<StoreRange>)> done) -> StoreCallHandle override
    {
        ++reads;
        if (isSilent) {
            pendingReads.push_back(std::move(done));
            return {[this]() { ++cancelledReads; }, [this]() { return progress; }};
        }
        if (readError) {
            done(tl::unexpected(*readError));
        } else {
            done(StoreRange{revision, values});
        }
        return {[]() {}, []() { return AnswerProgress(); }};
    }

    auto commit(StoreTransaction /*transaction*/, std::function<void(Result<StoreOutcome>)> /*done*/) -> void override
    { }

    auto grantLease(seconds /*ttl*/, std::function<void(Result<std::int64_t>)> /*done*/) -> void override
    { }

    auto renewLease(std::int64_t /*lease*/, std::function<void(Result<bool>)> /*done*/) -> void override
    { }

    auto failedCalls() const -> std::int64_t override
    {
        return failed;
    }

    auto watch(std::string_view /*prefix*/, std::int64_t fromRevision, WatchHook events, std::function<void(Error)> end)
        -> StoreCallHandle override
    {
        watchedFrom.push_back(fromRevision);
        onEvents = std::move(events);
        onEnd = std::move(end);
        return {[]() {}, [this]() { return progress; }};
    }

    /// Ends the watch in flight.
    auto end(const Error &error) -> void
    {
        std::exchange(onEnd, nullptr)(error);
    }

    int reads = 0;
    bool isSilent = false; // reads are answered later, by the test
    std::vector<std::function<void(Result<StoreRange>)>> pendingReads;
    int cancelledReads = 0;
    std::int64_t revision = 10;
    std::vector<StoreValue> values;
    std::int64_t failed = 0;
    std::optional<Error> readError;
    std::vector<std::int64_t> watchedFrom;
    AnswerProgress progress;
    WatchHook onEvents;
    std::function<void(Error)> onEnd;
};

} // namespace

class StoreFollowerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFollowerTest);
    CPPUNIT_TEST(aCutWatchIsResumedFromItsPosition);
    CPPUNIT_TEST(eventsAreWrittenAfterTheLastButOnePollWasBegun);
    CPPUNIT_TEST(aSeriesOfCutsBacksOff);
    CPPUNIT_TEST(lostHistoryIsReadAgainWithoutAnOutage);
    CPPUNIT_TEST(aStoreThatIsAwayIsReadWhenItReturns);
    CPPUNIT_TEST(aStoreThatTurnsThisVmAwayIsReadWhenItServesAgain);
    CPPUNIT_TEST(aCutOfAnUnansweredWatchIsAnOutage);
    CPPUNIT_TEST(aCutAfterOtherCallsFailedIsAnOutage);
    CPPUNIT_TEST(aReadReplacesAResumptionThatIsPending);
    CPPUNIT_TEST(anAnswerThatArrivesIsNotGivenUp);
    CPPUNIT_TEST(aLateReadGoesOnBesideItsRepetition);
    CPPUNIT_TEST(aReadThatArrivesIsNotRepeated);
    CPPUNIT_TEST(supersededValuesAreSkippedByARead);
    CPPUNIT_TEST(readsThatStayBehindEndInAWatch);
    CPPUNIT_TEST(aWatchWithoutAnAnswerIsBegunAnewLessAndLessOften);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Patience = StoreFollower::LongestBackoff + StoreFollower::FirstBackoff + milliseconds(200);

    SystemClock m_clock;
    Loop m_loop;
    Random m_random{1};
    std::string m_lines;
    EventLog m_log{m_clock, "vm", [this](std::string_view bytes) {
                       m_lines += bytes;
                       return bytes.size();
                   }};
    ScriptedStore m_store;
    std::vector<StoreFollower::Interruption> m_snapshots;
    int m_outages = 0;
    std::size_t m_events = 0;
    TimePoint m_writtenAfter;
    std::unique_ptr<StoreFollower> m_follower;

    /// Runs the loop until the condition holds, or for `Patience`.
    auto runUntil(const std::function<bool()> &condition) -> bool
    {
        const auto end = m_clock.now() + Patience;
        while (!condition() && m_clock.now() < end) {
            m_loop.after(milliseconds(5), [this]() { m_loop.stop(); });
            m_loop.run();
        }
        return condition();
    }

    auto runFor(Duration time) -> void
    {
        m_loop.after(time, [this]() { m_loop.stop(); });
        m_loop.run();
    }

    /// Follows a long value of which only the latest state counts. Its watch is paused.
    auto followLatestState() -> void
    {
        m_follower->stop();
        m_follower = std::make_unique<StoreFollower>(m_loop, m_clock, m_random, m_store, m_log, "config",
                                                     StoreFollower::Hooks{[](auto &&...) {}, [](auto &&) {}}, CatchUp::Needs::LatestState);
        m_store.progress.state = AnswerProgress::State::Paused;
        m_store.values = {{"config", std::string(CatchUp::LongValue, 'x'), 10}};
        m_follower->start();
    }

    auto runUntilWatches(std::size_t count) -> void
    {
        CPPUNIT_ASSERT(runUntil([this, count]() { return m_store.watchedFrom.size() >= count; }));
        CPPUNIT_ASSERT_EQUAL(count, m_store.watchedFrom.size());
    }

    auto hasLine(const std::string &text) -> bool
    {
        m_log.flush();
        return m_lines.find(text) != std::string::npos;
    }

public:
    auto setUp() -> void override
    {
        StoreFollower::Hooks hooks;
        hooks.onSnapshot = [this](const StoreRange & /*range*/, const auto &interruption) { m_snapshots.push_back(interruption); };
        hooks.onEvents = [this](std::span<const StoreEvent> events) {
            m_events += events.size();
            m_writtenAfter = m_follower->eventsWrittenAfter();
        };
        hooks.onUnreachable = [this]() { ++m_outages; };
        m_follower = std::make_unique<StoreFollower>(m_loop, m_clock, m_random, m_store, m_log, "servers/", std::move(hooks));
        m_follower->start();
        m_store.onEvents({}, 10);
    }

    auto tearDown() -> void override
    {
        m_follower->stop();
    }

    auto aCutWatchIsResumedFromItsPosition() -> void
    {
        m_store.onEvents({}, 14);
        m_store.end(cutWatch());
        runUntilWatches(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), m_store.watchedFrom.back());
        const StoreEvent removal{{"servers/i-1", "", 16}, true};
        m_store.onEvents({&removal, 1}, 16);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_events);
        CPPUNIT_ASSERT_EQUAL(1, m_store.reads);
        CPPUNIT_ASSERT_EQUAL(0, m_outages);
        CPPUNIT_ASSERT(!m_follower->isUnreachable());
        CPPUNIT_ASSERT(hasLine("\"watch_resumed\"") && !hasLine("\"store_lost\""));
    }

    auto eventsAreWrittenAfterTheLastButOnePollWasBegun() -> void
    {
        runFor(milliseconds(5));
        const auto first = m_clock.now();
        m_store.onEvents({}, 11);
        CPPUNIT_ASSERT(m_writtenAfter < first);
        runFor(milliseconds(5));
        const auto second = m_clock.now();
        m_store.onEvents({}, 12); // of the poll that was begun after the answer before
        CPPUNIT_ASSERT(m_writtenAfter < first);
        m_store.onEvents({}, 13);
        CPPUNIT_ASSERT(m_writtenAfter >= first && m_writtenAfter < second);
        m_store.end(cutWatch());
        runUntilWatches(2);
        m_store.onEvents({}, 14);
        CPPUNIT_ASSERT(m_writtenAfter >= second);
    }

    auto aSeriesOfCutsBacksOff() -> void
    {
        const auto begin = m_clock.now();
        for (std::size_t cuts = 1; cuts <= 8; ++cuts) {
            m_store.end(cutWatch());
            runUntilWatches(cuts + 1);
            m_store.onEvents({}, 10);
        }
        CPPUNIT_ASSERT(m_clock.now() - begin > 12 * StoreFollower::FirstBackoff);
        CPPUNIT_ASSERT_EQUAL(0, m_outages);
        CPPUNIT_ASSERT_EQUAL(1, m_store.reads);
    }

    auto lostHistoryIsReadAgainWithoutAnOutage() -> void
    {
        m_store.end(watchError(ErrorCode::Conflict));
        CPPUNIT_ASSERT_EQUAL(2, m_store.reads);
        CPPUNIT_ASSERT(!m_snapshots.back().wasUnreachable);
        CPPUNIT_ASSERT_EQUAL(0, m_outages);
        CPPUNIT_ASSERT(hasLine("\"history_lost\""));
    }

    auto aStoreThatIsAwayIsReadWhenItReturns() -> void
    {
        m_store.readError = watchError(ErrorCode::Unreachable);
        m_store.end(watchError(ErrorCode::DeadlineExceeded));
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
        CPPUNIT_ASSERT(runUntil([this]() { return m_store.reads >= 2; }));
        m_store.readError.reset();
        runUntilWatches(2);
        CPPUNIT_ASSERT(m_snapshots.back().wasUnreachable);
        CPPUNIT_ASSERT(hasLine("\"cause\":\"no_answer\"") && hasLine("\"store_regained\""));
    }

    auto aStoreThatTurnsThisVmAwayIsReadWhenItServesAgain() -> void
    {
        auto turnedAway = watchError(ErrorCode::Unreachable);
        turnedAway.turnedAway = true;
        m_store.end(turnedAway);
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
        runUntilWatches(2);
        CPPUNIT_ASSERT(m_snapshots.back().wasUnreachable);
        CPPUNIT_ASSERT(hasLine("\"cause\":\"turned_away\""));
    }

    auto aCutOfAnUnansweredWatchIsAnOutage() -> void
    {
        m_store.end(cutWatch());
        runUntilWatches(2);
        m_store.end(cutWatch());
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
        runUntilWatches(3);
        CPPUNIT_ASSERT(m_snapshots.back().wasUnreachable);
    }

    auto aCutAfterOtherCallsFailedIsAnOutage() -> void
    {
        ++m_store.failed;
        m_store.end(cutWatch());
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
        runUntilWatches(2);
        CPPUNIT_ASSERT(m_snapshots.back().wasUnreachable);
        m_store.onEvents({}, 10);
        m_store.end(cutWatch());
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
    }

    auto aReadReplacesAResumptionThatIsPending() -> void
    {
        m_store.end(cutWatch());
        m_follower->readAgain();
        CPPUNIT_ASSERT_EQUAL(2, m_store.reads);
        CPPUNIT_ASSERT(!runUntil([this]() { return m_store.watchedFrom.size() > 2; }));
        CPPUNIT_ASSERT(!m_snapshots.back().wasUnreachable);
    }

    auto anAnswerThatArrivesIsNotGivenUp() -> void
    {
        m_store.progress = {AnswerProgress::State::Receiving, seconds(1), milliseconds(20), 1000, 4000};
        m_follower->observeRevision(11);
        CPPUNIT_ASSERT(!runUntil([this]() { return m_store.watchedFrom.size() > 1; }));
        m_follower->observeRevision(12);
        CPPUNIT_ASSERT(!runUntil([this]() { return m_store.watchedFrom.size() > 1; }));
        CPPUNIT_ASSERT(hasLine("\"watch_slow\"") && hasLine("\"received\":1000,\"expected\":4000"));
        m_store.onEvents({}, 12);
    }

    auto aLateReadGoesOnBesideItsRepetition() -> void
    {
        m_store.isSilent = true;
        m_store.progress = {AnswerProgress::State::Waiting, StoreFollower::ReadPatience, StoreFollower::ReadPatience};
        m_store.end(watchError(ErrorCode::Conflict));
        CPPUNIT_ASSERT_EQUAL(0, m_outages);
        runFor(2 * StoreFollower::ReadPatience + Patience);
        CPPUNIT_ASSERT_EQUAL(1, m_outages);
        CPPUNIT_ASSERT(m_store.reads >= 3 && m_store.reads <= 4);
        CPPUNIT_ASSERT_EQUAL(m_store.reads - 3, m_store.cancelledReads); // all but the first and the last
        m_store.pendingReads.front()(StoreRange{20, {}});
        CPPUNIT_ASSERT(m_snapshots.back().wasUnreachable && !m_follower->isUnreachable());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), m_store.watchedFrom.back());
        CPPUNIT_ASSERT_EQUAL(m_store.reads - 2, m_store.cancelledReads);
        const auto reads = m_store.reads;
        m_store.onEvents({}, 20);
        runFor(Patience);
        CPPUNIT_ASSERT_EQUAL(reads, m_store.reads);
    }

    auto aReadThatArrivesIsNotRepeated() -> void
    {
        m_store.isSilent = true;
        m_store.progress = {AnswerProgress::State::Receiving, seconds(5), milliseconds(10), 1000, 5000};
        m_store.end(watchError(ErrorCode::Conflict));
        runFor(StoreFollower::ReadPatience + Patience);
        CPPUNIT_ASSERT_EQUAL(2, m_store.reads);
        CPPUNIT_ASSERT_EQUAL(0, m_outages);
        m_store.pendingReads.front()(StoreRange{20, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), m_store.watchedFrom.back());
    }

    auto supersededValuesAreSkippedByARead() -> void
    {
        followLatestState();
        const auto reads = m_store.reads;
        m_follower->observeRevision(11);
        m_follower->observeRevision(14);
        m_store.revision = 12; // a change follows while the read is on its way
        CPPUNIT_ASSERT(runUntil([&]() { return m_store.reads == reads + 1; }));
        const auto watches = m_store.watchedFrom.size();
        m_store.revision = 14;
        CPPUNIT_ASSERT(runUntil([&]() { return m_store.reads == reads + 2; }));
        CPPUNIT_ASSERT_EQUAL(watches + 1, m_store.watchedFrom.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(15), m_store.watchedFrom.back());
        m_store.onEvents({}, 14);
        CPPUNIT_ASSERT(!runUntil([&]() { return m_store.reads > reads + 2; }));
    }

    auto readsThatStayBehindEndInAWatch() -> void
    {
        followLatestState();
        const auto reads = m_store.reads;
        const auto watches = m_store.watchedFrom.size();
        m_follower->observeRevision(100);
        runFor((2 * CatchUp::MostReads + 4) * StoreFollower::CatchUpDelay);
        CPPUNIT_ASSERT_EQUAL(reads + 1 + CatchUp::MostReads, m_store.reads);
        CPPUNIT_ASSERT_EQUAL(watches + 1, m_store.watchedFrom.size());
    }

    auto aWatchWithoutAnAnswerIsBegunAnewLessAndLessOften() -> void
    {
        std::vector<TimePoint> begins;
        m_follower->observeRevision(11);
        const auto end = m_clock.now() + seconds(6);
        auto begunAt = m_clock.now() - seconds(1);
        while (m_clock.now() < end) {
            const auto watches = m_store.watchedFrom.size();
            m_store.progress.age = m_clock.now() - begunAt;
            m_loop.after(milliseconds(5), [this]() { m_loop.stop(); });
            m_loop.run();
            if (m_store.watchedFrom.size() > watches) {
                begunAt = m_clock.now();
                begins.push_back(begunAt);
            }
        }
        CPPUNIT_ASSERT(begins.size() >= 2 && begins.size() <= 4);
        CPPUNIT_ASSERT(begins[1] - begins[0] >= 2 * WatchLag::FirstTolerance);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(11), m_store.watchedFrom.back());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);
