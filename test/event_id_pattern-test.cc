#include "currantstack/decisions/event_id_pattern.h"

#include "check.h"

using namespace currantstack;

class EventIdPatternTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventIdPatternTest);
    CPPUNIT_TEST(gapsPassUntilIdsAreKnownToBeConsecutive);
    CPPUNIT_TEST(oneEngineProvesNothing);
    CPPUNIT_TEST(gapOfOneEngineBreaksItsRunOff);
    CPPUNIT_TEST(gapsOfSeveralEnginesPass);
    CPPUNIT_TEST(gapOfTwoRunsPassesForGood);
    CPPUNIT_TEST(frequentGapsOfOneEnginePass);
    CPPUNIT_TEST(gapsAreForgotten);
    CPPUNIT_TEST(servicesWithGapsBreakFewRunsOff);
    CPPUNIT_TEST(runsThatBeginLateHaveAGap);
    CPPUNIT_TEST_SUITE_END();

public:
    auto gapsPassUntilIdsAreKnownToBeConsecutive() -> void
    {
        EventIdPattern pattern;
        step(pattern, EventIdPattern::MinSteps - 1);
        CPPUNIT_ASSERT(!pattern.isConsecutive());
        CPPUNIT_ASSERT(pattern.onGap("a", {6, 8}, {}) == GapVerdict::Pass);
        step(pattern, EventIdPattern::MinSteps);
        CPPUNIT_ASSERT_MESSAGE("there was a gap", !pattern.isConsecutive());
    }

    auto oneEngineProvesNothing() -> void
    {
        EventIdPattern pattern;
        for (int count = 0; count < 2 * EventIdPattern::MinSteps; ++count) {
            pattern.onStep("a");
        }
        CPPUNIT_ASSERT(!pattern.isConsecutive() && pattern.onGap("a", {6, 8}, {}) == GapVerdict::Pass);
    }

    auto gapOfOneEngineBreaksItsRunOff() -> void
    {
        auto pattern = consecutive();
        CPPUNIT_ASSERT(pattern.onGap("a", {6, 8}, {}) == GapVerdict::BreakOff);
        CPPUNIT_ASSERT(pattern.isConsecutive());
    }

    // All streams of a service break because its ids began to have gaps.
    auto gapsOfSeveralEnginesPass() -> void
    {
        auto pattern = consecutive();
        CPPUNIT_ASSERT(pattern.onGap("a", {6, 8}, {}) == GapVerdict::BreakOff);
        CPPUNIT_ASSERT(pattern.onGap("b", {3, 9}, {}) == GapVerdict::Pass);
        step(pattern, EventIdPattern::MinSteps);
        CPPUNIT_ASSERT(!pattern.isConsecutive() && pattern.onGap("a", {6, 8}, {}) == GapVerdict::Pass);
    }

    auto gapOfTwoRunsPassesForGood() -> void
    {
        auto pattern = consecutive();
        const IdGap gap{6, 8};
        CPPUNIT_ASSERT(pattern.onGap("a", gap, {}) == GapVerdict::BreakOff);
        CPPUNIT_ASSERT_MESSAGE("another gap", pattern.onGap("a", {6, 9}, gap) == GapVerdict::BreakOff);
        CPPUNIT_ASSERT(pattern.onGap("a", gap, gap) == GapVerdict::Pass);
        step(pattern, 3 * EventIdPattern::MemorySteps);
        CPPUNIT_ASSERT(pattern.gaps() == 0 && !pattern.isConsecutive());
        CPPUNIT_ASSERT(pattern.onGap("c", {1, 5}, {}) == GapVerdict::Pass);
    }

    auto frequentGapsOfOneEnginePass() -> void
    {
        auto pattern = consecutive();
        for (int count = 0; count < EventIdPattern::MaxGaps; ++count) {
            CPPUNIT_ASSERT(pattern.onGap("a", {6, 8}, {}) == GapVerdict::BreakOff);
        }
        CPPUNIT_ASSERT(pattern.onGap("a", {6, 8}, {}) == GapVerdict::Pass);
    }

    auto gapsAreForgotten() -> void
    {
        auto pattern = consecutive();
        pattern.onGap("a", {6, 8}, {});
        pattern.onGap("b", {3, 9}, {});
        step(pattern, 2 * EventIdPattern::MemorySteps);
        CPPUNIT_ASSERT(pattern.isConsecutive() && pattern.steps() <= EventIdPattern::MemorySteps);
        CPPUNIT_ASSERT(pattern.onGap("b", {3, 9}, {}) == GapVerdict::BreakOff);
    }

    // A service whose ids have gaps now and then loses its streams.
    auto servicesWithGapsBreakFewRunsOff() -> void
    {
        CHECK_PROPERTY("at most a few runs in the memory's steps", []() {
            const auto stepsPerGap = *rc::gen::inRange(1, 1000);
            const auto engines = *rc::gen::inRange(1, 5);
            EventIdPattern pattern;
            int broken = 0;
            int gaps = 0;
            for (int steps = 1; steps <= EventIdPattern::MemorySteps / 2; ++steps) {
                const auto engine = std::string(1, static_cast<char>('a' + steps / 7 % engines));
                pattern.onStep(engine);
                if (steps % stepsPerGap == 0) {
                    ++gaps;
                    broken += pattern.onGap(engine, {steps, steps + 2}, {}) == GapVerdict::BreakOff ? 1 : 0;
                }
            }
            RC_ASSERT(gaps > 0 && broken <= EventIdPattern::MaxGaps);
        });
    }

    auto runsThatBeginLateHaveAGap() -> void
    {
        auto pattern = consecutive();
        for (int runs = 0; runs < EventIdPattern::MinFirsts; ++runs) {
            CPPUNIT_ASSERT(!pattern.gapBeforeFirst(3));
            pattern.onFirst(runs % 2 == 0 ? "a" : "b", 1);
        }
        CPPUNIT_ASSERT(pattern.gapBeforeFirst(3) == (IdGap{0, 3}) && !pattern.gapBeforeFirst(1) && !pattern.gapBeforeFirst(0));
        pattern.onFirst("a", 0);
        CPPUNIT_ASSERT_MESSAGE("streams begin with several ids", !pattern.gapBeforeFirst(3));
    }

private:
    static auto step(EventIdPattern &pattern, std::int64_t count) -> void
    {
        for (std::int64_t number = 0; number < count; ++number) {
            pattern.onStep(number % 2 == 0 ? "a" : "b");
        }
    }

    static auto consecutive() -> EventIdPattern
    {
        EventIdPattern pattern;
        step(pattern, EventIdPattern::MinSteps);
        CPPUNIT_ASSERT(pattern.isConsecutive());
        return pattern;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventIdPatternTest);
