#include "currantstack/prefix_map.h"

#include "check.h"

using namespace currantstack;

class PrefixMapTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixMapTest);
    CPPUNIT_TEST(findsAndRemovesEngines);
    CPPUNIT_TEST_SUITE_END();

public:
    auto findsAndRemovesEngines() -> void
    {
        PrefixMap map;
        const std::string prompt(300, 'p');
        map.insert(prompt, "e0");
        CPPUNIT_ASSERT(map.find(prompt + "more") == "e0");
        CPPUNIT_ASSERT(map.find("short").empty());
        map.removeEngine("e0");
        CPPUNIT_ASSERT(map.find(prompt).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixMapTest);
