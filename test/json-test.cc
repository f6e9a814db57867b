#include "currantstack/json.h"

#include "check.h"

using namespace currantstack;

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(arbitraryTextIsParsedOrRejected);
    CPPUNIT_TEST(deeplyNestedDocumentsAreRejected);
    CPPUNIT_TEST(descriptionsOfErrorsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static auto nested(std::size_t levels, std::string_view open, std::string_view close) -> std::string
    {
        std::string text;
        for (std::size_t level = 0; level < levels; ++level) {
            text += open;
        }
        text += '1';
        for (std::size_t level = 0; level < levels; ++level) {
            text += close;
        }
        return text;
    }

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
        CPPUNIT_ASSERT(!parseJson(std::string_view("{}\0", 3), "test") && !parseJson(std::string_view("{}\0more", 7), "test"));
    }

    auto deeplyNestedDocumentsAreRejected() -> void
    {
        for (const std::size_t levels : {MaxJsonDepth + 1, std::size_t(100'000), std::size_t(1'000'000)}) {
            CPPUNIT_ASSERT(!parseJson(nested(levels, "[", "]"), "test"));
            CPPUNIT_ASSERT(!parseJson(nested(levels, "{\"k\":", "}"), "test"));
            CPPUNIT_ASSERT(!parseMsgpack(nested(levels, "\x91", ""), "test"));
            CPPUNIT_ASSERT(!parseMsgpack(nested(levels, "\x81\xa1k", ""), "test"));
        }
        CPPUNIT_ASSERT(parseJson(nested(MaxJsonDepth, "[", "]"), "test"));
        CPPUNIT_ASSERT(parseJson(nested(MaxJsonDepth, "{\"k\":", "}"), "test"));
        CPPUNIT_ASSERT(parseMsgpack(nested(MaxJsonDepth, "\x91", ""), "test"));
        CPPUNIT_ASSERT(parseJson("[" + nested(MaxJsonDepth - 1, "[", "]") + "," + nested(MaxJsonDepth - 1, "[", "]") + "]", "test"));
    }

    auto descriptionsOfErrorsAreBounded() -> void
    {
        ValidationErrors errors;
        for (int number = 0; number < 10'000; ++number) {
            errors.push_back({std::string(100'000, '/'), "is missing"});
        }
        CPPUNIT_ASSERT(describe(errors).size() < 10'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
