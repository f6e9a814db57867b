#include "currantstack/decisions/run_owner.h"

#include "check.h"

using namespace currantstack;

class RunOwnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunOwnerTest);
    CPPUNIT_TEST(aReportOfTheSameProcessProvesTheOwner);
    CPPUNIT_TEST(anotherProcessIsNeverTheOwner);
    CPPUNIT_TEST(ownersWithoutReportStayUnknown);
    CPPUNIT_TEST(enginesThatNameNoStartNeedNoReport);
    CPPUNIT_TEST_SUITE_END();

public:
    auto aReportOfTheSameProcessProvesTheOwner() -> void
    {
        for (const auto entry : {EntryState::Present, EntryState::Removed, EntryState::Replaced}) {
            CPPUNIT_ASSERT(judgeRunOwner({true, entry, ReportedProcess::Same, 1}) == RunOwner::Expected);
        }
    }

    auto anotherProcessIsNeverTheOwner() -> void
    {
        CPPUNIT_ASSERT(judgeRunOwner({true, EntryState::Present, ReportedProcess::Other, 1}) == RunOwner::Other);
        for (const auto report : {ReportedProcess::Unidentified, ReportedProcess::NoAnswer}) {
            CPPUNIT_ASSERT(judgeRunOwner({true, EntryState::Replaced, report, 1}) == RunOwner::Other);
        }
        CPPUNIT_ASSERT(judgeRunOwner({true, EntryState::Replaced, std::nullopt, 0}) == RunOwner::Other);
    }

    auto ownersWithoutReportStayUnknown() -> void
    {
        for (const auto entry : {EntryState::Present, EntryState::Removed}) {
            CPPUNIT_ASSERT(judgeRunOwner({true, entry, std::nullopt, 0}) == RunOwner::Undecided);
            for (const auto report : {ReportedProcess::Unidentified, ReportedProcess::NoAnswer}) {
                CPPUNIT_ASSERT(judgeRunOwner({true, entry, report, MaxRunReports - 1}) == RunOwner::Undecided);
                CPPUNIT_ASSERT(judgeRunOwner({true, entry, report, MaxRunReports}) == RunOwner::Unknown);
            }
        }
    }

    auto enginesThatNameNoStartNeedNoReport() -> void
    {
        CPPUNIT_ASSERT(judgeRunOwner({false, EntryState::Present, std::nullopt, 0}) == RunOwner::Expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunOwnerTest);
