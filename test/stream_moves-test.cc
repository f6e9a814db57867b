#include "currantstack/stream_moves.h"

#include "check.h"

using namespace currantstack;

class StreamMovesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamMovesTest);
    CPPUNIT_TEST(movesOnlyIfTheTargetCanStillBeMet);
    CPPUNIT_TEST(ignoresASingleLateGap);
    CPPUNIT_TEST_SUITE_END();

public:
    auto movesOnlyIfTheTargetCanStillBeMet() -> void
    {
        StreamProgress progress{2, 4, 2, 20, 100, 0};
        CPPUNIT_ASSERT(isWorthMoving(progress, 0.05));
        progress.lateGaps = 5;
        CPPUNIT_ASSERT(!isWorthMoving(progress, 0.05));
        progress = {2, 4, 2, 95, 100, 0};
        CPPUNIT_ASSERT(!isWorthMoving(progress, 0.05)); // too few tokens remain
        progress = {2, 4, 2, 20, 100, 2};
        CPPUNIT_ASSERT(!isWorthMoving(progress, 0.05)); // the limit of moves is reached
    }

    auto ignoresASingleLateGap() -> void
    {
        CPPUNIT_ASSERT(!isWorthMoving({1, 2, 1, 20, 100, 0}, 0.05));
        CPPUNIT_ASSERT(isWorthMoving({1, 4, 1, 20, 100, 0}, 0.05)); // a single very slow gap suffices
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamMovesTest);
