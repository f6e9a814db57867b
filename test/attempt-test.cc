#include "currantstack/decisions/attempt.h"

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
    static auto mayHaveRun(SendOutcome outcome) -> bool
    {
        return outcome == SendOutcome::Answered || outcome == SendOutcome::Unknown;
    }

    static auto outcomes() -> rc::Gen<std::vector<SendOutcome>>
    {
        return rc::gen::container<std::vector<SendOutcome>>(
            rc::gen::element(SendOutcome::NotSent, SendOutcome::NotRun, SendOutcome::Answered, SendOutcome::Unknown));
    }

    /// Sends as long as it is allowed, with the outcomes given; returns how many sends may have run.
    static auto play(Attempt &attempt, const std::vector<SendOutcome> &outcomes) -> int
    {
        int runs = 0;
        for (const auto outcome : outcomes) {
            if (!attempt.maySendAgain()) {
                break;
            }
            attempt.onSend();
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
            Attempt attempt(kind, false, *rc::gen::inRange(1, 5));
            RC_ASSERT(play(attempt, *outcomes()) <= 1);
        });
    }

    auto refusalsAreTrue() -> void
    {
        CHECK_PROPERTY("a refusal is given exactly where nothing can have run", [] {
            const auto kind = *rc::gen::element(RouteKind::Idempotent, RouteKind::OnceOnly, RouteKind::Stream);
            Attempt attempt(kind, *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 5));
            const int runs = play(attempt, *outcomes());
            RC_ASSERT((attempt.giveUp(false) == FinalAnswer::Refused) == (runs == 0));
            // A send that is still under way may run at any moment.
            attempt.onSend();
            RC_ASSERT(attempt.giveUp(true) == FinalAnswer::TimedOut);
        });
    }

    auto sendsStayWithinTheRoutesAttempts() -> void
    {
        CHECK_PROPERTY("no more sends reach upstreams than the route allows", [] {
            const int allowed = *rc::gen::inRange(1, 5);
            Attempt attempt(RouteKind::Idempotent, false, allowed);
            const auto played = *outcomes();
            int reached = 0;
            for (const auto outcome : played) {
                if (!attempt.maySendAgain()) {
                    break;
                }
                attempt.onSend();
                attempt.onOutcome(outcome);
                reached += outcome != SendOutcome::NotSent ? 1 : 0;
            }
            RC_ASSERT(reached <= allowed);
        });
    }

    auto aSendThatNeverLeftDoesNotCount() -> void
    {
        Attempt attempt(RouteKind::OnceOnly, false, 1);
        attempt.onSend();
        CPPUNIT_ASSERT(!attempt.maySendAgain());
        attempt.onOutcome(SendOutcome::NotSent);
        CPPUNIT_ASSERT(attempt.maySendAgain());
        attempt.onSend();
        attempt.onOutcome(SendOutcome::NotRun);
        CPPUNIT_ASSERT(!attempt.maySendAgain());
        CPPUNIT_ASSERT(attempt.giveUp(false) == FinalAnswer::Refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptTest);
