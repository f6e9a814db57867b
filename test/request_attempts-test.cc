#include "currantstack/decisions/request_attempts.h"

#include "check.h"

using namespace currantstack;

class AttemptTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptTest);
    CPPUNIT_TEST(onceOnlyRequestsRunOnce);
    CPPUNIT_TEST(refusalsAreTrue);
    CPPUNIT_TEST(sendsStayWithinTheRoutesAttempts);
    CPPUNIT_TEST(aSendThatNeverLeftDoesNotCount);
    CPPUNIT_TEST_SUITE_END();

    /// What an upstream may have done with one send, in the worst case.
    static auto mayHaveRun(AttemptOutcome outcome) -> bool
    {
        return outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Unknown;
    }

    static auto outcomes() -> rc::Gen<std::vector<AttemptOutcome>>
    {
        return rc::gen::container<std::vector<AttemptOutcome>>(
            rc::gen::element(AttemptOutcome::NotSent, AttemptOutcome::NotRun, AttemptOutcome::Answered, AttemptOutcome::Unknown));
    }

    /// Sends as long as it is allowed, with the outcomes given; returns how many sends may have run.
    static auto play(RequestAttempts &attempt, const std::vector<AttemptOutcome> &outcomes) -> int
    {
        int runs = 0;
        for (const auto outcome : outcomes) {
            if (!attempt.mayRetry()) {
                break;
            }
            attempt.onAttempt();
            attempt.onOutcome(outcome);
            runs += mayHaveRun(outcome) ? 1 : 0;
        }
        return runs;
    }

public:
    auto onceOnlyRequestsRunOnce() -> void
    {
        CHECK_PROPERTY("a request that must not be repeated runs at most once", [] {
            const auto kind = *rc::gen::element(RouteKind::OnceOnly, RouteKind::Stream);
            RequestAttempts attempt(kind, false, *rc::gen::inRange(1, 5));
            RC_ASSERT(play(attempt, *outcomes()) <= 1);
        });
    }

    auto refusalsAreTrue() -> void
    {
        CHECK_PROPERTY("a refusal is given exactly where nothing can have run", [] {
            const auto kind = *rc::gen::element(RouteKind::Idempotent, RouteKind::OnceOnly, RouteKind::Stream);
            RequestAttempts attempt(kind, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 5));
            const int runs = play(attempt, *outcomes());
            RC_ASSERT((attempt.errorAnswer(false) == ErrorAnswer::Refused) == (runs == 0));
            // A send that is still under way may run at any moment.
            attempt.onAttempt();
            RC_ASSERT(attempt.errorAnswer(true) == ErrorAnswer::TimedOut);
        });
    }

    auto sendsStayWithinTheRoutesAttempts() -> void
    {
        CHECK_PROPERTY("no more sends reach upstreams than the route allows", [] {
            const int allowed = *rc::gen::inRange(1, 5);
            RequestAttempts attempt(RouteKind::Idempotent, false, allowed);
            const auto played = *outcomes();
            int reached = 0;
            for (const auto outcome : played) {
                if (!attempt.mayRetry()) {
                    break;
                }
                attempt.onAttempt();
                attempt.onOutcome(outcome);
                reached += outcome != AttemptOutcome::NotSent ? 1 : 0;
            }
            RC_ASSERT(reached <= allowed);
        });
    }

    auto aSendThatNeverLeftDoesNotCount() -> void
    {
        RequestAttempts attempt(RouteKind::OnceOnly, false, 1);
        attempt.onAttempt();
        CPPUNIT_ASSERT(!attempt.mayRetry());
        attempt.onOutcome(AttemptOutcome::NotSent);
        CPPUNIT_ASSERT(attempt.mayRetry());
        attempt.onAttempt();
        attempt.onOutcome(AttemptOutcome::NotRun);
        CPPUNIT_ASSERT(!attempt.mayRetry());
        CPPUNIT_ASSERT(attempt.errorAnswer(false) == ErrorAnswer::Refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);
