#include "currantstack/histogram.h"

#include "check.h"

using namespace currantstack;

class HistogramTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistogramTest);
    CPPUNIT_TEST(quantileHasBoundedRelativeError);
    CPPUNIT_TEST_SUITE_END();

public:
    auto quantileHasBoundedRelativeError() -> void
    {
        CHECK_PROPERTY("a quantile is within 4% of the value", [](std::uint32_t micros) {
            Histogram histogram;
            const auto value = std::chrono::microseconds(micros % 3000000000U);
            histogram.record(value);
            const double measured = toMilliseconds(histogram.quantile(0.5));
            RC_ASSERT(std::abs(measured - toMilliseconds(value)) <= 0.04 * toMilliseconds(value) + 0.001);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);
