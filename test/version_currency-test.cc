#include "currantstack/decisions/version_currency.h"

#include "check.h"

using namespace currantstack;

class VersionCurrencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionCurrencyTest);
    CPPUNIT_TEST(contactKeepsKnowledgeCurrent);
    CPPUNIT_TEST(aVmThatHasJustStartedIsNotCurrent);
    CPPUNIT_TEST(aReportAfterSilenceDoesNotMakeKnowledgeCurrent);
    CPPUNIT_TEST(contactThatLastsMakesKnowledgeCurrent);
    CPPUNIT_TEST(aReadMakesKnowledgeCurrentForAWhile);
    CPPUNIT_TEST(whatWaitedDuringASuspensionIsNoContact);
    CPPUNIT_TEST(knowledgeIsNeverOlderThanItSeems);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration CheckPeriod = milliseconds(100);
    VersionCurrency m_currency;
    TimePoint m_now = TimePoint() + seconds(1000);

    auto hear(Duration time) -> void
    {
        for (const auto end = m_now + time; m_now < end; m_now += CheckPeriod) {
            m_currency.onMostHeard(m_now, m_now);
        }
    }

    auto hearNobody(Duration time) -> void
    {
        const auto since = m_now;
        for (const auto end = m_now + time; m_now < end; m_now += CheckPeriod) {
            m_currency.onMostHeard(since, m_now);
        }
    }

public:
    auto contactKeepsKnowledgeCurrent() -> void
    {
        m_currency.confirm(m_now);
        hear(seconds(10));
        CPPUNIT_ASSERT(m_currency.isCurrent(m_now));
        hearNobody(VersionCurrency::MaxAge + CheckPeriod);
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now));
    }

    auto aVmThatHasJustStartedIsNotCurrent() -> void
    {
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now));
    }

    auto aReportAfterSilenceDoesNotMakeKnowledgeCurrent() -> void
    {
        hear(seconds(10));
        hearNobody(seconds(2));
        hear(VersionCurrency::ContactTime - CheckPeriod);
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now));
    }

    auto contactThatLastsMakesKnowledgeCurrent() -> void
    {
        hear(VersionCurrency::ContactTime + 2 * CheckPeriod);
        CPPUNIT_ASSERT(m_currency.isCurrent(m_now));
    }

    auto aReadMakesKnowledgeCurrentForAWhile() -> void
    {
        hearNobody(seconds(2));
        m_currency.confirm(m_now);
        CPPUNIT_ASSERT(m_currency.isCurrent(m_now));
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now + VersionCurrency::MaxAge));
    }

    auto whatWaitedDuringASuspensionIsNoContact() -> void
    {
        hear(seconds(10));
        m_now += seconds(3);
        m_currency.onMostHeard(m_now, m_now);
        CPPUNIT_ASSERT(!m_currency.isCurrent(m_now));
    }

    auto knowledgeIsNeverOlderThanItSeems() -> void
    {
        CHECK_PROPERTY("current knowledge was confirmed or kept by contact within its age", []() {
            VersionCurrency currency;
            auto now = TimePoint() + seconds(1000);
            auto known = TimePoint(); // as of which the VM knows all versions
            auto heardAt = now;
            auto heardSince = now; // begin of the contact, without a pause of `MaxAge`
            currency.onMostHeard(heardAt, now);
            const auto steps =
                *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 1200)));
            for (const auto &[kind, ms] : steps) {
                now += milliseconds(kind == 0 ? ms : ms % 100 + 1);
                if (kind == 1) {
                    known = std::max(known, now - milliseconds(ms));
                    currency.confirm(now - milliseconds(ms));
                } else if (kind == 2) {
                    heardSince = now - heardAt >= VersionCurrency::MaxAge ? now : heardSince;
                    heardAt = now;
                }
                const bool isKept = now - known < VersionCurrency::MaxAge || now - heardSince >= VersionCurrency::ContactTime;
                if (isKept && now - heardAt < VersionCurrency::MaxAge) {
                    known = std::max(known, heardAt);
                }
                currency.onMostHeard(heardAt, now);
                RC_ASSERT(!currency.isCurrent(now) || now - known < VersionCurrency::MaxAge);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionCurrencyTest);
