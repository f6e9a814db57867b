#include "currantstack/decisions/memory_budget.h"

#include "check.h"

#include <vector>

using namespace currantstack;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(aBudgetLeavesRoomForTheProcessAndItsHeap);
    CPPUNIT_TEST(grantsEndWithTheirHolders);
    CPPUNIT_TEST(newRequestsLeaveRoomForAcceptedOnes);
    CPPUNIT_TEST(connectionsLeaveRoomForRequests);
    CPPUNIT_TEST(largeAnswersLeaveRoomForSmallRequests);
    CPPUNIT_TEST(aGrowingTextIsAccountedWithItsCopy);
    CPPUNIT_TEST(textsWithoutABudgetAreUnlimited);
    CPPUNIT_TEST(noSequenceExceedsTheBudgetOrLeaks);
    CPPUNIT_TEST(backlogsNeverExhaustTheBudget);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t Megabyte = 1U << 20;

    static auto bodiesCeiling(const MemoryBudget &budget) -> std::size_t
    {
        return static_cast<std::size_t>(MemoryBudget::BodiesShare * static_cast<double>(budget.bytes()));
    }

    static auto sumOfUses(const MemoryBudget &budget) -> std::size_t
    {
        std::size_t sum = 0;
        for (const auto use : memoryUses()) {
            sum += budget.inUse(use);
        }
        return sum;
    }

