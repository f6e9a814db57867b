#include "currantstack/retry.h"

#include "check.h"

using namespace currantstack;

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(retryBudgetIsAShareOfSuccesses);
    CPPUNIT_TEST_SUITE_END();

public:
    auto retryBudgetIsAShareOfSuccesses() -> void
    {
        CHECK_PROPERTY("retries stay under the share of successes and the reserve", [](const std::vector<bool> &events) {
            RetryBudget budget(0.1);
            double taken = 0;
            double successes = 0;
            for (const bool success : events) {
                if (success) {
                    budget.onSuccess();
                    ++successes;
                } else if (budget.tryAcquire()) {
                    ++taken;
                }
                RC_ASSERT(taken <= RetryBudget::Reserve + 0.1 * successes + 1e-6);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);
