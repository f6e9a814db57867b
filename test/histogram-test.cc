#include "currantstack/histogram.h"

#include "check.h"

using namespace currantstack;

class HistogramTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistogramTest);
    CPPUNIT_TEST(histogramQuantiles);
    CPPUNIT_TEST_SUITE_END();

public:
    auto histogramQuantiles() -> void
    {
        CHECK_PROPERTY("a quantile is within 4% of the value", [](std::uint32_t micros) {
            Histogram histogram;
            const auto value = std::chrono::microseconds(micros % 3000000000U);
            histogram.record(value);
            const double seen = toMilliseconds(histogram.quantile(0.5));
            RC_ASSERT(std::abs(seen - toMilliseconds(value)) <= 0.04 * toMilliseconds(value) + 0.001);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistogramTest);
