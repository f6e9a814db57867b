#include "currantstack/store.h"

#include "currantstack/codec.h"

#include "check.h"

using namespace currantstack;

class StoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreTest);
    CPPUNIT_TEST(prefixEndFollowsAllKeysOfPrefix);
    CPPUNIT_TEST(parsesGatewayValues);
    CPPUNIT_TEST_SUITE_END();

public:
    auto prefixEndFollowsAllKeysOfPrefix() -> void
    {
        CHECK_PROPERTY("all keys with the prefix sort before its end, which lacks the prefix",
                       [](const std::string &prefix, const std::string &rest) {
                           RC_PRE(!prefix.empty() && static_cast<unsigned char>(prefix.back()) != 0xff);
                           const auto end = detail::prefixEnd(prefix);
                           RC_ASSERT(prefix + rest < end);
                           RC_ASSERT(prefix < end);
                           RC_ASSERT(!end.starts_with(prefix));
                       });
    }

    auto parsesGatewayValues() -> void
    {
        CHECK_PROPERTY("integers are parsed from JSON strings and numbers; other values are 0", [](std::int64_t number) {
            RC_ASSERT(detail::gatewayNumber({{"n", std::to_string(number)}}, "n") == number);
            RC_ASSERT(detail::gatewayNumber({{"n", number}}, "n") == number);
            RC_ASSERT(detail::gatewayNumber({{"n", Json::array()}}, "n") == 0);
            RC_ASSERT(detail::gatewayNumber(Json("junk"), "n") == 0);
        });
        const auto value = detail::gatewayValue({{"key", toBase64("a/b")}, {"value", toBase64("v")}, {"mod_revision", "7"}});
        CPPUNIT_ASSERT_EQUAL(std::string("a/b"), value.key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, value.modRevision);
        CPPUNIT_ASSERT(detail::gatewayValue(Json("junk")).key.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreTest);
