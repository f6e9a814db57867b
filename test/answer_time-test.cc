#include "currantstack/decisions/answer_time.h"

#include "check.h"

using namespace currantstack;

class AnswerTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerTimeTest);
    CPPUNIT_TEST(aStoreThatIsNotSlowGetsTheUsualWait);
    CPPUNIT_TEST(aSlowAnswerCountsAtOnceAndFadesByHalves);
    CPPUNIT_TEST(theWaitIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Usual = seconds(2);

    AnswerTime m_time;

public:
    auto aStoreThatIsNotSlowGetsTheUsualWait() -> void
    {
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == Usual);
        m_time.observe(milliseconds(500));
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == Usual);
    }

    auto aSlowAnswerCountsAtOnceAndFadesByHalves() -> void
    {
        m_time.observe(milliseconds(4));
        m_time.observe(milliseconds(2800));
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == milliseconds(5600));
        m_time.observe(milliseconds(4));
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == milliseconds(2800));
        m_time.observe(milliseconds(4));
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == Usual);
    }

    auto theWaitIsBounded() -> void
    {
        m_time.observe(seconds(100));
        CPPUNIT_ASSERT(m_time.waitFor(Usual) == AnswerTime::LongestWait);
        CPPUNIT_ASSERT(m_time.waitFor(seconds(30)) == seconds(30));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTimeTest);
