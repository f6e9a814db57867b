#include "currantstack/decisions/watch_end.h"

#include "check.h"
#include "watch_errors.h"

using namespace currantstack;

class WatchEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchEndTest);
    CPPUNIT_TEST(aCutWatchIsResumedFromItsPosition);
    CPPUNIT_TEST(aWatchWithoutHistoryIsReplacedByARead);
    CPPUNIT_TEST(aStoreThatDoesNotAnswerIsAway);
    CPPUNIT_TEST(aStoreThatTurnsThisVmAwayIsAwayForIt);
    CPPUNIT_TEST(aCutWithOtherSignsIsAnOutage);
    CPPUNIT_TEST(eachEndHasAName);
    CPPUNIT_TEST_SUITE_END();

    static auto plan(const Error &error, const WatchEvidence &evidence = {}) -> WatchResumption
    {
        return planResumption(classifyWatchEnd(error), evidence);
    }

public:
    auto aCutWatchIsResumedFromItsPosition() -> void
    {
        CPPUNIT_ASSERT(classifyWatchEnd(cutWatch()) == WatchEnd::Cut);
        CPPUNIT_ASSERT(plan(cutWatch()) == WatchResumption::Resume);
    }

    auto aWatchWithoutHistoryIsReplacedByARead() -> void
    {
        CPPUNIT_ASSERT(classifyWatchEnd(watchError(ErrorCode::Conflict)) == WatchEnd::HistoryLost);
        for (const bool answered : {true, false}) {
            for (const bool otherCallsFailed : {true, false}) {
                CPPUNIT_ASSERT(plan(watchError(ErrorCode::Conflict), {answered, otherCallsFailed}) == WatchResumption::ReadAll);
            }
        }
    }

    auto aStoreThatDoesNotAnswerIsAway() -> void
    {
        auto notConnected = watchError(ErrorCode::Unreachable);
        notConnected.connectionRefused = true;
        auto closedBeforeTheCall = watchError(ErrorCode::Unreachable);
        closedBeforeTheCall.connectionClosed = true;
        for (const auto &end :
             {notConnected, closedBeforeTheCall, watchError(ErrorCode::DeadlineExceeded), watchError(ErrorCode::Unavailable)}) {
            CPPUNIT_ASSERT(classifyWatchEnd(end) == WatchEnd::NoAnswer);
            CPPUNIT_ASSERT(plan(end) == WatchResumption::ReadAllOnReturn);
        }
    }

    auto aStoreThatTurnsThisVmAwayIsAwayForIt() -> void
    {
        auto turnedAway = watchError(ErrorCode::Unreachable);
        turnedAway.turnedAway = true;
        CPPUNIT_ASSERT(classifyWatchEnd(turnedAway) == WatchEnd::TurnedAway);
        CPPUNIT_ASSERT(plan(turnedAway) == WatchResumption::ReadAllOnReturn);
    }

    auto aCutWithOtherSignsIsAnOutage() -> void
    {
        // The watch was not answered since the last cut, as by a store that accepts connections and closes them.
        CPPUNIT_ASSERT(plan(cutWatch(), {false, false}) == WatchResumption::ReadAllOnReturn);
        // A store that was silent for a while closes the connections of before when it returns.
        CPPUNIT_ASSERT(plan(cutWatch(), {true, true}) == WatchResumption::ReadAllOnReturn);
    }

    auto eachEndHasAName() -> void
    {
        std::set<std::string_view> names;
        for (const auto end : {WatchEnd::Cut, WatchEnd::HistoryLost, WatchEnd::TurnedAway, WatchEnd::NoAnswer}) {
            names.insert(name(end));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), names.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchEndTest);
