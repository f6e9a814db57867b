#include "currantstack/decisions/exclusion_list.h"

#include "check.h"

using namespace currantstack;

class AvoidListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AvoidListTest);
    CPPUNIT_TEST(fullEnginesAreAskedAgainWhenAStreamEnds);
    CPPUNIT_TEST(fullPausesAreBounded);
    CPPUNIT_TEST(unwillingEnginesAreAskedLessAndLess);
    CPPUNIT_TEST(noticesOfLeavingCountWithoutTheStore);
    CPPUNIT_TEST(roleChangesCountForAll);
    CPPUNIT_TEST(noticesDoNotOutliveTheirOrigin);
    CPPUNIT_TEST(roleChangesEndWithTheEntry);
    CPPUNIT_TEST(acceptedOrdersExtendTheirAnnouncement);
    CPPUNIT_TEST(whatIsForgottenIsNotHeardAgain);
    CPPUNIT_TEST(delayedNoticesEnd);
    CPPUNIT_TEST(outdatedEntriesAreAvoidedUntilTheyAreWritten);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;

public:
    auto fullEnginesAreAskedAgainWhenAStreamEnds() -> void
    {
        // The load: an engine with six streams of 3 s; one ends every 500 ms. A VM that asked every 60 ms was refused each time.
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

    auto fullPausesAreBounded() -> void
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

    auto unwillingEnginesAreAskedLessAndLess() -> void
    {
        // The load: an engine that drains, before VMs that cannot know it. It was asked 80 times in two seconds by one of them.
        ExclusionList list;
        int asked = 0;
        for (int step = 0; step < 2000; ++step) {
            if (!list.contains("e", EngineRole::Decode, false, m_clock.now())) {
                ++asked;
                list.onRefused("e", m_clock.now());
            }
            m_clock.advance(milliseconds(1));
        }
        CPPUNIT_ASSERT(asked <= 6);
        m_clock.advance(ExclusionList::LongestBackoff);
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.onAccepted("e");
        list.onRefused("e", m_clock.now());
        m_clock.advance(ExclusionList::FirstBackoff);
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto noticesOfLeavingCountWithoutTheStore() -> void
    {
        ExclusionList list;
        list.merge({"e", ExclusionReason::Draining, EngineRole::None, seconds(2)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, true, m_clock.now()));
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto roleChangesCountForAll() -> void
    {
        ExclusionList list;
        list.add({"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(6)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.notices(m_clock.now()).size());
        list.forget("e", m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto noticesDoNotOutliveTheirOrigin() -> void
    {
        // Two VMs that tell each other the same notice again and again do not keep it alive.
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

    auto roleChangesEndWithTheEntry() -> void
    {
        // The load: 70 VMs before an engine that ends its streams for four seconds, changes for six, and is listed two seconds
        // later. A notice of six seconds had all of them ask it again too early, 190 times a second.
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

    auto acceptedOrdersExtendTheirAnnouncement() -> void
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

    auto whatIsForgottenIsNotHeardAgain() -> void
    {
        // The engine started again, which makes the order void; slower VMs still tell of it.
        ExclusionList list;
        const ExclusionNotice notice{"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)};
        list.merge(notice, m_clock.now());
        list.forget("e", m_clock.now());
        m_clock.advance(ExclusionList::StaleNoticeWindow - milliseconds(1));
        list.merge(notice, m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        m_clock.advance(milliseconds(1));
        list.merge(notice, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }

    auto outdatedEntriesAreAvoidedUntilTheyAreWritten() -> void
    {
        // The load: an engine crashed, and another one answers at its address before the store drops the old entry. 90 VMs had each
        // read prompts for it in vain.
        ExclusionList list;
        list.merge({"e", ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.onUpdated("e", m_clock.now());
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
        list.add({"x", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)}, m_clock.now());
        list.onUpdated("x", m_clock.now());
        CPPUNIT_ASSERT(list.contains("x", EngineRole::Decode, false, m_clock.now()));
    }

    auto delayedNoticesEnd() -> void
    {
        // Each way of the notice takes two seconds, so that what it says of the time left is too long each time.
        ExclusionList list;
        ExclusionNotice notice{"e", ExclusionReason::ChangingRole, EngineRole::Prefill, seconds(20)};
        for (auto passed = Duration::zero(); passed < ExclusionList::MaxNoticeLifetime; passed += seconds(2)) {
            list.merge(notice, m_clock.now());
            const auto told = list.notices(m_clock.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
            notice = told.front();
            m_clock.advance(seconds(2));
        }
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvoidListTest);
