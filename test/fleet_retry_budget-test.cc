#include "currantstack/decisions/fleet_retry_budget.h"

#include "check.h"

using namespace currantstack;

class FleetRetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetRetryBudgetTest);
    CPPUNIT_TEST(theFleetStaysBelowTheBoundInEveryWindow);
    CPPUNIT_TEST(servicesHaveSeparateBudgets);
    CPPUNIT_TEST(questionsDoNotCount);
    CPPUNIT_TEST(severalRetriesAreAcquiredTogetherOrNotAtAll);
    CPPUNIT_TEST_SUITE_END();

public:
    auto questionsDoNotCount() -> void
    {
        ManualClock clock;
        FleetRetryBudget budget({0, 2, seconds(10)});
        CPPUNIT_ASSERT(budget.mayAcquire("s", clock.now()) && budget.mayAcquire("s", clock.now()));
        CPPUNIT_ASSERT(budget.tryAcquire("s", clock.now()));
        CPPUNIT_ASSERT(!budget.mayAcquire("s", clock.now()) && !budget.tryAcquire("s", clock.now()));
    }

    auto severalRetriesAreAcquiredTogetherOrNotAtAll() -> void
    {
        ManualClock clock;
        FleetRetryBudget budget({0, 5, seconds(10)}); // of which 3 are used
        CPPUNIT_ASSERT(budget.tryAcquire("s", clock.now(), 2));
        CPPUNIT_ASSERT(!budget.mayAcquire("s", clock.now(), 2) && !budget.tryAcquire("s", clock.now(), 2));
        CPPUNIT_ASSERT(budget.tryAcquire("s", clock.now(), 1) && !budget.tryAcquire("s", clock.now(), 1));
        CPPUNIT_ASSERT(budget.tryAcquire("s", clock.now(), 0));
    }

    auto theFleetStaysBelowTheBoundInEveryWindow() -> void
    {
        CHECK_PROPERTY("retries of all VMs stay below ratio x requests + slack in any window", [] {
            const RetryBound bound{0.2, 54, seconds(10)};
            const auto vms = *rc::gen::inRange<std::size_t>(1, 12);
            ManualClock clock;
            std::vector<FleetRetryBudget> budgets(vms, FleetRetryBudget(bound));
            for (auto &budget : budgets) {
                budget.setVms(vms);
            }
            std::deque<TimePoint> requests;
            std::deque<TimePoint> retries;
            const auto steps = *rc::gen::inRange(50, 400);
            for (int step = 0; step < steps; ++step) {
                clock.advance(milliseconds(*rc::gen::inRange(0, 120)));
                auto &budget = budgets[*rc::gen::inRange<std::size_t>(0, vms)];
                if (*rc::gen::inRange(0, 3) == 0) {
                    budget.onRequest("s", clock.now());
                    requests.push_back(clock.now());
                } else if (budget.tryAcquire("s", clock.now())) {
                    retries.push_back(clock.now());
                }
                for (auto *times : {&requests, &retries}) {
                    while (!times->empty() && times->front() <= clock.now() - bound.window) {
                        times->pop_front();
                    }
                }
                RC_ASSERT(static_cast<double>(retries.size()) <= bound.ratio * static_cast<double>(requests.size()) + bound.slack);
            }
        });
    }

    auto servicesHaveSeparateBudgets() -> void
    {
        ManualClock clock;
        FleetRetryBudget budget({0, 2, seconds(10)});
        CPPUNIT_ASSERT(budget.tryAcquire("a", clock.now()));
        CPPUNIT_ASSERT(!budget.tryAcquire("a", clock.now()));
        CPPUNIT_ASSERT(budget.tryAcquire("b", clock.now()));
        clock.advance(seconds(11));
        CPPUNIT_ASSERT(budget.tryAcquire("a", clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRetryBudgetTest);
