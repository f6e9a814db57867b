#include "currantstack/edge/unreadable_entries.h"

#include "check.h"

using namespace currantstack;

class UnreadableEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadableEntriesTest);
    CPPUNIT_TEST(eachRevisionIsNewOnce);
    CPPUNIT_TEST(entriesThatAreGoneAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    auto eachRevisionIsNewOnce() -> void
    {
        UnreadableEntries entries;
        CPPUNIT_ASSERT(entries.add({"a", "", 3}) && entries.add({"b", "", 3}));
        CPPUNIT_ASSERT(!entries.add({"a", "", 3}));
        CPPUNIT_ASSERT(entries.add({"a", "", 4}) && !entries.add({"a", "", 4}));
        entries.remove("a");
        CPPUNIT_ASSERT(!entries.contains("a") && entries.add({"a", "", 4}));
    }

    auto entriesThatAreGoneAreForgotten() -> void
    {
        UnreadableEntries entries;
        entries.add({"a", "", 1});
        entries.add({"b", "", 2});
        const std::vector<StoreValue> values{{"b", "", 2}, {"c", "", 3}};
        entries.retain(values);
        CPPUNIT_ASSERT(!entries.contains("a") && entries.contains("b") && !entries.contains("c"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadableEntriesTest);