public:
    auto aBudgetLeavesRoomForTheProcessAndItsHeap() -> void
    {
        const auto smallest = MemoryBudget::budgetOf(MemoryBudget::MinMemory);
        CPPUNIT_ASSERT(smallest < MemoryBudget::MinMemory - MemoryBudget::ProcessBytes);
        MemoryBudget budget(smallest);
        CPPUNIT_ASSERT(budget.grant(MemoryUse::Bodies).tryResize(4 * Megabyte));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), MemoryBudget::budgetOf(MemoryBudget::ProcessBytes));
    }

    auto grantsEndWithTheirHolders() -> void
    {
        MemoryBudget budget(100 * Megabyte);
        {
            auto body = budget.grant(MemoryUse::Bodies);
            CPPUNIT_ASSERT(body.tryResize(4 * Megabyte));
            auto moved = std::move(body);
            CPPUNIT_ASSERT_EQUAL(4 * Megabyte, budget.inUse(MemoryUse::Bodies));
            moved = budget.grant(MemoryUse::Bodies);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.inUse());
            CPPUNIT_ASSERT(moved.tryResize(Megabyte));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.inUse());
    }

    auto newRequestsLeaveRoomForAcceptedOnes() -> void
    {
        MemoryBudget budget(100 * Megabyte);
        auto bodies = budget.grant(MemoryUse::Bodies);
        CPPUNIT_ASSERT(bodies.tryResize(75 * Megabyte));
        CPPUNIT_ASSERT(!bodies.tryResize(75 * Megabyte + 1));
        {
            auto small = budget.grant(MemoryUse::Bodies);
            CPPUNIT_ASSERT(small.tryResize(MemoryBudget::SmallBodyBytes) && !small.tryResize(MemoryBudget::SmallBodyBytes + 1));
        }
        auto requests = budget.grant(MemoryUse::Requests);
        CPPUNIT_ASSERT(requests.tryResize(15 * Megabyte) && !requests.tryResize(16 * Megabyte));
        auto answer = budget.grant(MemoryUse::Answers);
        CPPUNIT_ASSERT(answer.tryResize(10 * Megabyte) && !answer.tryResize(11 * Megabyte));
        CPPUNIT_ASSERT_EQUAL(MemoryBudget::MinBacklog, budget.backlogLimit());
        auto tables = budget.grant(MemoryUse::Tables);
        tables.set(Megabyte); // cannot be refused
        CPPUNIT_ASSERT_EQUAL(101 * Megabyte, budget.inUse());
        CPPUNIT_ASSERT_EQUAL(MemoryBudget::MinBacklog, budget.backlogLimit());
    }

    auto connectionsLeaveRoomForRequests() -> void
    {
        MemoryBudget budget(100 * Megabyte);
        auto connections = budget.grant(MemoryUse::Connections);
        CPPUNIT_ASSERT(connections.tryResize(59 * Megabyte) && !connections.tryResize(61 * Megabyte));
        auto requests = budget.grant(MemoryUse::Requests);
        CPPUNIT_ASSERT(requests.tryResize(30 * Megabyte));
        CPPUNIT_ASSERT_MESSAGE("what requests hold counts as well", !connections.tryResize(62 * Megabyte));
    }

    // Load: callers that read nothing of large answers. If these fill the budget, every other request is refused.
    auto largeAnswersLeaveRoomForSmallRequests() -> void
    {
        MemoryBudget budget(20 * Megabyte);
        auto bodies = budget.grant(MemoryUse::Bodies);
        CPPUNIT_ASSERT(bodies.tryResize(15 * Megabyte));
        auto first = budget.grant(MemoryUse::Answers);
        CPPUNIT_ASSERT_MESSAGE("one large answer always goes on", first.tryResize(4 * Megabyte));
        bodies.set(0);
        std::vector<MemoryGrant> answers;
        for (int answer = 0; answer < 10; ++answer) {
            answers.push_back(budget.grant(MemoryUse::Answers));
            answers.back().tryResize(4 * Megabyte);
        }
        CPPUNIT_ASSERT_EQUAL(16 * Megabyte, budget.inUse(MemoryUse::Answers));
        CPPUNIT_ASSERT(budget.grant(MemoryUse::Requests).tryResize(MemoryBudget::RequestBytes));
        CPPUNIT_ASSERT(budget.grant(MemoryUse::Answers).tryResize(MemoryBudget::SmallBodyBytes));
    }

    auto aGrowingTextIsAccountedWithItsCopy() -> void
    {
        MemoryBudget budget(16 * Megabyte); // 12 MB for bodies
        auto grant = budget.grant(MemoryUse::Bodies);
        std::string text;
        CPPUNIT_ASSERT(grant.tryGrow(text, 4 * Megabyte, 4 * Megabyte) && text.capacity() == 4 * Megabyte);
        text.assign(4 * Megabyte, 'x');
        CPPUNIT_ASSERT(grant.tryGrow(text, 4 * Megabyte + 1, 8 * Megabyte)); // 8 MB and the former 4 MB
        CPPUNIT_ASSERT_EQUAL(8 * Megabyte, grant.bytes());
        CPPUNIT_ASSERT(!grant.tryGrow(text, 8 * Megabyte + 1, 16 * Megabyte));
        CPPUNIT_ASSERT_EQUAL(8 * Megabyte, budget.inUse());
    }

    auto textsWithoutABudgetAreUnlimited() -> void
    {
        MemoryGrant grant;
        std::string text;
        CPPUNIT_ASSERT(grant.tryGrow(text, Megabyte, Megabyte) && text.capacity() >= Megabyte);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), grant.bytes());
    }

    /// Requests arrive with declared bodies or chunk by chunk, collect answers, and end, in any order.
    auto noSequenceExceedsTheBudgetOrLeaks() -> void
    {
        struct Request
        {
            MemoryGrant state;
            MemoryGrant body;
            MemoryGrant answer;
            std::string text;
        };
        CHECK_PROPERTY("no sequence of arrivals, reads and ends exceeds the budget or leaks from it", []() {
            MemoryBudget budget(*rc::gen::inRange<std::size_t>(100'000, 2'000'000));
            {
                std::vector<Request> requests;
                const auto steps = *rc::gen::inRange(1, 200);
                for (int step = 0; step < steps; ++step) {
                    const auto action = *rc::gen::inRange(0, 4);
                    const auto size = *rc::gen::inRange<std::size_t>(0, 400'000);
                    const auto before = budget.inUse();
                    if (action == 0) {
                        Request request{budget.grant(MemoryUse::Requests), budget.grant(MemoryUse::Bodies),
                                        budget.grant(MemoryUse::Answers), ""};
                        const bool isAccepted =
                            request.state.tryResize(MemoryBudget::RequestBytes) && request.body.tryGrow(request.text, size, size);
                        if (isAccepted) {
                            RC_ASSERT(budget.inUse() >= before + MemoryBudget::RequestBytes);
                            requests.push_back(std::move(request));
                        }
                    } else if (!requests.empty()) {
                        auto &request = requests.at(size % requests.size());
                        if (action == 1) {
                            const auto length = request.text.size() + size / 8;
                            if (request.body.tryGrow(request.text, length, 400'000)) {
                                request.text.resize(length);
                                RC_ASSERT(request.text.size() <= std::max<std::size_t>(request.body.bytes(), 15));
                            }
                            const bool isLarge = request.body.bytes() > MemoryBudget::SmallBodyBytes;
                            RC_ASSERT(!isLarge || budget.inUse() <= std::max(before, bodiesCeiling(budget)));
                        } else if (action == 2) {
                            request.answer.tryResize(size);
                        } else {
                            std::swap(request, requests.back());
                            requests.pop_back();
                        }
                    }
                    RC_ASSERT(budget.inUse() <= budget.bytes());
                    RC_ASSERT(budget.inUse() == sumOfUses(budget));
                }
            }
            RC_ASSERT(budget.inUse() == 0U);
        });
    }

    /// Each caller's events wait up to the limit of the moment, whatever the number of callers and the order in which they grow.
    auto backlogsNeverExhaustTheBudget() -> void
    {
        CHECK_PROPERTY("backlogs of any number of callers that do not read fit into the budget", []() {
            constexpr std::size_t Events = 16U << 10; // bytes that arrive at once
            MemoryBudget budget(64 * Megabyte);
            std::vector<MemoryGrant> backlogs;
            const auto callers = *rc::gen::inRange<std::size_t>(1, 600);
            for (std::size_t caller = 0; caller < callers; ++caller) {
                backlogs.push_back(budget.grant(MemoryUse::Backlogs));
            }
            const auto steps = *rc::gen::inRange(1, 5000);
            for (int step = 0; step < steps; ++step) {
                auto &backlog = backlogs.at(static_cast<std::size_t>(step * 7919) % callers);
                if (backlog.bytes() <= budget.backlogLimit()) {
                    backlog.set(backlog.bytes() + Events);
                }
                const auto always = callers * (MemoryBudget::MinBacklog + Events); // part of `RequestBytes`
                RC_ASSERT(budget.inUse() <= budget.bytes() + always);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
