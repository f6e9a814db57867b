#include "currantstack/decisions/counted_calls.h"

#include "check.h"

#include <utility>

using namespace currantstack;

class CountedCallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CountedCallsTest);
    CPPUNIT_TEST(firstRunAndFirstPrefillNeedNoRetry);
    CPPUNIT_TEST(repeatedPrefillsNeedRetries);
    CPPUNIT_TEST(rejectedPrefillsCount);
    CPPUNIT_TEST(callsThatWereNotSentDoNotCount);
    CPPUNIT_TEST(callsOfOtherVmsCount);
    CPPUNIT_TEST(retriesCoverAllArrivalsBeyondTheFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    auto firstRunAndFirstPrefillNeedNoRetry() -> void
    {
        CountedCalls calls;
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(true));
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(false));
        calls.onSent();
        CPPUNIT_ASSERT_EQUAL(1, calls.missingRetries(false));
    }

    auto repeatedPrefillsNeedRetries() -> void
    {
        CountedCalls calls;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(1, calls.missingRetries(true)); // the KV cache has expired before it was used
        calls.onSent();
        CPPUNIT_ASSERT_EQUAL(2, calls.missingRetries(true)); // an engine has refused it
        calls.acquired = 2;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(false));
    }

    auto rejectedPrefillsCount() -> void
    {
        CountedCalls calls;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(1, calls.missingRetries(true));
        calls.acquired = 1;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(false));
    }

    auto callsThatWereNotSentDoNotCount() -> void
    {
        CountedCalls calls;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::NotSent);
        calls.onSent();
        calls.onNotSent();
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(true));
        calls.prefilled = true;
        calls.onPrefillSent();
        calls.onPrefillDone(AttemptOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(0, calls.missingRetries(false));
    }

    auto callsOfOtherVmsCount() -> void
    {
        CountedCalls calls;
        calls.onForwarded();
        CPPUNIT_ASSERT_EQUAL(2, calls.missingRetries(true));
        calls = {};
        calls.onReported({2, 1, false});
        CPPUNIT_ASSERT_EQUAL(1, calls.missingRetries(true));
        calls.onReported({1, 0, true});
        CPPUNIT_ASSERT(calls == CountedCalls({2, 1, true}));
    }

    auto retriesCoverAllArrivalsBeyondTheFirst() -> void
    {
        CHECK_PROPERTY("a request never has more arrivals than retries, apart from the first one and the first accepted prefill", [] {
            CountedCalls calls;
            int arrivals = 0;
            bool accepted = false;
            const auto steps = *rc::gen::inRange(1, 30);
            for (int step = 0; step < steps; ++step) {
                const auto outcome = *rc::gen::element(AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::Unknown);
                const bool isPrefill = *rc::gen::arbitrary<bool>();
                calls.acquired += calls.missingRetries(isPrefill);
                if (isPrefill) {
                    calls.onPrefillSent();
                    calls.onPrefillDone(outcome);
                } else {
                    calls.onSent();
                }
                if (outcome == AttemptOutcome::NotSent) {
                    if (!isPrefill) {
                        calls.onNotSent();
                    }
                } else {
                    const bool isFree = isPrefill && outcome == AttemptOutcome::Unknown && !std::exchange(accepted, true);
                    arrivals += isFree ? 0 : 1;
                }
                // A rejected prefill can be known only after it.
                const int slack = isPrefill && outcome == AttemptOutcome::NotRun ? 1 : 0;
                RC_ASSERT(arrivals - 1 <= calls.acquired + slack);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CountedCallsTest);
