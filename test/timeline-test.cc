#include "currantstack/timeline.h"

#include "check.h"

using namespace currantstack;

class TimelineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TimelineTest);
    CPPUNIT_TEST(keepsLatestEventsInLogicalOrder);
    CPPUNIT_TEST_SUITE_END();

public:
    auto keepsLatestEventsInLogicalOrder() -> void
    {
        ManualClock clock;
        Timeline timeline(clock, "vm0", 10);
        for (int index = 0; index < 25; ++index) {
            timeline.add(EventKind::RequestAccepted, "r" + std::to_string(index), "");
        }
        timeline.observe(1000);
        timeline.add(EventKind::RequestDone, "r24", "e0");
        const auto events = timeline.select({}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1001}, events.back().logical);
        TimelineFilter filter;
        filter.upstream = "e0";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timeline.select(filter, 100).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);
