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
    CPPUNIT_TEST(refusesAfterTwoUpstreams);
    CPPUNIT_TEST(sameUpstreamTwiceIsOneWitness);
    CPPUNIT_TEST(oldDeathsDoNotCount);
    CPPUNIT_TEST(spreadsAndExpires);
    CPPUNIT_TEST_SUITE_END();

public:
    auto refusesAfterTwoUpstreams() -> void
    {
        Quarantine quarantine;
        CPPUNIT_ASSERT(!quarantine.report(7, "e0", Length, Start));
        CPPUNIT_ASSERT(quarantine.isSuspect(7, Start));
        CPPUNIT_ASSERT(quarantine.report(7, "e1", Length, Start));
        CPPUNIT_ASSERT(quarantine.isQuarantined(7, Start));
        CPPUNIT_ASSERT(!quarantine.isQuarantined(8, Start));
    }

    auto sameUpstreamTwiceIsOneWitness() -> void
    {
        Quarantine quarantine;
        quarantine.report(7, "e0", Length, Start);
        CPPUNIT_ASSERT(!quarantine.report(7, "e0", Length, Start));
    }

    auto oldDeathsDoNotCount() -> void
    {
        Quarantine quarantine;
        quarantine.report(7, "e0", Length, Start);
        CPPUNIT_ASSERT(!quarantine.report(7, "e1", Length, Start + Quarantine::SuspectTime + seconds(1)));
    }

    auto spreadsAndExpires() -> void
    {
        Quarantine first;
        Quarantine second;
        first.report(7, "e0", Length, Start);
        first.report(7, "e1", Length, Start);
        second.merge(first.entries(Start), Start);
        CPPUNIT_ASSERT(second.isQuarantined(7, Start + Length - seconds(1)));
        CPPUNIT_ASSERT(!second.isQuarantined(7, Start + Length));
        second.expire(Start + Length);
        CPPUNIT_ASSERT(second.entries(Start).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
