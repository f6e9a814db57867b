#include "currantstack/descriptor_budget.h"

#include "check.h"

#include <limits>

using namespace currantstack;

class DescriptorBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DescriptorBudgetTest);
    CPPUNIT_TEST(aThirdOfTheSocketsIsLeftForUpstreams);
    CPPUNIT_TEST(fewDescriptorsAllowOneCaller);
    CPPUNIT_TEST(callersAreBoundedWithoutALimit);
    CPPUNIT_TEST_SUITE_END();

public:
    auto aThirdOfTheSocketsIsLeftForUpstreams() -> void
    {
        CPPUNIT_ASSERT_EQUAL(2600U, callerConnections(4100));
        CPPUNIT_ASSERT_EQUAL(550U, callerConnections(1024));
    }

    auto fewDescriptorsAllowOneCaller() -> void
    {
        for (const auto descriptors : {0U, 100U, 200U, 201U}) {
            CPPUNIT_ASSERT_EQUAL(1U, callerConnections(descriptors));
        }
    }

    auto callersAreBoundedWithoutALimit() -> void
    {
        CPPUNIT_ASSERT_EQUAL(20000U, callerConnections(std::numeric_limits<std::uint64_t>::max()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DescriptorBudgetTest);
