#include "currantstack/decisions/upstream_notices.h"

#include "check.h"

using namespace currantstack;

class UpstreamNoticesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamNoticesTest);
    CPPUNIT_TEST(leavingUpstreamGetsNoRequestUntilItRestarts);
    CPPUNIT_TEST(announcementHoldsWhateverTheEntrySays);
    CPPUNIT_TEST(lateAnswerOfAnEarlierStartDoesNotMarkTheNextOne);
    CPPUNIT_TEST(pausedUpstreamGetsNoRequestUntilTheLatestEnd);
    CPPUNIT_TEST(restartEndsThePause);
    CPPUNIT_TEST(pausesAreCapped);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(endedPausesMakeRoomFirst);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    UpstreamNotices m_notices;

    static auto upstream(std::string id, std::int64_t startedAtMs) -> Upstream
    {
        Upstream result;
        result.id = std::move(id);
        result.startedAtMs = startedAtMs;
        return result;
    }

public:
    auto leavingUpstreamGetsNoRequestUntilItRestarts() -> void
    {
        CPPUNIT_ASSERT(m_notices.mayGetRequest(upstream("a", 1), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.onLeaving(upstream("a", 1), m_clock.now()));
        CPPUNIT_ASSERT(!m_notices.onLeaving(upstream("a", 1), m_clock.now()));
        CPPUNIT_ASSERT(!m_notices.mayGetRequest(upstream("a", 1), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.mayGetRequest(upstream("a", 2), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.mayGetRequest(upstream("b", 1), m_clock.now()));
        m_clock.advance(std::chrono::hours(1));
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream("a", 1)));
    }

    auto announcementHoldsWhateverTheEntrySays() -> void
    {
        m_notices.onLeaving(upstream("a", 1), m_clock.now());
        auto entry = upstream("a", 1);
        entry.draining = false;
        entry.revision = 99;
        entry.address = "127.0.0.1:1";
        CPPUNIT_ASSERT(!m_notices.mayGetRequest(entry, m_clock.now()));
    }

    auto lateAnswerOfAnEarlierStartDoesNotMarkTheNextOne() -> void
    {
        CPPUNIT_ASSERT(m_notices.onLeaving(upstream("a", 2), m_clock.now()));
        CPPUNIT_ASSERT(!m_notices.onLeaving(upstream("a", 1), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream("a", 2)));
        CPPUNIT_ASSERT(m_notices.onLeaving(upstream("a", 3), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream("a", 3)));
    }

    auto pausedUpstreamGetsNoRequestUntilTheLatestEnd() -> void
    {
        const auto engine = upstream("a", 1);
        CPPUNIT_ASSERT(m_notices.onPause(engine, seconds(3), m_clock.now()));
        CPPUNIT_ASSERT(!m_notices.onPause(engine, seconds(1), m_clock.now()));
        CPPUNIT_ASSERT(!m_notices.onPause(upstream("b", 1), Duration::zero(), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.mayGetRequest(upstream("b", 1), m_clock.now()));
        m_clock.advance(seconds(2));
        CPPUNIT_ASSERT(m_notices.onPause(engine, seconds(2), m_clock.now()));
        m_clock.advance(milliseconds(1999));
        CPPUNIT_ASSERT(!m_notices.mayGetRequest(engine, m_clock.now()));
        CPPUNIT_ASSERT(m_notices.pauseLeft(engine, m_clock.now()) == milliseconds(1));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(m_notices.mayGetRequest(engine, m_clock.now()));
    }

    auto restartEndsThePause() -> void
    {
        m_notices.onPause(upstream("a", 1), seconds(3), m_clock.now());
        CPPUNIT_ASSERT(m_notices.mayGetRequest(upstream("a", 2), m_clock.now()));
        m_notices.onPause(upstream("a", 2), seconds(1), m_clock.now());
        CPPUNIT_ASSERT(!m_notices.onPause(upstream("a", 1), seconds(9), m_clock.now()));
        CPPUNIT_ASSERT(m_notices.pauseLeft(upstream("a", 2), m_clock.now()) == seconds(1));
    }

    auto pausesAreCapped() -> void
    {
        m_notices.onPause(upstream("a", 1), 24 * UpstreamNotices::LongestPause, m_clock.now());
        CPPUNIT_ASSERT(m_notices.pauseLeft(upstream("a", 1), m_clock.now()) == UpstreamNotices::LongestPause);
    }

    auto endedPausesMakeRoomFirst() -> void
    {
        m_notices.onLeaving(upstream("leaving", 1), m_clock.now());
        for (std::size_t number = 0; number < 2 * UpstreamNotices::MaxUpstreams; ++number) {
            m_clock.advance(milliseconds(1));
            m_notices.onPause(upstream(std::to_string(number), 1), milliseconds(5), m_clock.now());
        }
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream("leaving", 1)));
        CPPUNIT_ASSERT(m_notices.size() <= UpstreamNotices::MaxUpstreams);
    }

    auto memoryIsBounded() -> void
    {
        for (std::size_t number = 0; number < UpstreamNotices::MaxUpstreams + 10; ++number) {
            m_notices.onLeaving(upstream(std::to_string(number), 1), m_clock.now());
            m_clock.advance(milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(UpstreamNotices::MaxUpstreams, m_notices.size());
        CPPUNIT_ASSERT(!m_notices.isLeaving(upstream("9", 1)));
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream("10", 1)));
        CPPUNIT_ASSERT(m_notices.isLeaving(upstream(std::to_string(UpstreamNotices::MaxUpstreams + 9), 1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamNoticesTest);
