#include "currantstack/decisions/engine_placement.h"

#include "check.h"

#include <fmt/format.h>

using namespace currantstack;

namespace
{

/// Engines of one service and the work at each.
struct Pool
{
    std::vector<Upstream> upstreams;
    std::vector<InFlightWork> work;
    std::vector<double> health;
    bool isAggregate = false; // of the engines in other places

    auto add(EngineRole role, std::string place, InFlightWork load = {}) -> void
    {
        Upstream upstream;
        upstream.id = fmt::format("e{}", upstreams.size());
        upstream.role = role;
        upstream.place = std::move(place);
        upstreams.push_back(std::move(upstream));
        work.push_back(load);
        health.push_back(1);
    }

    auto views(EngineRole role, const PlaceMap &places) const -> std::vector<EngineView>
    {
        std::vector<EngineView> result;
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            if (upstreams[index].role == role) {
                const auto distance = places.distance("here", upstreams[index].place);
                result.push_back({&upstreams[index], work[index], health[index], distance, isAggregate && distance != Distance::SamePlace});
            }
        }
        return result;
    }
};

} // namespace

class EnginePlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EnginePlacementTest);
    CPPUNIT_TEST(idlePoolsPrefillAndDecodeSeparately);
    CPPUNIT_TEST(mixedPrefillsStayWithinTheGapGoal);
    CPPUNIT_TEST(idleDecodeEnginesPrefillWithoutPrefillEngines);
    CPPUNIT_TEST(fullEnginesAreNotChosen);
    CPPUNIT_TEST(aLargeRequestFitsAnIdleEngine);
    CPPUNIT_TEST(nearbyPlacesArePreferred);
    CPPUNIT_TEST(capacityIsLeftAtEnginesOfOtherPlaces);
    CPPUNIT_TEST(transfersGoToADecodeEngineWithCapacity);
    CPPUNIT_TEST(unhealthyEnginesAreUsedOnlyIfAllAre);
    CPPUNIT_TEST(aPeakLoadIsSpreadEvenly);
    CPPUNIT_TEST(reservedCapacityIsLeftFree);
    CPPUNIT_TEST(urgentPromptsOvertakeOthers);
    CPPUNIT_TEST(resumedStreamsAvoidTheFailedEngine);
    CPPUNIT_TEST(pairsAreOfOneSoftwareVersionIfPossible);
    CPPUNIT_TEST(expectedOutputFollowsObservedStreams);
    CPPUNIT_TEST_SUITE_END();

    PlaceMap m_places{{{"here", "r1"}, {"near", "r1"}, {"far", "r2"}}};
    EngineSpec m_spec{64, 33770, 12, 18432, 550000, milliseconds(500), milliseconds(2000), seconds(6)};
    EngineSpeeds m_speeds;
    Random m_random{7};

    auto plan(const Pool &pool, RequestShape shape, std::string_view failedEngine = "") -> std::optional<StreamPlan>
    {
        const auto prefill = pool.views(EngineRole::Prefill, m_places);
        const auto decode = pool.views(EngineRole::Decode, m_places);
        const PlacementInputs inputs{prefill, decode, shape, m_spec, m_speeds, m_places, milliseconds(300)};
        return failedEngine.empty() ? planStream(inputs, m_random) : planResume(inputs, failedEngine, m_random);
    }

