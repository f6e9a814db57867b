#include "currantstack/decisions/catch_up.h"

#include "check.h"

using namespace currantstack;

class CatchUpTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CatchUpTest);
    CPPUNIT_TEST(longValuesAreReadWhenOnlyTheLatestCounts);
    CPPUNIT_TEST(readsInARowAreLimited);
    CPPUNIT_TEST(anUpToDateReadEndsTheRow);
    CPPUNIT_TEST_SUITE_END();

    CatchUp m_catchUp{CatchUp::Needs::LatestState};

public:
    auto longValuesAreReadWhenOnlyTheLatestCounts() -> void
    {
        CHECK_PROPERTY("a read is preferred for long values of followers that are behind and need the latest state only",
                       [](std::uint32_t bytes, bool needsEach, bool isBehind) {
                           CatchUp catchUp(needsEach ? CatchUp::Needs::EachChange : CatchUp::Needs::LatestState);
                           catchUp.onValue(bytes % (2 * CatchUp::LongValue));
                           RC_ASSERT(catchUp.prefersRead(isBehind)
                                     == (isBehind && !needsEach && bytes % (2 * CatchUp::LongValue) >= CatchUp::LongValue));
                       });
    }

    auto readsInARowAreLimited() -> void
    {
        m_catchUp.onValue(CatchUp::LongValue);
        for (int read = 0; read < CatchUp::MostReads; ++read) {
            CPPUNIT_ASSERT(m_catchUp.onRead(true));
        }
        CPPUNIT_ASSERT(!m_catchUp.onRead(true));
    }

    auto anUpToDateReadEndsTheRow() -> void
    {
        m_catchUp.onValue(CatchUp::LongValue);
        for (int read = 0; read < 2 * CatchUp::MostReads; ++read) {
            CPPUNIT_ASSERT(m_catchUp.onRead(true));
            CPPUNIT_ASSERT(!m_catchUp.onRead(false));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatchUpTest);
