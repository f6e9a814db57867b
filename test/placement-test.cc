#include "currantstack/placement.h"

#include "check.h"

using namespace currantstack;

namespace
{

auto makeView(const std::string &owner, int capacity, int free, int queued, bool isSelf = false) -> OwnerView
{
    OwnerView view;
    view.owner = owner;
    view.pool = {"pool", capacity, free, queued, 0, 10};
    view.isSelf = isSelf;
    return view;
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(prefersFreeOverQueued);
    CPPUNIT_TEST(neverAsksAnOwnerWithoutCapacity);
    CPPUNIT_TEST(ownPendingAsksCount);
    CPPUNIT_TEST(prefixNeverCostsMoreThanItSaves);
    CPPUNIT_TEST(baselinesStayInRange);
    CPPUNIT_TEST_SUITE_END();

public:
    auto prefersFreeOverQueued() -> void
    {
        Random random(1);
        const std::vector<OwnerView> views = {makeView("a", 20, 0, 5, true), makeView("b", 20, 4, 0)};
        for (int round = 0; round < 50; ++round) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseOwner(views, Role::Decode, 0, random));
        }
    }

    auto neverAsksAnOwnerWithoutCapacity() -> void
    {
        CHECK_PROPERTY("an owner without capacity is never asked", [](const std::vector<bool> &able, std::uint16_t seed) {
            Random random(seed);
            std::vector<OwnerView> views;
            for (const bool entry : able) {
                views.push_back(makeView("vm", entry ? 20 : 0, entry ? 3 : 0, 0));
            }
            const auto chosen = chooseOwner(views, Role::Decode, 0, random);
            RC_ASSERT(chosen.has_value() == (std::find(able.begin(), able.end(), true) != able.end()));
            if (chosen) {
                RC_ASSERT(able[*chosen]);
            }
        });
    }

    auto ownPendingAsksCount() -> void
    {
        auto view = makeView("a", 20, 2, 0);
        CPPUNIT_ASSERT(expectedWait(view, Role::Decode, 0) == Duration::zero());
        view.pending = 5;
        CPPUNIT_ASSERT(expectedWait(view, Role::Decode, 0) > milliseconds(100));
    }

    auto prefixNeverCostsMoreThanItSaves() -> void
    {
        Random random(1);
        auto holder = makeView("a", 3, 0, 0);
        holder.holdsPrefix = true;
        holder.pool.backlogMs = 500;
        auto idle = makeView("b", 3, 3, 0);
        const std::vector<OwnerView> views = {holder, idle};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseOwner(views, Role::Prefill, 100, random));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *chooseOwner(views, Role::Prefill, 1000, random));
    }

    auto baselinesStayInRange() -> void
    {
        Random random(1);
        const std::vector<EngineLoad> loads = {{"a", 0.9}, {"b", 0.1}, {"c", 0.5}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseEngine(PolicyKind::LeastLoad, loads, 0, random));
        for (std::size_t turn = 0; turn < 20; ++turn) {
            for (const auto policy : {PolicyKind::Random, PolicyKind::RoundRobin, PolicyKind::TwoChoices}) {
                CPPUNIT_ASSERT(*chooseEngine(policy, loads, turn, random) < 3);
            }
        }
        CPPUNIT_ASSERT(!chooseEngine(PolicyKind::Random, {}, 0, random));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
