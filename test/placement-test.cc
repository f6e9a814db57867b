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
    CPPUNIT_TEST(prefersFreeSlotsToAQueue);
    CPPUNIT_TEST(neverChoosesAnOwnerWithoutCapacity);
    CPPUNIT_TEST(countsRequestsSentSinceTheReport);
    CPPUNIT_TEST(prefixAffinityYieldsToAShorterBacklog);
    CPPUNIT_TEST(baselinesResequenceValidIndices);
    CPPUNIT_TEST_SUITE_END();

public:
    auto prefersFreeSlotsToAQueue() -> void
    {
        Random random(1);
        const std::vector<OwnerView> views = {makeView("a", 20, 0, 5, true), makeView("b", 20, 4, 0)};
        for (int round = 0; round < 50; ++round) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseOwner(views, Role::Decode, 0, random));
        }
    }

    auto neverChoosesAnOwnerWithoutCapacity() -> void
    {
        CHECK_PROPERTY("an owner without capacity is never chosen", [](const std::vector<bool> &hasCapacity, std::uint16_t seed) {
            Random random(seed);
            std::vector<OwnerView> views;
            for (const bool entry : hasCapacity) {
                views.push_back(makeView("vm", entry ? 20 : 0, entry ? 3 : 0, 0));
            }
            const auto chosen = chooseOwner(views, Role::Decode, 0, random);
            RC_ASSERT(chosen.has_value() == (std::find(hasCapacity.begin(), hasCapacity.end(), true) != hasCapacity.end()));
            if (chosen) {
                RC_ASSERT(hasCapacity[*chosen]);
            }
        });
    }

    auto countsRequestsSentSinceTheReport() -> void
    {
        auto view = makeView("a", 20, 2, 0);
        CPPUNIT_ASSERT(expectedWait(view, Role::Decode, 0) == Duration::zero());
        view.sentSinceReport = 5;
        CPPUNIT_ASSERT(expectedWait(view, Role::Decode, 0) > milliseconds(100));
    }

    auto prefixAffinityYieldsToAShorterBacklog() -> void
    {
        Random random(1);
        auto withPrefix = makeView("a", 3, 0, 0);
        withPrefix.holdsPrefix = true;
        withPrefix.pool.backlogMs = 500;
        auto idle = makeView("b", 3, 3, 0);
        const std::vector<OwnerView> views = {withPrefix, idle};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseOwner(views, Role::Prefill, 100, random));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *chooseOwner(views, Role::Prefill, 1000, random));
    }

    auto baselinesResequenceValidIndices() -> void
    {
        Random random(1);
        const std::vector<EngineLoad> loads = {{"a", 0.9}, {"b", 0.1}, {"c", 0.5}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, *chooseBaselineEngine(PolicyKind::LeastLoad, loads, 0, random));
        for (std::size_t sequence = 0; sequence < 20; ++sequence) {
            for (const auto policy : {PolicyKind::Random, PolicyKind::RoundRobin, PolicyKind::TwoChoices}) {
                CPPUNIT_ASSERT(*chooseBaselineEngine(policy, loads, sequence, random) < 3);
            }
        }
        CPPUNIT_ASSERT(!chooseBaselineEngine(PolicyKind::Random, {}, 0, random));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
