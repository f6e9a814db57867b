// The JSON Schema of the configuration document.
#include "currantstack/config.h"

namespace currantstack
{

namespace
{

auto textSchema(std::string_view description) -> Json
{
    return {{"type", "string"}, {"description", description}};
}

auto integerSchema(std::int64_t low, std::int64_t high, std::int64_t fallback) -> Json
{
    return {{"type", "integer"}, {"minimum", low}, {"maximum", high}, {"default", fallback}};
}

auto numberSchema(double low, double high, double fallback) -> Json
{
    return {{"type", "number"}, {"minimum", low}, {"maximum", high}, {"default", fallback}};
}

auto booleanSchema(bool fallback) -> Json
{
    return {{"type", "boolean"}, {"default", fallback}};
}

auto textsSchema(std::string_view description) -> Json
{
    return {{"type", "array"}, {"items", {{"type", "string"}}}, {"description", description}};
}

auto objectSchema(Json properties, std::vector<std::string> required) -> Json
{
    return {{"type", "object"}, {"properties", std::move(properties)}, {"required", std::move(required)}, {"additionalProperties", false}};
}

auto listSchema(Json items) -> Json
{
    return {{"type", "array"}, {"items", std::move(items)}};
}

auto nameSchema() -> Json
{
    return {{"type", "string"}, {"pattern", "^[A-Za-z0-9._-]{1,64}$"}};
}

auto hashesSchema() -> Json
{
    return {{"type", "array"}, {"items", {{"type", "string"}, {"pattern", "^sha256:[0-9a-f]{64}$"}}}};
}

auto poolSchema() -> Json
{
    const auto engine = objectSchema({{"name", nameSchema()},
                                      {"address", textSchema("IP number and port")},
                                      {"place", textSchema("name of a place")},
                                      {"slots", integerSchema(1, 10000, 20)},
                                      {"link_bytes_per_second", numberSchema(1, 1e15, 10e9)},
                                      {"checks_fencing", booleanSchema(false)},
                                      {"checks_sender", booleanSchema(false)},
                                      {"leaving", booleanSchema(false)}},
                                     {"name", "address", "place"});
    return objectSchema({{"name", nameSchema()},
                         {"model", textSchema("name of a model")},
                         {"role", {{"enum", {"prefill", "decode"}}}},
                         {"engines", listSchema(engine)}},
                        {"name", "model", "role"});
}

auto serviceSchema() -> Json
{
    const auto upstream = objectSchema({{"name", nameSchema()},
                                        {"address", textSchema("IP number and port")},
                                        {"place", textSchema("name of a place")},
                                        {"leaving", booleanSchema(false)}},
                                       {"name", "address", "place"});
    const auto call = objectSchema(
        {{"method", textSchema("HTTP method")}, {"path_prefix", textSchema("path prefix")}, {"idempotent", booleanSchema(true)}},
        {"method", "idempotent"});
    return objectSchema({{"name", nameSchema()},
                         {"target_ms", integerSchema(1, 600000, 300)},
                         {"max_in_flight", integerSchema(1, 100000, 64)},
                         {"upstreams", listSchema(upstream)},
                         {"calls", listSchema(call)}},
                        {"name", "upstreams"});
}

} // namespace

auto configSchema() -> Json
{
    const auto place = objectSchema({{"name", nameSchema()}, {"region", textSchema("region of the place")}}, {"name", "region"});
    const auto model = objectSchema({{"name", nameSchema()},
                                     {"first_token_target_ms", integerSchema(1, 600000, 1700)},
                                     {"token_gap_target_ms", integerSchema(1, 60000, 26)},
                                     {"kv_bytes_per_token", numberSchema(1, 1e9, 131072)}},
                                    {"name"});
    const auto member = objectSchema({{"name", nameSchema()},
                                      {"token_hashes", hashesSchema()},
                                      {"share", numberSchema(0.000001, 1e6, 1)},
                                      {"max_priority", integerSchema(0, 9, 0)},
                                      {"models", textsSchema("names of allowed models, or '*'")},
                                      {"services", textsSchema("names of allowed services, or '*'")}},
                                     {"name"});
    const auto operatorSchema = objectSchema({{"name", nameSchema()},
                                              {"member", textSchema("name of the operator's member; empty for the consortium")},
                                              {"token_hashes", hashesSchema()},
                                              {"may_change", textsSchema("top-level sections that the operator may change, or '*'")}},
                                             {"name"});
    const auto limits = objectSchema({{"max_queued_requests", integerSchema(0, 1000000, 400)},
                                      {"max_queued_tokens", integerSchema(0, 1LL << 40, 2000000)},
                                      {"max_prompt_bytes", integerSchema(1, 64 << 20, 4 << 20)},
                                      {"retry_share", numberSchema(0, 1, 0.1)},
                                      {"max_ejected_share", numberSchema(0, 1, 0.34)},
                                      {"default_deadline_ms", integerSchema(1, 3600000, 1700)},
                                      {"quarantine_s", integerSchema(1, 86400, 600)},
                                      {"answer_retention_s", integerSchema(1, 864000, 86400)}},
                                     {});
    const auto timeouts = objectSchema({{"connect_ms", integerSchema(1, 60000, 300)},
                                        {"progress_ms", integerSchema(10, 600000, 2000)},
                                        {"peer_ms", integerSchema(10, 60000, 800)},
                                        {"drain_s", integerSchema(1, 3600, 60)}},
                                       {});
    auto schema = objectSchema({{"revision", integerSchema(0, 1LL << 53, 0)},
                                {"submission", textSchema("id of the submission")},
                                {"places", listSchema(place)},
                                {"models", listSchema(model)},
                                {"pools", listSchema(poolSchema())},
                                {"services", listSchema(serviceSchema())},
                                {"members", listSchema(member)},
                                {"operators", listSchema(operatorSchema)},
                                {"limits", limits},
                                {"timeouts", timeouts}},
                               {"places", "members", "operators"});
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    schema["title"] = "currantstack configuration";
    return schema;
}

} // namespace currantstack
