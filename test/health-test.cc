#include "currantstack/health.h"

#include "check.h"

using namespace currantstack;

namespace
{

const TimePoint Start{seconds(1000)};

} // namespace

class HealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthTest);
    CPPUNIT_TEST(weightFallsFastAndRecoversSlowly);
    CPPUNIT_TEST(streamsOfOneSlowStepCountOnce);
    CPPUNIT_TEST(ejectedShareIsLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    auto weightFallsFastAndRecoversSlowly() -> void
    {
        HealthTracker health;
        auto now = Start;
        for (int index = 0; index < 8; ++index) {
            now += milliseconds(50);
            health.observe("e0", 4, now);
        }
        CPPUNIT_ASSERT(health.weight("e0", now) < HealthTracker::EjectionThreshold);
        CPPUNIT_ASSERT(health.weight("e0", now + seconds(1)) < 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight("e0", now + seconds(5)));
        health.observe("e1", 1.2, now);
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight("e1", now));
    }

    auto streamsOfOneSlowStepCountOnce() -> void
    {
        HealthTracker health;
        for (int stream = 0; stream < 20; ++stream) {
            health.observe("e0", 4, Start);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight("e0", Start)); // a single slow step does not lower the weight
        const auto next = Start + milliseconds(60);
        for (int stream = 0; stream < 20; ++stream) {
            health.observe("e0", 4, next);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(HealthTracker::FallFactor, health.weight("e0", next), 1e-9);
    }

    auto ejectedShareIsLimited() -> void
    {
        CHECK_PROPERTY("at most the given share of a pool is ejected", []() {
            HealthTracker health;
            auto now = Start;
            std::vector<std::string> pool;
            const int size = *rc::gen::inRange(1, 12);
            for (int index = 0; index < size; ++index) {
                pool.push_back("e" + std::to_string(index));
            }
            const auto failures = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, size));
            for (const int index : failures) {
                now += milliseconds(50);
                health.observeFailure(pool[static_cast<std::size_t>(index)], now);
            }
            int ejected = 0;
            for (const auto &[name, weight] : health.weights(pool, 0.34, now)) {
                ejected += weight < HealthTracker::EjectionThreshold ? 1 : 0;
            }
            RC_ASSERT(ejected <= static_cast<int>(0.34 * size));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthTest);
