#include "currantstack/decisions/end_evidence.h"

#include "check.h"

using namespace currantstack;

class EndEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndEvidenceTest);
    CPPUNIT_TEST(noticesAreVerifiedOnce);
    CPPUNIT_TEST(laterNoticesAreVerifiedAgain);
    CPPUNIT_TEST(answersAfterTheNoticeDisproveIt);
    CPPUNIT_TEST(upstreamsReachedLatelyAreUsedUntilTheNoticeIsVerified);
    CPPUNIT_TEST(noticesThatAgreeWithOwnFailuresNeedNoProbe);
    CPPUNIT_TEST(refusalsProveAnEndOnlyIfAnotherVmFindsIt);
    CPPUNIT_TEST(refusalsProveAnEndIfThereAreNoOtherVms);
    CPPUNIT_TEST(answersAndTimeEndTheEvidence);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    EndEvidence m_evidence;

    static auto upstream() -> Upstream
    {
        Upstream result;
        result.id = "e";
        return result;
    }

    /// Receives a notice that was issued this long ago.
    auto receive(const EndEvidence::Contact &contact, Duration age = milliseconds(0)) -> NoticeUse
    {
        return m_evidence.onNotice({"e", ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime - age}, contact,
                                   m_clock.now());
    }

public:
    auto setUp() -> void override
    {
        m_clock = ManualClock();
        m_clock.advance(seconds(100));
        m_evidence = EndEvidence();
    }

    auto noticesAreVerifiedOnce() -> void
    {
        CPPUNIT_ASSERT(receive({}) == NoticeUse::ExcludeAndVerify);
        for (int repetition = 1; repetition < 40; ++repetition) {
            m_clock.advance(milliseconds(60));
            if (repetition == 5) {
                m_evidence.onVerified("e", m_clock.now());
            }
            CPPUNIT_ASSERT(receive({}, repetition * milliseconds(60)) == NoticeUse::Exclude);
        }
    }

    auto laterNoticesAreVerifiedAgain() -> void
    {
        receive({});
        m_clock.advance(milliseconds(300));
        m_evidence.onVerified("e", m_clock.now());
        m_clock.advance(milliseconds(500));
        CPPUNIT_ASSERT(receive({}) == NoticeUse::ExcludeAndVerify);
    }

    auto answersAfterTheNoticeDisproveIt() -> void
    {
        CPPUNIT_ASSERT(receive({.sinceNotice = true, .recent = true}) == NoticeUse::Ignore);
    }

    auto upstreamsReachedLatelyAreUsedUntilTheNoticeIsVerified() -> void
    {
        CPPUNIT_ASSERT(receive({.recent = true}) == NoticeUse::Verify);
        CPPUNIT_ASSERT(receive({.recent = true}) == NoticeUse::Ignore);
        CPPUNIT_ASSERT(receive({}) == NoticeUse::Exclude); // the answer is not recent any more
    }

    auto noticesThatAgreeWithOwnFailuresNeedNoProbe() -> void
    {
        CPPUNIT_ASSERT(receive({.failed = true}) == NoticeUse::Exclude);
    }

    auto refusalsProveAnEndOnlyIfAnotherVmFindsIt() -> void
    {
        CPPUNIT_ASSERT(!m_evidence.onRefused(upstream(), true, m_clock.now()));
        CPPUNIT_ASSERT(!m_evidence.onWitness("f", m_clock.now()));
        const auto ended = m_evidence.onWitness("e", m_clock.now());
        CPPUNIT_ASSERT(ended && ended->id == "e");
        CPPUNIT_ASSERT(!m_evidence.onWitness("e", m_clock.now())); // reported once
        CPPUNIT_ASSERT(m_evidence.onRefused(upstream(), true, m_clock.now())); // the other VM was the first
    }

    auto refusalsProveAnEndIfThereAreNoOtherVms() -> void
    {
        CPPUNIT_ASSERT(m_evidence.onRefused(upstream(), false, m_clock.now()));
    }

    auto answersAndTimeEndTheEvidence() -> void
    {
        m_evidence.onRefused(upstream(), true, m_clock.now());
        m_evidence.onReached("e");
        CPPUNIT_ASSERT(!m_evidence.onWitness("e", m_clock.now()));
        m_evidence.onReached("e");
        CPPUNIT_ASSERT(!m_evidence.onRefused(upstream(), true, m_clock.now()));
        m_clock.advance(EndEvidence::Lifetime + milliseconds(1));
        CPPUNIT_ASSERT(!m_evidence.onWitness("e", m_clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndEvidenceTest);
