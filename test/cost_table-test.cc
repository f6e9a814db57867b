#include "currantstack/decisions/cost_table.h"

#include "check.h"

using namespace currantstack;

class CostTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CostTableTest);
    CPPUNIT_TEST(meansAreWeightedByStreams);
    CPPUNIT_TEST(oldReportsExpire);
    CPPUNIT_TEST_SUITE_END();

    static auto all(std::string_view /*source*/) -> bool
    {
        return true;
    }

public:
    auto meansAreWeightedByStreams() -> void
    {
        ManualClock clock;
        CostTable table;
        const std::vector<ServiceCost> reported{{"s", {4000, 120, 4000, 5000}, 30}, {"other", {1, 1, 1, 1}, 99}};
        table.merge("vm2", reported, clock.now());
        const auto mean = table.mean({"s", {2000, 60, 2000, 3000}, 10}, all, clock.now());
        CPPUNIT_ASSERT_EQUAL(40, mean.streams);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3500, mean.cost.promptTokens, 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3500, mean.cost.streamMs, 0.1);
        const auto localOnly = table.mean(
            {"s", {2000, 60, 2000, 3000}, 10}, [](std::string_view) { return false; }, clock.now());
        CPPUNIT_ASSERT_EQUAL(10, localOnly.streams);
    }

    auto oldReportsExpire() -> void
    {
        ManualClock clock;
        CostTable table;
        const std::vector<ServiceCost> reported{{"s", {4000, 120, 4000, 5000}, 30}};
        table.merge("vm2", reported, clock.now());
        clock.advance(CostTable::ReportLifetime + milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(0, table.mean({"s", {}, 0}, all, clock.now()).streams);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CostTableTest);
