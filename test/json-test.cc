#include "currantstack/json.h"

#include "check.h"

using namespace currantstack;

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(arbitraryTextIsParsedOrRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto arbitraryTextIsParsedOrRejected() -> void
    {
        CHECK_PROPERTY("arbitrary text is parsed or rejected with bad_input", [](const std::string &text) {
            const auto value = parseJson(text, "test");
            if (!value) {
                RC_ASSERT(value.error().code == ErrorCode::BadInput);
            }
        });
        CPPUNIT_ASSERT(!parseJson("\"\xff\xfe\"", "test"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
