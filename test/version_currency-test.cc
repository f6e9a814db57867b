#include "currantstack/decisions/version_currency.h"

#include "check.h"

using namespace currantstack;

class VersionCurrencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionCurrencyTest);
    CPPUNIT_TEST(aVmThatHasJustStartedIsNotCurrent);
    CPPUNIT_TEST(aReadMakesKnowledgeCurrentForAWhile);
    CPPUNIT_TEST(knowledgeIsNeverOlderThanItSeems);
    CPPUNIT_TEST_SUITE_END();

    VersionCurrency m_currency;
    TimePoint m_now = TimePoint() + seconds(1000);

public:
    auto aVmThatHasJustStartedIsNotCurrent() -> void
    {
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now));
    }

    auto aReadMakesKnowledgeCurrentForAWhile() -> void
    {
        m_currency.confirm(m_now);
        CPPUNIT_ASSERT(m_currency.isCurrent(m_now));
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now + VersionCurrency::MaxAge));
        m_currency.confirm(m_now - seconds(1));
        CPPUNIT_ASSERT_MESSAGE("an older answer comes late", m_currency.currentAt() == m_now);
    }

    auto knowledgeIsNeverOlderThanItSeems() -> void
    {
        CHECK_PROPERTY("current knowledge was confirmed as of a time within its age", []() {
            VersionCurrency currency;
            auto now = TimePoint() + seconds(1000);
            auto known = TimePoint();
            const auto steps =
                *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 1200)));
            for (const auto &[kind, ms] : steps) {
                now += milliseconds(kind == 0 ? ms : ms % 100 + 1);
                if (kind == 1) {
                    known = std::max(known, now - milliseconds(ms));
                    currency.confirm(now - milliseconds(ms));
                }
                RC_ASSERT(currency.isCurrent(now) == (now - known < VersionCurrency::MaxAge));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionCurrencyTest);
