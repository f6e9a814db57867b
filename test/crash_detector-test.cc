#include "currantstack/decisions/crash_detector.h"

#include "check.h"

using namespace currantstack;

class CrashDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashDetectorTest);
    CPPUNIT_TEST(closedConnectionAndRefusalAreACrash);
    CPPUNIT_TEST(refusalBeforeTheClosedConnectionCounts);
    CPPUNIT_TEST(resetConnectionsAreNoCrash);
    CPPUNIT_TEST(proofsAreRequestedAtMostOncePerPeriod);
    CPPUNIT_TEST(unreachableUpstreamsAreNoCrash);
    CPPUNIT_TEST(upstreamsThatLeaveAreNoCrash);
    CPPUNIT_TEST(removedEntryProvesTheCrash);
    CPPUNIT_TEST(restartUnderTheSameIdIsAnotherCrash);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    CrashDetector m_detector;
    std::vector<Traits> m_suspects;
    int m_proofsNeeded = 0;
    TimePoint m_crashedAt;

    static auto upstream(std::int64_t startedAtMs = 1) -> Upstream
    {
        Upstream result;
        result.id = "e";
        result.startedAtMs = startedAtMs;
        return result;
    }

    auto close(Fingerprint fingerprint, std::int64_t startedAtMs = 1) -> void
    {
        m_detector.onConnectionClosed(upstream(startedAtMs), {fingerprint}, m_clock.now());
    }

public:
    auto setUp() -> void override
    {
        m_detector.setHooks({[this](const std::string &, const std::vector<Traits> &requests, TimePoint at) {
                                 m_crashedAt = at;
                                 m_suspects.insert(m_suspects.end(), requests.begin(), requests.end());
                             },
                             [this](const Upstream &) { ++m_proofsNeeded; }});
    }

    auto closedConnectionAndRefusalAreACrash() -> void
    {
        close(1);
        close(2);
        CPPUNIT_ASSERT(m_suspects.empty() && m_proofsNeeded == 1);
        m_detector.onEndProved(incarnationOf(upstream()), m_clock.now());
        CPPUNIT_ASSERT(m_suspects == (std::vector<Traits>{{1}, {2}}));
    }

    auto refusalBeforeTheClosedConnectionCounts() -> void
    {
        m_detector.onEndProved(incarnationOf(upstream()), m_clock.now());
        close(1);
        CPPUNIT_ASSERT(m_suspects == std::vector<Traits>{{1}});
    }

    auto resetConnectionsAreNoCrash() -> void
    {
        close(1);
        m_detector.onAlive(incarnationOf(upstream()));
        m_detector.onEndProved(incarnationOf(upstream()), m_clock.now()); // ends later for another reason
        CPPUNIT_ASSERT(m_suspects.empty());
    }

    auto proofsAreRequestedAtMostOncePerPeriod() -> void
    {
        // An upstream at its limit of connections resets many of them and is alive each time.
        for (int reset = 0; reset < 300; ++reset) {
            close(1);
            m_detector.onAlive(incarnationOf(upstream()));
            m_clock.advance(milliseconds(10));
        }
        CPPUNIT_ASSERT(m_proofsNeeded >= 2 && m_proofsNeeded <= 3);
        CPPUNIT_ASSERT(m_suspects.empty());
    }

    auto unreachableUpstreamsAreNoCrash() -> void
    {
        close(1); // the connection was reset by a cut, and no proof follows
        m_clock.advance(CrashDetector::ProofTimeout + milliseconds(1));
        m_detector.onRemoved(incarnationOf(upstream()), m_clock.now());
        CPPUNIT_ASSERT(m_suspects.empty());
    }

    auto upstreamsThatLeaveAreNoCrash() -> void
    {
        // An upstream of a release loses its entry, completes its requests and ends.
        m_detector.onRemoved(incarnationOf(upstream()), m_clock.now());
        m_detector.onEndProved(incarnationOf(upstream()), m_clock.now());
        CPPUNIT_ASSERT(m_suspects.empty() && m_proofsNeeded == 0);
    }

    auto removedEntryProvesTheCrash() -> void
    {
        close(1);
        const auto closedAt = m_clock.now();
        m_clock.advance(milliseconds(3600));
        m_detector.onRemoved(incarnationOf(upstream()), m_clock.now());
        CPPUNIT_ASSERT(m_crashedAt == closedAt);
        CPPUNIT_ASSERT(m_suspects == std::vector<Traits>{{1}});
    }

    auto restartUnderTheSameIdIsAnotherCrash() -> void
    {
        close(1);
        m_detector.onEndProved(incarnationOf(upstream()), m_clock.now());
        close(2, 5000);
        CPPUNIT_ASSERT(m_suspects == std::vector<Traits>{{1}});
        m_detector.onEndProved(incarnationOf(upstream(5000)), m_clock.now());
        CPPUNIT_ASSERT(m_suspects == (std::vector<Traits>{{1}, {2}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);
