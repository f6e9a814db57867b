#include "currantstack/json.h"

#include "currantstack/codec.h"
#include "currantstack/counters.h"
#include "currantstack/engine_api.h"
#include "currantstack/histogram.h"
#include "currantstack/prefix_map.h"
#include "currantstack/settings.h"
#include "currantstack/timeline.h"
#include "currantstack/usage.h"

#include "check.h"

using namespace currantstack;

class JsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(anyTextIsParsedOrRefused);
    CPPUNIT_TEST(anyCompletionIsReadOrRefused);
    CPPUNIT_TEST(base64RoundTrip);
    CPPUNIT_TEST(digestsMatchKnownValues);
    CPPUNIT_TEST(histogramQuantiles);
    CPPUNIT_TEST(timelineIsBoundedAndOrdered);
    CPPUNIT_TEST(settingsNameEveryFault);
    CPPUNIT_TEST(prefixMapForgets);
    CPPUNIT_TEST(shareIsRelativeToTheActive);
    CPPUNIT_TEST(usageAddsUp);
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

    auto base64RoundTrip() -> void
    {
        CHECK_PROPERTY("base64 round trip", [](const std::string &bytes) { RC_ASSERT(fromBase64(toBase64(bytes)) == bytes); });
        CPPUNIT_ASSERT(!fromBase64("abc"));
    }

    auto digestsMatchKnownValues() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"), sha256("abc"));
        CPPUNIT_ASSERT_EQUAL(std::string("f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8"),
                             hmac("key", "The quick brown fox jumps over the lazy dog"));
    }

    auto histogramQuantiles() -> void
    {
        CHECK_PROPERTY("a quantile is within 4% of the value", [](std::uint32_t micros) {
            Histogram histogram;
            const auto value = std::chrono::microseconds(micros % 3000000000U);
            histogram.record(value);
            const double seen = toMilliseconds(histogram.quantile(0.5));
            RC_ASSERT(std::abs(seen - toMilliseconds(value)) <= 0.04 * toMilliseconds(value) + 0.001);
        });
    }

    auto timelineIsBoundedAndOrdered() -> void
    {
        ManualClock clock;
        Timeline timeline(clock, "vm0", 10);
        for (int index = 0; index < 25; ++index) {
            timeline.add(EventKind::RequestTaken, "r" + std::to_string(index), "");
        }
        timeline.witness(1000);
        timeline.add(EventKind::RequestDone, "r24", "e0");
        const auto events = timeline.select({}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1001}, events.back().logical);
        TimelineFilter filter;
        filter.upstream = "e0";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, timeline.select(filter, 100).size());
    }

    auto settingsNameEveryFault() -> void
    {
        const auto settings = parseSettings("name: vm0\npeer_secret: short\nsurprise: 1\npolicy: guess\n");
        CPPUNIT_ASSERT(!settings);
        for (const auto *part : {"caller_address is missing", "peer_secret", "surprise", "policy"}) {
            CPPUNIT_ASSERT_MESSAGE(part, settings.error().message.find(part) != std::string::npos);
        }
        CHECK_PROPERTY("any text is read or refused", [](const std::string &text) { parseSettings(text); });
    }

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

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
