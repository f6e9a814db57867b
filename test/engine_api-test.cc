#include "currantstack/engine_api.h"

#include "check.h"

using namespace currantstack;

class EngineApiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineApiTest);
    CPPUNIT_TEST(anyCompletionIsParsedOrRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto anyCompletionIsParsedOrRejected() -> void
    {
        CHECK_PROPERTY("a completion with any field replaced is parsed or rejected", [](const std::string &text, std::int64_t number) {
            const auto valid = toJson(CompletionRequest{"id", "model", "prompt", 5, true, 1, 0, {}});
            for (const auto &[key, value] : valid.items()) {
                for (const Json &other : {Json(text), Json(number), Json(1.5), Json(), Json::array({Json::object()}), Json::object()}) {
                    auto changed = valid;
                    changed[key] = other;
                    completionFromJson(changed);
                    changed["messages"] = other;
                    completionFromJson(changed);
                }
            }
            RC_ASSERT(completionFromJson(valid)->prompt == "prompt");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineApiTest);
