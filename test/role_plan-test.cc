#include "currantstack/decisions/role_plan.h"

#include "check.h"

#include <fmt/format.h>
#include <map>

using namespace currantstack;

class RolePlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolePlanTest);
    CPPUNIT_TEST(balanceFollowsTheRequestMix);
    CPPUNIT_TEST(balanceKeepsBothRoles);
    CPPUNIT_TEST(smallOrShortDeviationsAreIgnored);
    CPPUNIT_TEST(fewEnginesChangeAtOnce);
    CPPUNIT_TEST(unsettledStreamDurationsAreNotUsed);
    CPPUNIT_TEST(orderedEnginesCoolDown);
    CPPUNIT_TEST(changesComeFromThePlaceWithTheLargestShare);
    CPPUNIT_TEST(ordersStopAtTheBalance);
    CPPUNIT_TEST(largeFleetsIgnoreSmallSwings);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    EngineSpec m_spec{64, 33770, 12, 18432, 550000, milliseconds(500), milliseconds(2000), seconds(6)};

    static auto engines(std::size_t prefill, std::size_t decode) -> std::vector<Upstream>
    {
        std::vector<Upstream> result(prefill + decode);
        for (std::size_t index = 0; index < result.size(); ++index) {
            result[index].id = fmt::format("e{}", index);
            result[index].place = fmt::format("p{}", index % 3);
            result[index].role = index < prefill ? EngineRole::Prefill : EngineRole::Decode;
        }
        return result;
    }

    static auto pointers(const std::vector<Upstream> &upstreams) -> std::vector<const Upstream *>
    {
        std::vector<const Upstream *> result;
        for (const auto &upstream : upstreams) {
            result.push_back(&upstream);
        }
        return result;
    }

