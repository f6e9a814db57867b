#include "currantstack/config.h"

#include "check.h"

#include <fstream>

using namespace currantstack;

namespace
{

auto example() -> Json
{
    return Json::parse(R"({
        "places": [{"name": "amman", "region": "jordan"}],
        "models": [{"name": "caseworker"}],
        "pools": [
            {"name": "p", "model": "caseworker", "role": "prefill", "engines": [{"name": "p0", "address": "127.0.0.1:9000", "place": "amman"}]},
            {"name": "d", "model": "caseworker", "role": "decode", "engines": [{"name": "d0", "address": "127.0.0.1:9001", "place": "amman"}]}],
        "services": [{"name": "adoption", "upstreams": [{"name": "s0", "address": "127.0.0.1:9002", "place": "amman"}],
                      "calls": [{"method": "POST", "path_prefix": "/bookings", "idempotent": false},
                                {"method": "POST", "path_prefix": "/search", "idempotent": true}]}],
        "members": [{"name": "large", "share": 3, "models": ["*"], "services": ["adoption"]}, {"name": "small", "share": 1}],
        "operators": [{"name": "root", "may_change": ["*"]}, {"name": "large-op", "member": "large", "may_change": ["members", "pools"]}]
    })");
}

auto hasError(const ValidationErrors &errors, std::string_view path) -> bool
{
    return std::any_of(errors.begin(), errors.end(), [path](const ValidationError &error) { return error.path == path; });
}

} // namespace

class ConfigTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigTest);
    CPPUNIT_TEST(acceptsValidDocument);
    CPPUNIT_TEST(reportsAllErrors);
    CPPUNIT_TEST(toleratesArbitraryValues);
    CPPUNIT_TEST(callRulesDecideIdempotency);
    CPPUNIT_TEST(operatorCannotRaiseShareOfItsMember);
    CPPUNIT_TEST(operatorsChangePermittedSectionsOnly);
    CPPUNIT_TEST(findsAndPatchesDifferences);
    CPPUNIT_TEST(tokensAreStoredAsHashes);
    CPPUNIT_TEST(shippedExamplesAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    auto acceptsValidDocument() -> void
    {
        const auto config = parseConfig(example());
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, config->engines.size());
        CPPUNIT_ASSERT(config->findEngine("p0")->role == Role::Prefill);
    }

    auto reportsAllErrors() -> void
    {
        auto document = example();
        document["places"][0]["name"] = "";
        document["pools"][0]["engines"][0]["address"] = "localhost:1";
        document["pools"][1]["role"] = "both";
        document["members"][1]["share"] = -1;
        document["surprise"] = 1;
        const auto config = parseConfig(document);
        CPPUNIT_ASSERT(!config);
        for (const auto *path : {"/places/0/name", "/pools/0/engines/0/address", "/pools/1/role", "/members/1/share", "/surprise"}) {
            CPPUNIT_ASSERT_MESSAGE(path, hasError(config.error(), path));
        }
    }

    auto toleratesArbitraryValues() -> void
    {
        CHECK_PROPERTY("a document with any field replaced is accepted, or rejected with errors", []() {
            auto document = example().flatten();
            const auto index = *rc::gen::inRange<std::size_t>(0, document.size());
            const std::vector<Json> values = {Json(), Json(-1), Json(1e300), Json("x"), Json(true), Json(std::string(300, 'n'))};
            std::next(document.begin(), static_cast<std::ptrdiff_t>(index)).value() = *rc::gen::elementOf(values);
            Json replaced;
            try {
                replaced = document.unflatten();
            } catch (const Json::exception &) {
                return;
            }
            const auto config = parseConfig(replaced);
            if (!config) {
                RC_ASSERT(!config.error().empty());
            }
        });
    }

    auto callRulesDecideIdempotency() -> void
    {
        const auto config = parseConfig(example());
        const auto *service = config->findService("adoption");
        CPPUNIT_ASSERT(!service->isIdempotent("POST", "/bookings/1"));
        CPPUNIT_ASSERT(service->isIdempotent("POST", "/search"));
        CPPUNIT_ASSERT(!service->isIdempotent("POST", "/other"));
        CPPUNIT_ASSERT(service->isIdempotent("GET", "/other"));
    }

    auto operatorCannotRaiseShareOfItsMember() -> void
    {
        const auto before = parseConfig(example());
        auto after = example();
        after["members"][0]["share"] = 30;
        CPPUNIT_ASSERT(hasError(forbiddenChanges(*before, example(), after, "large-op"), "/members"));
        CPPUNIT_ASSERT(forbiddenChanges(*before, example(), after, "root").empty());
        auto lowered = example();
        lowered["members"][1]["share"] = 0.1; // lowering another member's share raises the relative share of this one
        CPPUNIT_ASSERT(hasError(forbiddenChanges(*before, example(), lowered, "large-op"), "/members"));
    }

    auto operatorsChangePermittedSectionsOnly() -> void
    {
        const auto before = parseConfig(example());
        auto after = example();
        after["models"][0]["token_gap_target_ms"] = 30;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, forbiddenChanges(*before, example(), after, "large-op").size());
        CPPUNIT_ASSERT(!forbiddenChanges(*before, example(), after, "nobody").empty());
    }

    auto findsAndPatchesDifferences() -> void
    {
        auto after = example();
        after["members"][1]["share"] = 2;
        after["pools"][0]["engines"].push_back({{"name", "p1"}, {"address", "127.0.0.1:9005"}, {"place", "amman"}});
        CPPUNIT_ASSERT((differingPaths(example(), after) == std::vector<std::string>{"/members/1/share", "/pools/0/engines/1"}));
        CPPUNIT_ASSERT(example().patch(Json::diff(example(), after)) == after);
    }

    auto tokensAreStoredAsHashes() -> void
    {
        auto document = example();
        document["members"][0]["token_hashes"] = {tokenHash("secret")};
        const auto config = parseConfig(document);
        CPPUNIT_ASSERT(config->memberOfToken("secret")->name == "large");
        CPPUNIT_ASSERT(config->memberOfToken("other") == nullptr);
        document["members"][1]["token_hashes"] = {tokenHash("secret")};
        CPPUNIT_ASSERT(!parseConfig(document));
    }

    auto shippedExamplesAreValid() -> void
    {
        for (const auto *file : {"rehoming.json", "cooperative.json"}) {
            std::ifstream stream(std::string(SOURCE_FOLDER) + "/examples/" + file);
            const auto document = Json::parse(stream, nullptr, false);
            const auto config = parseConfig(document);
            CPPUNIT_ASSERT_MESSAGE(file + (config ? std::string() : describe(config.error())), config.has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);
