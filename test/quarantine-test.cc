#include "currantstack/quarantine.h"

#include "check.h"

using namespace currantstack;

namespace
{

const TimePoint Start{seconds(1000)};
constexpr Duration Length = seconds(600);

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(quarantinesAfterTwoUpstreamsCrash);
    CPPUNIT_TEST(sameUpstreamTwiceCountsOnce);
    CPPUNIT_TEST(oldCrashesDoNotCount);
    CPPUNIT_TEST(mergesEntriesAndExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    auto quarantinesAfterTwoUpstreamsCrash() -> void
    {
        Quarantine quarantine;
        CPPUNIT_ASSERT(!quarantine.recordCrash(7, "e0", Length, Start));
        CPPUNIT_ASSERT(quarantine.isSuspect(7, Start));
        CPPUNIT_ASSERT(quarantine.recordCrash(7, "e1", Length, Start));
        CPPUNIT_ASSERT(quarantine.isQuarantined(7, Start));
        CPPUNIT_ASSERT(!quarantine.isQuarantined(8, Start));
    }

    auto sameUpstreamTwiceCountsOnce() -> void
    {
        Quarantine quarantine;
        quarantine.recordCrash(7, "e0", Length, Start);
        CPPUNIT_ASSERT(!quarantine.recordCrash(7, "e0", Length, Start));
    }

    auto oldCrashesDoNotCount() -> void
    {
        Quarantine quarantine;
        quarantine.recordCrash(7, "e0", Length, Start);
        CPPUNIT_ASSERT(!quarantine.recordCrash(7, "e1", Length, Start + Quarantine::SuspectLifetime + seconds(1)));
    }

    auto mergesEntriesAndExpires() -> void
    {
        Quarantine first;
        Quarantine second;
        first.recordCrash(7, "e0", Length, Start);
        first.recordCrash(7, "e1", Length, Start);
        second.merge(first.entries(Start), Start);
        CPPUNIT_ASSERT(second.isQuarantined(7, Start + Length - seconds(1)));
        CPPUNIT_ASSERT(!second.isQuarantined(7, Start + Length));
        second.expire(Start + Length);
        CPPUNIT_ASSERT(second.entries(Start).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
