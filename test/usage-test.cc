#include "currantstack/usage.h"

#include "check.h"

using namespace currantstack;

class UsageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageTest);
    CPPUNIT_TEST(fairShareCountsActiveMembersOnly);
    CPPUNIT_TEST(sumsReportsOfVms);
    CPPUNIT_TEST_SUITE_END();

public:
    auto fairShareCountsActiveMembersOnly() -> void
    {
        Config config;
        config.members = {{"large", {}, 4, 0, {}, {}}, {"small", {}, 1, 0, {}, {}}, {"idle", {}, 5, 0, {}, {}}};
        MemberUsageTable usage;
        usage.forMember("idle").inFlight = 0;
        usage.forMember("large").inFlight = 50;
        CPPUNIT_ASSERT(!isBelowFairShare(usage, config, "large")); // the only active member has no claim against others
        usage.forMember("small").inFlight = 5;
        CPPUNIT_ASSERT(!isBelowFairShare(usage, config, "large"));
        CPPUNIT_ASSERT(isBelowFairShare(usage, config, "small"));
        usage.forMember("small").inFlight = 20;
        CPPUNIT_ASSERT(!isBelowFairShare(usage, config, "small"));
        CPPUNIT_ASSERT(isBelowFairShare(usage, config, "large"));
    }

    auto sumsReportsOfVms() -> void
    {
        MemberUsageTable first;
        MemberUsageTable second;
        first.forMember("a").requests = 2;
        second.forMember("a").requests = 3;
        second.forMember("b").outputTokens = 7;
        const auto total = sumUsage({first.toJson(), second.toJson(), Json("junk")});
        CPPUNIT_ASSERT_EQUAL(5, total["a"]["requests"].get<int>());
        CPPUNIT_ASSERT_EQUAL(7, total["b"]["output_tokens"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);
