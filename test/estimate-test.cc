#include "currantstack/estimate.h"

#include "check.h"

using namespace currantstack;

class EstimateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EstimateTest);
    CPPUNIT_TEST(estimatesConverge);
    CPPUNIT_TEST_SUITE_END();

public:
    auto estimatesConverge() -> void
    {
        ModelEstimate estimate;
        for (int round = 0; round < 300; ++round) {
            estimate.observePrefill(1000, 1000, 6000, milliseconds(105));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(105, estimate.prefillMs(1000), 3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, estimate.estimateTokens(600));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EstimateTest);
