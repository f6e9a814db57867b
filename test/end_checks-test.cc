#include "currantstack/decisions/end_checks.h"

#include "check.h"

using namespace currantstack;

class EndChecksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndChecksTest);
    CPPUNIT_TEST(trustedServicesAreCheckedRarely);
    CPPUNIT_TEST(aCutAnswerEndsTheTrust);
    CPPUNIT_TEST(servicesThatCutAnswersAreSuspectUntilTheyAreTrusted);
    CPPUNIT_TEST_SUITE_END();

public:
    auto trustedServicesAreCheckedRarely() -> void
    {
        EndChecks checks;
        for (int end = 0; end < EndChecks::TrustedAfter; ++end) {
            CPPUNIT_ASSERT(checks.isDue());
            checks.onChecked(false);
        }
        int checked = 0;
        for (int end = 0; end < 10 * EndChecks::TrustedPeriod; ++end) {
            checked += checks.isDue() ? 1 : 0;
            checks.isDue() ? checks.onChecked(false) : checks.onUnchecked();
        }
        CPPUNIT_ASSERT_EQUAL(10, checked);
    }

    auto aCutAnswerEndsTheTrust() -> void
    {
        EndChecks checks;
        for (int end = 0; end < EndChecks::TrustedAfter; ++end) {
            checks.onChecked(false);
        }
        checks.onChecked(true);
        CPPUNIT_ASSERT(checks.isDue());
        checks.onUnchecked();
        CPPUNIT_ASSERT(checks.isDue());
    }

    auto servicesThatCutAnswersAreSuspectUntilTheyAreTrusted() -> void
    {
        EndChecks checks;
        CPPUNIT_ASSERT(!checks.isSuspect());
        checks.onChecked(true);
        for (int end = 0; end < EndChecks::TrustedAfter; ++end) {
            CPPUNIT_ASSERT(checks.isSuspect());
            checks.onUnchecked();
            checks.onChecked(false);
        }
        CPPUNIT_ASSERT(!checks.isSuspect());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndChecksTest);
