#include "currantstack/decisions/avoid_list.h"

#include "check.h"

using namespace currantstack;

class AvoidListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AvoidListTest);
    CPPUNIT_TEST(fullEnginesAreAskedAgainSoon);
    CPPUNIT_TEST(unwillingEnginesAreAskedLessAndLess);
    CPPUNIT_TEST(noticesOfLeavingCountWithoutTheStore);
    CPPUNIT_TEST(roleChangesCountForAll);
    CPPUNIT_TEST(noticesDoNotOutliveTheirOrigin);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;

public:
    auto fullEnginesAreAskedAgainSoon() -> void
    {
        AvoidList list;
        for (int turn = 0; turn < 20; ++turn) {
            list.onRefused("e", true, m_clock.now());
            CPPUNIT_ASSERT(list.contains("e", false, m_clock.now()));
            m_clock.advance(AvoidList::FullPause);
            CPPUNIT_ASSERT(!list.contains("e", false, m_clock.now()));
        }
    }

    auto unwillingEnginesAreAskedLessAndLess() -> void
    {
        // The load: an engine that drains, before VMs that cannot know it. It was asked 80 times in two seconds by one of them.
        AvoidList list;
        int asked = 0;
        for (int step = 0; step < 2000; ++step) {
            if (!list.contains("e", false, m_clock.now())) {
                ++asked;
                list.onRefused("e", false, m_clock.now());
            }
            m_clock.advance(milliseconds(1));
        }
        CPPUNIT_ASSERT(asked <= 6);
        m_clock.advance(AvoidList::LongestPause);
        CPPUNIT_ASSERT(!list.contains("e", false, m_clock.now()));
        list.onAccepted("e");
        list.onRefused("e", false, m_clock.now());
        m_clock.advance(2 * AvoidList::FullPause);
        CPPUNIT_ASSERT(!list.contains("e", false, m_clock.now()));
    }

    auto noticesOfLeavingCountWithoutTheStore() -> void
    {
        AvoidList list;
        list.hear({"e", AvoidReason::Leaving, seconds(2)}, m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", true, m_clock.now()));
        CPPUNIT_ASSERT(!list.contains("e", false, m_clock.now()));
    }

    auto roleChangesCountForAll() -> void
    {
        AvoidList list;
        list.add("e", AvoidReason::ChangesRole, seconds(6), m_clock.now());
        CPPUNIT_ASSERT(list.contains("e", false, m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.notices(m_clock.now()).size());
        list.forget("e");
        CPPUNIT_ASSERT(!list.contains("e", false, m_clock.now()));
    }

    auto noticesDoNotOutliveTheirOrigin() -> void
    {
        // Two VMs that tell each other the same notice again and again do not keep it alive.
        AvoidList first;
        AvoidList second;
        first.add("e", AvoidReason::ChangesRole, seconds(6), m_clock.now());
        for (int step = 0; step < 100; ++step) {
            for (const auto &notice : first.notices(m_clock.now())) {
                second.hear(notice, m_clock.now());
            }
            for (const auto &notice : second.notices(m_clock.now())) {
                first.hear(notice, m_clock.now());
            }
            m_clock.advance(milliseconds(100));
        }
        CPPUNIT_ASSERT(!first.contains("e", true, m_clock.now()));
        CPPUNIT_ASSERT(second.notices(m_clock.now()).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AvoidListTest);
