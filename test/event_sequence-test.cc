#include "currantstack/decisions/event_sequence.h"

#include "check.h"

using namespace currantstack;

class EventSequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSequenceTest);
    CPPUNIT_TEST(consecutiveIdsFollowOneAnother);
    CPPUNIT_TEST(firstIdIsArbitrary);
    CPPUNIT_TEST(eventsOfAnEarlierRunAreReceived);
    CPPUNIT_TEST(lowerIdInOneRunIsARegression);
    CPPUNIT_TEST(skippedIdIsAGap);
    CPPUNIT_TEST(zeroIsAnIdLikeOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    auto consecutiveIdsFollowOneAnother() -> void
    {
        EventSequence sequence(std::nullopt);
        for (int id = 1; id <= 5; ++id) {
            CPPUNIT_ASSERT(sequence.onEvent(id) == EventPlace::Next);
        }
        CPPUNIT_ASSERT(sequence.onEvent(std::nullopt) == EventPlace::Next);
        CPPUNIT_ASSERT(sequence.lastId() == 6);
        CPPUNIT_ASSERT(sequence.onEvent(7) == EventPlace::Next);
        CPPUNIT_ASSERT_EQUAL(0, sequence.gaps() + sequence.regressed());
    }

    auto firstIdIsArbitrary() -> void
    {
        EventSequence fromZero(std::nullopt);
        CPPUNIT_ASSERT(fromZero.onEvent(0) == EventPlace::Next && fromZero.onEvent(1) == EventPlace::Next);
        EventSequence fromNine(std::nullopt);
        CPPUNIT_ASSERT(fromNine.onEvent(9) == EventPlace::Next && fromNine.gaps() == 0);
    }

    auto eventsOfAnEarlierRunAreReceived() -> void
    {
        EventSequence sequence(3);
        sequence.beginRun();
        for (int id = 1; id <= 3; ++id) {
            CPPUNIT_ASSERT(sequence.onEvent(id) == EventPlace::Received);
        }
        CPPUNIT_ASSERT(sequence.onEvent(4) == EventPlace::Next);
        CPPUNIT_ASSERT(sequence.onEvent(4) == EventPlace::Repeated);
        CPPUNIT_ASSERT_EQUAL(0, sequence.regressed());
    }

    auto lowerIdInOneRunIsARegression() -> void
    {
        EventSequence sequence(std::nullopt);
        for (int id = 1; id <= 6; ++id) {
            sequence.onEvent(id);
        }
        CPPUNIT_ASSERT(sequence.onEvent(3) == EventPlace::Regressed);
        CPPUNIT_ASSERT(sequence.lastId() == 6 && sequence.regressed() == 1);
    }

    auto skippedIdIsAGap() -> void
    {
        EventSequence sequence(5);
        sequence.beginRun();
        CPPUNIT_ASSERT(sequence.onEvent(8) == EventPlace::Gap);
        CPPUNIT_ASSERT(sequence.lastId() == 8 && sequence.gaps() == 1);
    }

    auto zeroIsAnIdLikeOthers() -> void
    {
        EventSequence sequence(0);
        sequence.beginRun();
        CPPUNIT_ASSERT(sequence.onEvent(0) == EventPlace::Received && sequence.onEvent(1) == EventPlace::Next);
        EventSequence none(std::nullopt);
        CPPUNIT_ASSERT(none.onEvent(0) == EventPlace::Next && none.onEvent(0) == EventPlace::Repeated);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTest);
