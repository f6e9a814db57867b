#include "currantstack/json.h"

#include "check.h"

using namespace currantstack;

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(anyTextIsParsedOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto anyTextIsParsedOrRefused() -> void
    {
        CHECK_PROPERTY("no text crashes the parser", [](const std::string &text) {
            const auto value = parseJson(text, "test");
            if (!value) {
                RC_ASSERT(value.error().code == ErrorCode::BadInput);
            }
        });
        CPPUNIT_ASSERT(!parseJson("\"\xff\xfe\"", "test"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
