#include "currantstack/decisions/exclusion_list.h"

#include "check.h"

using namespace currantstack;

class ExclusionListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExclusionListTest);
    CPPUNIT_TEST(fullEnginesAreRetriedWhenAStreamShouldHaveEnded);
    CPPUNIT_TEST(fullBackoffIsBounded);
    CPPUNIT_TEST(refusalsBackOffExponentially);
    CPPUNIT_TEST(drainingNoticesCountWhileTheStoreIsUnreachable);
    CPPUNIT_TEST(roleChangesExcludeTheEngine);
    CPPUNIT_TEST(relayedNoticesDoNotOutliveTheirOrigin);
    CPPUNIT_TEST(roleChangesEndWhenTheEntryHasTheNewRole);
    CPPUNIT_TEST(laterNoticesExtendTheExclusion);
    CPPUNIT_TEST(staleNoticesAreIgnoredAfterReset);
    CPPUNIT_TEST(delayedNoticesExpire);
    CPPUNIT_TEST(outdatedEntriesAreExcludedUntilTheyAreRewritten);
    CPPUNIT_TEST(outdatedNoticesOfOtherVmsAreNotRepeatedAsOwn);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;

public:
    auto fullEnginesAreRetriedWhenAStreamShouldHaveEnded() -> void
    {
        // An engine runs six streams of 3 s, so that one ends every 500 ms. A VM that retried every 60 ms was refused each time.
        ExclusionList list;
        list.onFull("e", 6, seconds(3), m_clock.now());
        CPPUNIT_ASSERT(list.isFull("e", 6, m_clock.now()));
        CPPUNIT_ASSERT(list.isFull("e", 7, m_clock.now()));
        CPPUNIT_ASSERT(!list.isFull("e", 5, m_clock.now()));
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        m_clock.advance(milliseconds(499));
        CPPUNIT_ASSERT(list.isFull("e", 6, m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(!list.isFull("e", 6, m_clock.now()));
    }

    auto fullBackoffIsBounded() -> void
    {
        ExclusionList list;
        list.onFull("e", 0, seconds(30), m_clock.now());
        m_clock.advance(ExclusionList::LongestFullBackoff);
        CPPUNIT_ASSERT(!list.isFull("e", 0, m_clock.now()));
        list.onFull("e", 400, milliseconds(1), m_clock.now());
        CPPUNIT_ASSERT(list.isFull("e", 400, m_clock.now()));
        list.onAccepted("e");
        CPPUNIT_ASSERT(!list.isFull("e", 400, m_clock.now()));
    }

    auto refusalsBackOffExponentially() -> void
    {
        // An engine drains without notice to the VMs. One VM sent it 80 requests within two seconds.
        ExclusionList list;
        int attempts = 0;
        for (int step = 0; step < 2000; ++step) {
            if (!list.contains("e", EngineRole::Decode, false, m_clock.now())) {
                ++attempts;
                list.onRefused("e", m_clock.now());
            }
            m_clock.advance(milliseconds(1));
        }
        CPPUNIT_ASSERT(attempts <= 6);
        m_clock.advance(ExclusionList::LongestBackoff);
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.onAccepted("e");
        list.onRefused("e", m_clock.now());
        m_clock.advance(ExclusionList::FirstBackoff);
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto drainingNoticesCountWhileTheStoreIsUnreachable() -> void
    {
        ExclusionList list;
        list.merge({"e", ExclusionReason::Draining, EngineRole::None, seconds(2)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, true, m_clock.now()));
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto roleChangesExcludeTheEngine() -> void
    {
        ExclusionList list;
        list.add({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(6)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.notices(m_clock.now()).size());
        list.reset("e", m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto relayedNoticesDoNotOutliveTheirOrigin() -> void
    {
        // Two VMs that send each other the same notice repeatedly do not keep it alive.
        ExclusionList first;
        ExclusionList second;
        first.add({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(6)}, m_clock.now());
        for (int step = 0; step < 100; ++step) {
            for (const auto &notice : first.notices(m_clock.now())) {
                second.merge(notice, m_clock.now());
            }
            for (const auto &notice : second.notices(m_clock.now())) {
                first.merge(notice, m_clock.now());
            }
            m_clock.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT(!first.contains("e", EngineRole::Decode, true, m_clock.now()));
        CPPUNIT_ASSERT(second.notices(m_clock.now()).empty());
    }

    auto roleChangesEndWhenTheEntryHasTheNewRole() -> void
    {
        // An engine finishes its streams in four seconds, changes its role in six, and its entry shows the new role two seconds later.
        // With a notice of six seconds, 70 VMs retried it too early, 190 times per second in total.
        ExclusionList list;
        list.merge({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)}, m_clock.now());
        for (int second = 0; second < 12; ++second) {
            CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
            m_clock.advance(seconds(1));
        }
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Prefill, false, m_clock.now()));
        list.merge({"e", ExclusionReason::ChangingRole, EngineRole::Decode, seconds(20)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Prefill, false, m_clock.now()));
    }

    auto laterNoticesExtendTheExclusion() -> void
    {
        ExclusionList list;
        list.merge({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(2)}, m_clock.now());
        m_clock.advance(seconds(1));
        list.merge({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)}, m_clock.now());
        m_clock.advance(seconds(19));
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        m_clock.advance(seconds(1));
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto staleNoticesAreIgnoredAfterReset() -> void
    {
        // The engine restarted, which cancels the order; VMs that have not observed the restart yet still send the notice.
        ExclusionList list;
        const ExclusionNotice notice{"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)};
        list.merge(notice, m_clock.now());
        list.reset("e", m_clock.now());
        m_clock.advance(ExclusionList::StaleNoticeWindow - milliseconds(1));
        list.merge(notice, m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        m_clock.advance(milliseconds(1));
        list.merge(notice, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto outdatedEntriesAreExcludedUntilTheyAreRewritten() -> void
    {
        // An engine crashed, and another one answers at its address before the store drops the old entry. Each of 90 VMs wasted
        // prefills on it.
        ExclusionList list;
        list.merge({"e", ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.onCurrent("e", m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.add({"x", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)}, m_clock.now());
        list.onCurrent("x", m_clock.now());
        CPPUNIT_ASSERT(list.contains("x", EngineRole::Decode, false, m_clock.now()));
    }

    auto delayedNoticesExpire() -> void
    {
        // Each transmission of the notice takes two seconds, so the remaining time in it is too long each time.
        ExclusionList list;
        ExclusionNotice notice{"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)};
        for (auto elapsed = Duration::zero(); elapsed < ExclusionList::MaxNoticeLifetime; elapsed += seconds(2)) {
            list.merge(notice, m_clock.now());
            const auto sent = list.notices(m_clock.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), sent.size());
            notice = sent.front();
            m_clock.advance(seconds(2));
        }
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto outdatedNoticesOfOtherVmsAreNotRepeatedAsOwn() -> void
    {
        ExclusionList list;
        const ExclusionNotice notice{"e", ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime};
        list.merge(notice, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        CPPUNIT_ASSERT(list.ownNotices(m_clock.now()).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.notices(m_clock.now()).size());
        CPPUNIT_ASSERT(!list.hasObservedOutdated("e", m_clock.now()));
        list.add(notice, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.ownNotices(m_clock.now()).size());
        CPPUNIT_ASSERT(list.hasObservedOutdated("e", m_clock.now()));
        list.merge({"f", ExclusionReason::Draining, EngineRole::None, ExclusionList::DrainingLifetime}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.ownNotices(m_clock.now()).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExclusionListTest);
