#include "scenario.h"

#include <yaml-cpp/yaml.h>

namespace bench
{

namespace
{

template<typename T>
auto readOptional(const YAML::Node &node, const char *key, T &value) -> void
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

auto parseStream(const YAML::Node &node) -> StreamSpec
{
    StreamSpec stream;
    readOptional(node, "name", stream.name);
    readOptional(node, "kind", stream.kind);
    readOptional(node, "model", stream.model);
    readOptional(node, "token", stream.token);
    readOptional(node, "method", stream.method);
    readOptional(node, "path", stream.path);
    readOptional(node, "kill_share", stream.crashShare);
    readOptional(node, "cancel_share", stream.cancelShare);
    readOptional(node, "target_ms", stream.targetMs);
    for (const auto &point : node["load"]) {
        stream.load.push_back({point[0].as<double>(), point[1].as<double>()});
    }
    if (const auto prompt = node["prompt_tokens"]) {
        readOptional(prompt, "median", stream.prompt.median);
        readOptional(prompt, "sigma", stream.prompt.sigma);
        readOptional(prompt, "min", stream.prompt.min);
        readOptional(prompt, "max", stream.prompt.max);
    }
    if (const auto output = node["output_tokens"]) {
        readOptional(output, "min", stream.minOutput);
        readOptional(output, "max", stream.maxOutput);
    }
    if (const auto prefix = node["prefix"]) {
        readOptional(prefix, "groups", stream.prefix.groups);
        readOptional(prefix, "tokens", stream.prefix.tokens);
        readOptional(prefix, "share", stream.prefix.share);
    }
    return stream;
}

auto toJson(const YAML::Node &node) -> currantstack::Json
{
    if (node.IsMap()) {
        auto object = currantstack::Json::object();
        for (const auto &entry : node) {
            object[entry.first.as<std::string>()] = toJson(entry.second);
        }
        return object;
    }
    if (node.IsSequence()) {
        auto list = currantstack::Json::array();
        for (const auto &entry : node) {
            list.push_back(toJson(entry));
        }
        return list;
    }
    const auto text = node.as<std::string>("");
    const auto value = currantstack::Json::parse(text, nullptr, false);
    return value.is_number() || value.is_boolean() ? value : currantstack::Json(text);
}

} // namespace

auto scenarioToJson(const std::string &file) -> currantstack::Result<currantstack::Json>
{
    try {
        return toJson(YAML::LoadFile(file));
    } catch (const YAML::Exception &exception) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, exception.what());
    }
}

auto loadScenario(const std::string &file) -> currantstack::Result<Scenario>
{
    Scenario scenario;
    try {
        const auto root = YAML::LoadFile(file);
        readOptional(root, "name", scenario.name);
        readOptional(root, "seconds", scenario.seconds);
        readOptional(root, "first_token_ms", scenario.firstTokenTargetMs);
        readOptional(root, "gap_ms", scenario.gapTargetMs);
        readOptional(root, "grace_s", scenario.graceSeconds);
        for (const auto &node : root["streams"]) {
            scenario.streams.push_back(parseStream(node));
        }
    } catch (const YAML::Exception &exception) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, exception.what());
    }
    if (scenario.streams.empty()) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, "streams must name at least one stream");
    }
    return scenario;
}

} // namespace bench
