#include "currantstack/prefix_map.h"

#include "check.h"

using namespace currantstack;

class PrefixMapTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixMapTest);
    CPPUNIT_TEST(prefixMapForgets);
    CPPUNIT_TEST_SUITE_END();

public:
    auto prefixMapForgets() -> void
    {
        PrefixMap map;
        const std::string prompt(300, 'p');
        map.learn(prompt, "e0");
        CPPUNIT_ASSERT(map.find(prompt + "more") == "e0");
        CPPUNIT_ASSERT(map.find("short").empty());
        map.forgetEngine("e0");
        CPPUNIT_ASSERT(map.find(prompt).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixMapTest);