public:
    auto balanceFollowsTheRequestMix() -> void
    {
        const RequestCost longAnswers{3000, 90, 3300, 3800};
        const RequestCost longPrompts{12000, 360, 1000, 12300};
        const auto few = balancedPrefillEngines(longAnswers, m_spec, 18);
        const auto many = balancedPrefillEngines(longPrompts, m_spec, 18);
        CPPUNIT_ASSERT(few > 3.5 && few < 5.5);
        CPPUNIT_ASSERT(many > few);
    }

    auto balanceKeepsBothRoles() -> void
    {
        CHECK_PROPERTY("at least one engine of each role", [this] {
            const RequestCost cost{*rc::gen::inRange(0, 20000) * 1.0, *rc::gen::inRange(0, 5000) * 1.0, *rc::gen::inRange(0, 20000) * 1.0,
                                   *rc::gen::inRange(0, 40000) * 1.0};
            const auto count = *rc::gen::inRange<std::size_t>(2, 200);
            const auto prefill = balancedPrefillEngines(cost, m_spec, count);
            RC_ASSERT(prefill >= 1 && prefill <= static_cast<double>(count) - 1);
        });
    }

    auto smallOrShortDeviationsAreIgnored() -> void
    {
        const auto upstreams = engines(6, 12);
        const auto all = pointers(upstreams);
        RolePlanner planner;
        CPPUNIT_ASSERT(planner.propose(all, 5.5, milliseconds(500), m_clock.now()).empty());
        m_clock.advance(seconds(10));
        CPPUNIT_ASSERT(planner.propose(all, 5.5, milliseconds(500), m_clock.now()).empty());
        CPPUNIT_ASSERT(planner.propose(all, 4, milliseconds(500), m_clock.now()).empty());
        m_clock.advance(seconds(1));
        CPPUNIT_ASSERT(planner.propose(all, 8, milliseconds(500), m_clock.now()).empty());
        m_clock.advance(RolePlanner::MinDeviationTime);
        const auto changes = planner.propose(all, 8, milliseconds(500), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), changes.size());
        CPPUNIT_ASSERT(changes[0].role == EngineRole::Prefill && changes[0].engine->role == EngineRole::Decode);
    }

    auto fewEnginesChangeAtOnce() -> void
    {
        const auto upstreams = engines(49, 91);
        const auto all = pointers(upstreams);
        RolePlanner planner;
        planner.propose(all, 28, milliseconds(500), m_clock.now());
        m_clock.advance(RolePlanner::MinDeviationTime);
        const auto first = planner.propose(all, 28, milliseconds(500), m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), first.size());
        for (const auto &change : first) {
            planner.onOrdered(change.engine->id, change.role, m_clock.now());
        }
        m_clock.advance(seconds(1));
        CPPUNIT_ASSERT(planner.propose(all, 28, milliseconds(500), m_clock.now()).empty());
        // Engines that did not change are ordered again only after the cooldown.
        m_clock.advance(RolePlanner::OrderCooldown);
        CPPUNIT_ASSERT(planner.propose(all, 28, milliseconds(500), m_clock.now()).empty());
        m_clock.advance(RolePlanner::MinDeviationTime);
        CPPUNIT_ASSERT(!planner.propose(all, 28, milliseconds(500), m_clock.now()).empty());
    }

    auto unsettledStreamDurationsAreNotUsed() -> void
    {
        // Streams take one to eight seconds. After three seconds, the mean of those that ended is two seconds, from which follow 60
        // prefill engines of 140; the correct number is 28.
        const auto upstreams = engines(49, 91);
        const auto all = pointers(upstreams);
        RolePlanner planner;
        for (int second = 0; second < 6; ++second) {
            CPPUNIT_ASSERT(planner.propose(all, 60, seconds(2), m_clock.now()).empty());
            m_clock.advance(seconds(1));
        }
        planner.propose(all, 28, milliseconds(3300), m_clock.now());
        m_clock.advance(RolePlanner::MinDeviationTime);
        for (const auto &change : planner.propose(all, 28, milliseconds(3300), m_clock.now())) {
            CPPUNIT_ASSERT(change.role == EngineRole::Decode);
        }
    }

    auto orderedEnginesCoolDown() -> void
    {
        const auto upstreams = engines(1, 1);
        const auto all = pointers(upstreams);
        RolePlanner planner;
        planner.propose(all, 0.1, milliseconds(500), m_clock.now());
        m_clock.advance(RolePlanner::MinDeviationTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), planner.propose(all, 0.1, milliseconds(500), m_clock.now()).size());
        planner.onOrdered("e0", EngineRole::Decode, m_clock.now());
        m_clock.advance(RolePlanner::OrderCooldown - milliseconds(1));
        CPPUNIT_ASSERT(planner.propose(all, 0.1, milliseconds(500), m_clock.now()).empty());
    }

    auto changesComeFromThePlaceWithTheLargestShare() -> void
    {
        auto upstreams = engines(4, 8);
        for (std::size_t index = 0; index < 4; ++index) {
            upstreams[index].place = index == 0 ? "p1" : "p2";
        }
        const auto all = pointers(upstreams);
        RolePlanner planner;
        planner.propose(all, 3, milliseconds(500), m_clock.now());
        m_clock.advance(RolePlanner::MinDeviationTime);
        CPPUNIT_ASSERT_EQUAL(std::string("p2"), planner.propose(all, 3, milliseconds(500), m_clock.now()).front().engine->place);
    }

    auto ordersStopAtTheBalance() -> void
    {
        // Engines finish their streams, change, and are registered with the new role twelve seconds after the order. If the planner
        // counted registered roles only, it would order too many engines to change and later order the surplus to change back.
        constexpr int RegisteredAfter = 12; // seconds
        auto upstreams = engines(49, 91);
        RolePlanner planner;
        std::map<int, std::vector<RoleChange>> registeredAt; // second
        int orders = 0;
        for (int second = 0; second < 120; ++second) {
            for (const auto &change : registeredAt[second]) {
                const_cast<Upstream *>(change.engine)->role = change.role;
            }
            registeredAt[second + RegisteredAfter] = planner.propose(pointers(upstreams), 28, milliseconds(500), m_clock.now());
            for (const auto &change : registeredAt[second + RegisteredAfter]) {
                planner.onOrdered(change.engine->id, change.role, m_clock.now());
                ++orders;
            }
            m_clock.advance(seconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(21, orders);
    }

    auto largeFleetsIgnoreSmallSwings() -> void
    {
        // The target of 140 engines swings by a few at each peak load; a change makes an engine unavailable for more than ten seconds.
        const auto upstreams = engines(28, 112);
        const auto all = pointers(upstreams);
        RolePlanner planner;
        for (int second = 0; second < 60; ++second) {
            const double target = second / 10 % 2 == 0 ? 25 : 31;
            CPPUNIT_ASSERT(planner.propose(all, target, milliseconds(500), m_clock.now()).empty());
            m_clock.advance(seconds(1));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolePlanTest);
