#include "currantstack/moves.h"

#include "check.h"

using namespace currantstack;

class MovesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MovesTest);
    CPPUNIT_TEST(movesOnlyWhatCanStillMeetItsTarget);
    CPPUNIT_TEST(oneLateGapIsNoReason);
    CPPUNIT_TEST_SUITE_END();

public:
    auto movesOnlyWhatCanStillMeetItsTarget() -> void
    {
        StreamPace pace{2, 4, 2, 20, 100, 0};
        CPPUNIT_ASSERT(isWorthMoving(pace, 0.05));
        pace.lateGaps = 5;
        CPPUNIT_ASSERT(!isWorthMoving(pace, 0.05));
        pace = {2, 4, 2, 95, 100, 0};
        CPPUNIT_ASSERT(!isWorthMoving(pace, 0.05)); // nearly done
        pace = {2, 4, 2, 20, 100, 2};
        CPPUNIT_ASSERT(!isWorthMoving(pace, 0.05)); // moved often enough
    }

    auto oneLateGapIsNoReason() -> void
    {
        CPPUNIT_ASSERT(!isWorthMoving({1, 2, 1, 20, 100, 0}, 0.05));
        CPPUNIT_ASSERT(isWorthMoving({1, 4, 1, 20, 100, 0}, 0.05)); // but a plainly slow one is
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MovesTest);
