#include "currantstack/engine_api.h"

#include "check.h"

using namespace currantstack;

class EngineApiTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineApiTest);
    CPPUNIT_TEST(anyCompletionIsReadOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto anyCompletionIsReadOrRefused() -> void
    {
        CHECK_PROPERTY("a completion with any field replaced is read or refused", [](const std::string &text, std::int64_t number) {
            const auto good = toJson(CompletionRequest{"id", "model", "prompt", 5, true, 1, 0, {}});
            for (const auto &[key, value] : good.items()) {
                for (const Json &other : {Json(text), Json(number), Json(1.5), Json(), Json::array({Json::object()}), Json::object()}) {
                    auto changed = good;
                    changed[key] = other;
                    completionFromJson(changed);
                    changed["messages"] = other;
                    completionFromJson(changed);
                }
            }
            RC_ASSERT(completionFromJson(good)->prompt == "prompt");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineApiTest);
