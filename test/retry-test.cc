#include "currantstack/retry.h"

#include "check.h"

using namespace currantstack;

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(retriesAreBoundedByShareOfSuccesses);
    CPPUNIT_TEST_SUITE_END();

public:
    auto retriesAreBoundedByShareOfSuccesses() -> void
    {
        CHECK_PROPERTY("retries never exceed the share of successes plus the initial tokens", [](const std::vector<bool> &events) {
            RetryBudget budget(0.1);
            double retries = 0;
            double successes = 0;
            for (const bool success : events) {
                if (success) {
                    budget.onSuccess();
                    ++successes;
                } else if (budget.tryAcquire()) {
                    ++retries;
                }
                RC_ASSERT(retries <= RetryBudget::InitialTokens + 0.1 * successes + 1e-6);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);
