#include "currantstack/usage.h"

#include "check.h"

using namespace currantstack;

class UsageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageTest);
    CPPUNIT_TEST(shareIsRelativeToTheActive);
    CPPUNIT_TEST(usageAddsUp);
    CPPUNIT_TEST_SUITE_END();

public:
    auto shareIsRelativeToTheActive() -> void
    {
        Config config;
        config.members = {{"large", {}, 4, 0, {}, {}}, {"small", {}, 1, 0, {}, {}}, {"idle", {}, 5, 0, {}, {}}};
        UsageBook usage;
        usage.of("idle").inFlight = 0;
        usage.of("large").inFlight = 50;
        CPPUNIT_ASSERT(!isUnderShare(usage, config, "large")); // alone: nobody yields to it
        usage.of("small").inFlight = 5;
        CPPUNIT_ASSERT(!isUnderShare(usage, config, "large"));
        CPPUNIT_ASSERT(isUnderShare(usage, config, "small"));
        usage.of("small").inFlight = 20;
        CPPUNIT_ASSERT(!isUnderShare(usage, config, "small"));
        CPPUNIT_ASSERT(isUnderShare(usage, config, "large"));
    }

    auto usageAddsUp() -> void
    {
        UsageBook first;
        UsageBook second;
        first.of("a").requests = 2;
        second.of("a").requests = 3;
        second.of("b").outputTokens = 7;
        const auto total = sumUsage({first.toJson(), second.toJson(), Json("junk")});
        CPPUNIT_ASSERT_EQUAL(5, total["a"]["requests"].get<int>());
        CPPUNIT_ASSERT_EQUAL(7, total["b"]["output_tokens"].get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageTest);
