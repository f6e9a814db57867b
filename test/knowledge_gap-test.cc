#include "currantstack/decisions/knowledge_gap.h"
#include "currantstack/decisions/software_versions.h"
#include "currantstack/decisions/stream_origins.h"

#include "check.h"

using namespace currantstack;

class KnowledgeGapTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KnowledgeGapTest);
    CPPUNIT_TEST(aStartOpensAGapUntilAPeerHasTold);
    CPPUNIT_TEST(aSuspensionOpensAGap);
    CPPUNIT_TEST(whatWaitedDuringASuspensionClosesNoGap);
    CPPUNIT_TEST(answersToEarlierQuestionsCloseNoGap);
    CPPUNIT_TEST(aGapOutlastsTheStreamsOfBefore);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration TickPeriod = milliseconds(250);
    KnowledgeGap m_gap;
    TimePoint m_now = TimePoint() + seconds(1000);

    auto run(Duration time) -> void
    {
        for (const auto end = m_now + time; m_now < end; m_now += TickPeriod) {
            m_gap.tick(m_now);
        }
    }

public:
    auto aStartOpensAGapUntilAPeerHasTold() -> void
    {
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
        m_gap.close(m_now, m_now);
        CPPUNIT_ASSERT_MESSAGE("closed before the start", m_gap.isOpen(m_now));
        m_gap.begin(m_now);
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
        m_gap.close(m_now, m_now);
        CPPUNIT_ASSERT(!m_gap.isOpen(m_now));
        run(seconds(10));
        CPPUNIT_ASSERT(!m_gap.isOpen(m_now));
    }

    auto aSuspensionOpensAGap() -> void
    {
        run(seconds(10));
        m_now += seconds(3);
        CPPUNIT_ASSERT_MESSAGE("before the first timer after it", m_gap.isOpen(m_now));
        run(TickPeriod);
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
        m_gap.close(m_now, m_now);
        CPPUNIT_ASSERT(!m_gap.isOpen(m_now));
    }

    auto whatWaitedDuringASuspensionClosesNoGap() -> void
    {
        run(seconds(10));
        m_now += seconds(3);
        m_gap.close(m_now, m_now);
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
    }

    auto answersToEarlierQuestionsCloseNoGap() -> void
    {
        run(seconds(10));
        const auto askedAt = m_now;
        m_now += KnowledgeGap::SuspensionTime + milliseconds(100);
        run(TickPeriod);
        m_gap.close(askedAt, m_now);
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
        m_gap.close(m_now, m_now);
        CPPUNIT_ASSERT(!m_gap.isOpen(m_now));
    }

    // Load: a VM that reaches the store, but no peer, starts while callers of streams of a version that has left come back.
    auto aGapOutlastsTheStreamsOfBefore() -> void
    {
        CPPUNIT_ASSERT(KnowledgeGap::Lifetime >= StreamOrigins::Lifetime && KnowledgeGap::Lifetime >= SoftwareVersions::Lifetime);
        run(KnowledgeGap::Lifetime - milliseconds(500));
        CPPUNIT_ASSERT(m_gap.isOpen(m_now));
        run(seconds(1));
        CPPUNIT_ASSERT(!m_gap.isOpen(m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnowledgeGapTest);
