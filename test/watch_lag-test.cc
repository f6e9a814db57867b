#include "currantstack/decisions/watch_lag.h"

#include "check.h"

using namespace currantstack;

class WatchLagTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WatchLagTest);
    CPPUNIT_TEST(answersThatArriveAreNeverGivenUp);
    CPPUNIT_TEST(silentWatchesAreBegunAnewWithABackOff);
    CPPUNIT_TEST(theToleranceBeginsWithTheCall);
    CPPUNIT_TEST(aDeliveryEndsTheBackOff);
    CPPUNIT_TEST(aSlowStoreGetsMoreTime);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration AnswerAtOnce = milliseconds(4);
    static constexpr TimePoint Begin = TimePoint(seconds(100));

    Random m_random{1};
    WatchLag m_lag;

    static auto waiting(Duration age) -> AnswerProgress
    {
        return {AnswerProgress::State::Waiting, age, age};
    }

    /// Restarts a watch that never gets an answer for the time; returns how often.
    auto restartsWithin(Duration time) -> int
    {
        int restarts = 0;
        auto begunAt = Begin;
        for (auto now = Begin; now < Begin + time; now += milliseconds(10)) {
            if (!m_lag.judge(waiting(now - begunAt), AnswerAtOnce, now)) {
                m_lag.onRestarted(m_random);
                begunAt = now;
                ++restarts;
            }
        }
        return restarts;
    }

public:
    auto answersThatArriveAreNeverGivenUp() -> void
    {
        CHECK_PROPERTY(
            "an answer that arrives is not given up", [this](std::uint32_t ageMs, std::uint32_t received, std::uint8_t restarts) {
                WatchLag lag;
                lag.onPeerRevision(5, Begin, m_random);
                for (int count = 0; count < restarts; ++count) {
                    lag.onRestarted(m_random);
                }
                const auto age = milliseconds(ageMs);
                RC_ASSERT(lag.judge({AnswerProgress::State::Receiving, age, milliseconds(1), received, 0}, AnswerAtOnce, Begin + age)
                              .has_value());
            });
    }

    auto silentWatchesAreBegunAnewWithABackOff() -> void
    {
        m_lag.onPeerRevision(5, Begin, m_random);
        CPPUNIT_ASSERT(m_lag.isBehind());
        const auto restarts = restartsWithin(seconds(64));
        CPPUNIT_ASSERT(restarts >= 64 / 6 && restarts <= 3 + 64 / 4);
        CPPUNIT_ASSERT_EQUAL(restarts, m_lag.restarts());
    }

    auto theToleranceBeginsWithTheCall() -> void
    {
        m_lag.onPeerRevision(5, Begin, m_random);
        const auto now = Begin + seconds(10);
        const auto wait = m_lag.judge(waiting(milliseconds(100)), AnswerAtOnce, now);
        CPPUNIT_ASSERT(wait && *wait >= WatchLag::FirstTolerance - milliseconds(100));
        CPPUNIT_ASSERT(m_lag.judge({AnswerProgress::State::Paused}, AnswerAtOnce, now));
        CPPUNIT_ASSERT(!m_lag.judge(waiting(2 * WatchLag::FirstTolerance), AnswerAtOnce, now));
        CPPUNIT_ASSERT(m_lag.judge(waiting(2 * WatchLag::FirstTolerance), AnswerAtOnce,
                                   Begin + milliseconds(10))); // the call had nothing to deliver before
    }

    auto aDeliveryEndsTheBackOff() -> void
    {
        m_lag.onPeerRevision(5, Begin, m_random);
        restartsWithin(seconds(20));
        m_lag.onDelivered(4);
        CPPUNIT_ASSERT(m_lag.isBehind());
        CPPUNIT_ASSERT_EQUAL(0, m_lag.restarts());
        CPPUNIT_ASSERT(!m_lag.judge(waiting(2 * WatchLag::FirstTolerance), AnswerAtOnce, Begin + seconds(20)));
        m_lag.onDelivered(5);
        CPPUNIT_ASSERT(!m_lag.isBehind());
        CPPUNIT_ASSERT(m_lag.behindFor(Begin + seconds(20)) == Duration::zero());
    }

    auto aSlowStoreGetsMoreTime() -> void
    {
        m_lag.onPeerRevision(5, Begin, m_random);
        CPPUNIT_ASSERT(m_lag.judge(waiting(milliseconds(2500)), milliseconds(1500), Begin + seconds(5)));
        CPPUNIT_ASSERT(!m_lag.judge(waiting(milliseconds(5000)), milliseconds(1500), Begin + seconds(5)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchLagTest);
