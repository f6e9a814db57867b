#include "currantstack/decisions/stream_resumption.h"

#include "check.h"

using namespace currantstack;

class StreamResumptionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamResumptionTest);
    CPPUNIT_TEST(stalledStreamsKeepTheirCallWithoutABetterWay);
    CPPUNIT_TEST(stalledStreamsReserveBeforeTheyMove);
    CPPUNIT_TEST(brokenStreamsWaitForCapacity);
    CPPUNIT_TEST(brokenStreamsOfNoEngineAreGivenUpAtOnce);
    CPPUNIT_TEST(streamsWhoseLastEventHasNoIdAskNoEngine);
    CPPUNIT_TEST(streamsWithoutRetryBudgetAskNoEngine);
    CPPUNIT_TEST(streamsOfCutOffVmsAreHandedOver);
    CPPUNIT_TEST(openCallsAreNeverGivenUpForNothing);
    CPPUNIT_TEST(firstEventsOfMovedStreamsHaveTimeForThePrompt);
    CPPUNIT_TEST_SUITE_END();

    static auto stalled() -> ResumptionState
    {
        ResumptionState state;
        state.hasBegun = state.hasCall = state.mayRetry = state.isInTime = state.hasOtherEngine = true;
        return state;
    }

    static auto broken() -> ResumptionState
    {
        auto state = stalled();
        state.hasCall = false;
        return state;
    }

    static auto anyState() -> ResumptionState
    {
        ResumptionState state;
        for (auto *field : {&state.hasBegun, &state.hasCall, &state.mayRetry, &state.hasRetryBudget, &state.isInTime, &state.isQuarantined,
                            &state.isVersionCertain, &state.awaitsEntry, &state.isPositionKnown, &state.isCutOff, &state.hasOtherVm,
                            &state.hasOtherEngine, &state.hasCapacity}) {
            *field = *rc::gen::arbitrary<bool>();
        }
        return state;
    }

public:
    auto stalledStreamsKeepTheirCallWithoutABetterWay() -> void
    {
        CPPUNIT_ASSERT(nextStep(stalled()) == ResumptionStep::KeepCall);
        auto state = stalled();
        state.hasCapacity = true;
        state.mayRetry = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::KeepCall);
        CPPUNIT_ASSERT(giveUpReason(state) == "no attempt is left");
    }

    auto stalledStreamsReserveBeforeTheyMove() -> void
    {
        auto state = stalled();
        state.hasCapacity = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Reserve);
    }

    auto brokenStreamsWaitForCapacity() -> void
    {
        auto state = broken();
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Wait);
        state.hasCapacity = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Reserve);
        state.hasCapacity = state.hasBegun = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::GiveUp);
    }

    auto brokenStreamsOfNoEngineAreGivenUpAtOnce() -> void
    {
        auto state = broken();
        state.hasOtherEngine = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::GiveUp);
        state = broken();
        state.isVersionCertain = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::GiveUp);
        state.awaitsEntry = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Wait);
        state.hasCall = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::KeepCall);
    }

    // A run is asked for what follows an assumed id, and the stream lacks an event.
    auto streamsWhoseLastEventHasNoIdAskNoEngine() -> void
    {
        CHECK_PROPERTY("kept or given up", []() {
            auto state = anyState();
            state.isPositionKnown = false;
            RC_ASSERT(nextStep(state) == (state.hasCall ? ResumptionStep::KeepCall : ResumptionStep::GiveUp));
        });
    }

    auto streamsWithoutRetryBudgetAskNoEngine() -> void
    {
        auto state = stalled();
        state.hasCapacity = true;
        state.hasRetryBudget = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::KeepCall);
        state.hasCall = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Wait);
        state.hasBegun = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::GiveUp);
    }

    auto streamsOfCutOffVmsAreHandedOver() -> void
    {
        auto state = broken();
        state.isCutOff = state.hasOtherVm = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::HandOver);
        state.hasOtherVm = false;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::Wait);
        state.hasCall = true;
        CPPUNIT_ASSERT(nextStep(state) == ResumptionStep::KeepCall);
    }

    auto openCallsAreNeverGivenUpForNothing() -> void
    {
        CHECK_PROPERTY("open calls are kept or replaced", []() {
            const auto state = anyState();
            const auto step = nextStep(state);
            RC_ASSERT(!state.hasCall || (step != ResumptionStep::GiveUp && step != ResumptionStep::Wait));
            RC_ASSERT(state.hasCall || step != ResumptionStep::KeepCall);
            RC_ASSERT(step != ResumptionStep::Reserve || (state.mayRetry && state.isInTime && state.hasCapacity && !state.isCutOff));
        });
    }

    auto firstEventsOfMovedStreamsHaveTimeForThePrompt() -> void
    {
        CPPUNIT_ASSERT(eventTimeout(true, true, seconds(5)) == StallTimeout);
        CPPUNIT_ASSERT(eventTimeout(false, true, seconds(1)) == milliseconds(2700));
        CPPUNIT_ASSERT(eventTimeout(false, true, milliseconds(10)) == StallTimeout);
        CPPUNIT_ASSERT(eventTimeout(false, false, milliseconds(10)) == milliseconds(720));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamResumptionTest);
