#include "scenario.h"

#include <yaml-cpp/yaml.h>

namespace bench
{

namespace
{

template<typename T>
auto set(const YAML::Node &node, const char *key, T &value) -> void
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

auto readStream(const YAML::Node &node) -> StreamSpec
{
    StreamSpec stream;
    set(node, "name", stream.name);
    set(node, "kind", stream.kind);
    set(node, "model", stream.model);
    set(node, "token", stream.token);
    set(node, "method", stream.method);
    set(node, "path", stream.path);
    set(node, "kill_share", stream.killShare);
    set(node, "cancel_share", stream.cancelShare);
    set(node, "target_ms", stream.targetMs);
    for (const auto &point : node["load"]) {
        stream.load.push_back({point[0].as<double>(), point[1].as<double>()});
    }
    if (const auto prompt = node["prompt_tokens"]) {
        set(prompt, "median", stream.prompt.median);
        set(prompt, "sigma", stream.prompt.sigma);
        set(prompt, "min", stream.prompt.min);
        set(prompt, "max", stream.prompt.max);
    }
    if (const auto output = node["output_tokens"]) {
        set(output, "min", stream.minOutput);
        set(output, "max", stream.maxOutput);
    }
    if (const auto prefix = node["prefix"]) {
        set(prefix, "groups", stream.prefix.groups);
        set(prefix, "tokens", stream.prefix.tokens);
        set(prefix, "share", stream.prefix.share);
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

auto showScenario(const std::string &file) -> currantstack::Result<currantstack::Json>
{
    try {
        return toJson(YAML::LoadFile(file));
    } catch (const YAML::Exception &problem) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, problem.what());
    }
}

auto loadScenario(const std::string &file) -> currantstack::Result<Scenario>
{
    Scenario scenario;
    try {
        const auto root = YAML::LoadFile(file);
        set(root, "name", scenario.name);
        set(root, "seconds", scenario.seconds);
        set(root, "first_token_ms", scenario.firstTokenMs);
        set(root, "gap_ms", scenario.gapMs);
        set(root, "grace_s", scenario.graceSeconds);
        for (const auto &node : root["streams"]) {
            scenario.streams.push_back(readStream(node));
        }
    } catch (const YAML::Exception &problem) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, problem.what());
    }
    if (scenario.streams.empty()) {
        return currantstack::fail(currantstack::ErrorCode::BadInput, "scenario", file, "streams must name at least one stream");
    }
    return scenario;
}

} // namespace bench