public:
    auto idlePoolsPrefillAndDecodeSeparately() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here");
        const auto chosen = plan(pool, {3000, 2000, 0});
        CPPUNIT_ASSERT(chosen && chosen->prefill != nullptr);
        CPPUNIT_ASSERT(chosen->timeToFirstToken < milliseconds(200));
    }

    auto mixedPrefillsStayWithinTheGapGoal() -> void
    {
        // A long prefill queue must not delay the events of other streams on the decode engine.
        CHECK_PROPERTY("a prefill among running streams stays within the gap goal", [this] {
            Pool pool;
            pool.add(EngineRole::Prefill, "here", {*rc::gen::inRange(0, 60000) * 1.0, 0, 3});
            pool.add(EngineRole::Decode, "here", {*rc::gen::inRange(0, 3000) * 1.0, 9000, 3});
            const RequestShape shape{*rc::gen::inRange(100, 6600) * 1.0, 2000, 0};
            const auto chosen = plan(pool, shape);
            if (chosen && chosen->prefill == nullptr) {
                const double prefillMs = (pool.work[1].promptTokens + shape.promptTokens) / m_speeds.mixedPrefillRate();
                RC_ASSERT(prefillMs <= 0.5 * 300);
            }
        });
    }

    auto idleDecodeEnginesPrefillWithoutPrefillEngines() -> void
    {
        Pool pool;
        pool.add(EngineRole::Decode, "here");
        const auto chosen = plan(pool, {6000, 2000, 0});
        CPPUNIT_ASSERT(chosen && chosen->prefill == nullptr);
    }

    auto fullEnginesAreNotChosen() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here", {0, 33000, 8});
        CPPUNIT_ASSERT(!plan(pool, {3000, 2000, 0}));
        pool.work[1] = {0, 100, 64};
        CPPUNIT_ASSERT(!plan(pool, {3000, 2000, 0}));
        CPPUNIT_ASSERT(!plan(Pool{}, {3000, 2000, 0}));
    }

    auto reservedCapacityIsLeftFree() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here", {0, 20000, 5});
        const auto withReserve = [&](double reserved) {
            const auto prefill = pool.views(EngineRole::Prefill, m_places);
            const auto decode = pool.views(EngineRole::Decode, m_places);
            PlacementInputs inputs{prefill, decode, {3000, 2000, 0}, m_spec, m_speeds, m_places, milliseconds(300)};
            inputs.reservedStreams = reserved;
            return planStream(inputs, m_random).has_value();
        };
        CPPUNIT_ASSERT(withReserve(0) && withReserve(1));
        CPPUNIT_ASSERT(!withReserve(8));
    }

    auto urgentPromptsOvertakeOthers() -> void
    {
        const InFlightWork work{9000, 0, 3, 1000, 1};
        const RequestShape shape{3000, 100, 0};
        CPPUNIT_ASSERT_EQUAL(9000.0, promptTokensAhead(work, shape, false));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("those of its rank and one that has begun", 4000.0, promptTokensAhead(work, shape, true));
    }

    auto aLargeRequestFitsAnIdleEngine() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here");
        CPPUNIT_ASSERT(plan(pool, {33000, 2000, 0}).has_value());
        pool.work[1] = {0, 100, 1};
        CPPUNIT_ASSERT(!plan(pool, {33000, 2000, 0}));
        pool.work[1] = {};
        CPPUNIT_ASSERT(!plan(pool, {34000, 2000, 0}));
    }

    auto nearbyPlacesArePreferred() -> void
    {
        for (int round = 0; round < 100; ++round) {
            Pool pool;
            for (const auto *place : {"far", "near", "here"}) {
                pool.add(EngineRole::Prefill, place);
                pool.add(EngineRole::Decode, place);
            }
            const auto chosen = plan(pool, {3000, 2000, 0});
            CPPUNIT_ASSERT(chosen->prefill->place != "far");
            CPPUNIT_ASSERT(chosen->decode->place != "far");
        }
    }

    auto capacityIsLeftAtEnginesOfOtherPlaces() -> void
    {
        // At a peak load every engine is nearly full, and aggregates are 300 ms old. Without the margin, nine in ten reservations in
        // other regions were refused, each after two round trips.
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "far", {0, 26500, 8});
        CPPUNIT_ASSERT(plan(pool, {3000, 2000, 0}));
        pool.isAggregate = true;
        CPPUNIT_ASSERT(!plan(pool, {3000, 2000, 0}));
        pool.work[1] = {0, 20000, 6};
        CPPUNIT_ASSERT(plan(pool, {3000, 2000, 0}));
    }

    auto transfersGoToADecodeEngineWithCapacity() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "far");
        pool.add(EngineRole::Decode, "here", {0, 33000, 9});
        pool.add(EngineRole::Decode, "far");
        const auto prefill = pool.views(EngineRole::Prefill, m_places);
        const auto decode = pool.views(EngineRole::Decode, m_places);
        const PlacementInputs inputs{prefill, decode, {3000, 2000, 0}, m_spec, m_speeds, m_places, milliseconds(300)};
        const auto chosen = planTransfer(inputs, pool.upstreams[0], m_random);
        CPPUNIT_ASSERT(chosen && chosen->prefill == &pool.upstreams[0] && chosen->decode == &pool.upstreams[2]);
        CPPUNIT_ASSERT(chosen->prefillTime == Duration::zero());
        pool.work[2] = {0, 33000, 9};
        const auto full = pool.views(EngineRole::Decode, m_places);
        const PlacementInputs later{prefill, full, {3000, 2000, 0}, m_spec, m_speeds, m_places, milliseconds(300)};
        CPPUNIT_ASSERT(!planTransfer(later, pool.upstreams[0], m_random));
    }

    auto unhealthyEnginesAreUsedOnlyIfAllAre() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here");
        pool.add(EngineRole::Decode, "far");
        pool.health[1] = 0.01;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), plan(pool, {3000, 2000, 0})->decode->place);
        pool.health[2] = 0.01;
        CPPUNIT_ASSERT(plan(pool, {3000, 2000, 0}).has_value());
    }

    auto aPeakLoadIsSpreadEvenly() -> void
    {
        // 60 simultaneous requests on 6 prefill and 12 decode engines.
        Pool pool;
        for (int engine = 0; engine < 6; ++engine) {
            pool.add(EngineRole::Prefill, "here");
        }
        for (int engine = 0; engine < 12; ++engine) {
            pool.add(EngineRole::Decode, "here");
        }
        int placed = 0;
        for (int request = 0; request < 60; ++request) {
            const auto chosen = plan(pool, {3000, 2000, 0});
            if (!chosen) {
                continue;
            }
            ++placed;
            const auto index = [&pool](const Upstream *upstream) { return static_cast<std::size_t>(upstream - pool.upstreams.data()); };
            pool.work[index(chosen->decode)] += {chosen->prefill == nullptr ? 3000.0 : 0, 3800, 1};
            if (chosen->prefill != nullptr) {
                pool.work[index(chosen->prefill)] += {3000, 3000, 1};
            }
        }
        CPPUNIT_ASSERT_EQUAL(60, placed);
        int least = 60;
        int most = 0;
        for (std::size_t engine = 6; engine < 18; ++engine) {
            least = std::min(least, pool.work[engine].requests);
            most = std::max(most, pool.work[engine].requests);
        }
        CPPUNIT_ASSERT(most - least <= 2);
        for (std::size_t engine = 0; engine < 6; ++engine) {
            CPPUNIT_ASSERT(std::abs(pool.work[engine].requests - 10) <= 2);
        }
    }

    auto resumedStreamsAvoidTheFailedEngine() -> void
    {
        Pool pool;
        pool.add(EngineRole::Prefill, "here");
        pool.add(EngineRole::Decode, "here");
        CPPUNIT_ASSERT(!plan(pool, {3000, 2000, 0}, "e1"));
        pool.add(EngineRole::Decode, "far", {0, 4000, 1});
        const auto chosen = plan(pool, {3000, 2000, 0}, "e1");
        CPPUNIT_ASSERT(chosen && chosen->prefill == nullptr && chosen->decode->id == "e2");
    }

    auto pairsAreOfOneSoftwareVersionIfPossible() -> void
    {
        const InFlightWork busy{3000, 3000, 1};
        Pool pool;
        for (const auto *version : {"v1", "v2"}) {
            pool.add(EngineRole::Prefill, "here");
            pool.upstreams.back().softwareVersion = version;
            pool.add(EngineRole::Decode, "here", busy);
            pool.upstreams.back().softwareVersion = version;
        }
        pool.work[3] = {}; // v2 decodes at once, v1 prefills at once
        pool.work[2] = busy;
        for (int repetition = 0; repetition < 20; ++repetition) {
            const auto chosen = plan(pool, {3000, 100, 0});
            CPPUNIT_ASSERT(chosen);
            CPPUNIT_ASSERT(chosen->prefill == nullptr || chosen->prefill->softwareVersion == chosen->decode->softwareVersion);
        }
        pool.upstreams.erase(pool.upstreams.begin() + 1); // no decode engine of v1 is left
        pool.work.erase(pool.work.begin() + 1);
        pool.work[1] = {300000, 3000, 20}; // and the prefill engine of v2 is seconds behind
        const auto chosen = plan(pool, {3000, 100, 0});
        CPPUNIT_ASSERT(chosen && chosen->decode->softwareVersion == "v2");
    }

    auto expectedOutputFollowsObservedStreams() -> void
    {
        EngineSpeeds speeds;
        const RequestShape shape{1000, 2000, 0};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000 * EngineSpeeds::InitialOutputShare, speeds.expectedOutput(shape), 1);
        for (int stream = 0; stream < 50; ++stream) {
            speeds.observeStream(milliseconds(1500), shape, 300);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(300, speeds.expectedOutput(shape), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200, speeds.expectedOutput({1000, 2000, 100}), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, speeds.expectedOutput({1000, 100, 0}), 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, speeds.requestCost().streamMs, 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EnginePlacementTest);
