#include "currantstack/edge/explain.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace currantstack
{

namespace
{

using Json = nlohmann::json;

struct Entry
{
    std::int64_t timeMs = 0;
    Json line;
};

auto text(const Json &line, const char *key) -> std::string
{
    const auto found = line.find(key);
    if (found == line.end()) {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

auto milliseconds(const Json &line, const char *key) -> std::string
{
    const auto found = line.find(key);
    return found != line.end() && found->is_number() ? fmt::format("{:.0f} ms", found->get<double>()) : "? ms";
}

auto describePlacement(const Json &line) -> std::string
{
    const auto read = line.contains("prefill")
        ? fmt::format("its prompt is read at {} behind {} tokens", text(line, "prefill"), text(line, "prefill_tokens_ahead"))
        : std::string("the decode engine reads its prompt");
    return fmt::format(
        "placed: {}, its events come from {} (with {} requests); first event expected after {}; {} sources of load were heard, "
        "routes version {}",
        read, text(line, "decode"), text(line, "decode_requests"), milliseconds(line, "expected_first_ms"), text(line, "peers_heard"),
        text(line, "routes_version"));
}

auto describeFailure(const Json &line) -> std::string
{
    return fmt::format("given up after {} with status {}: {} ({} sends; told to return after {}; routes version {})",
                       milliseconds(line, "age_ms"), text(line, "status"), text(line, "reason"), text(line, "sends"),
                       milliseconds(line, "retry_after_ms"), text(line, "routes_version"));
}

auto describeEvent(const Json &line) -> std::string
{
    const auto event = text(line, "event");
    if (event == "stream_placed") {
        return describePlacement(line);
    }
    if (event == "request_given_up") {
        return describeFailure(line);
    }
    if (event == "service_chosen") {
        return fmt::format("sent to {} (with {} requests, health {}, {} candidates), send {}", text(line, "upstream"),
                           text(line, "under_way"), text(line, "health"), text(line, "candidates"), text(line, "send"));
    }
    if (event == "stream_broken") {
        return fmt::format("broken at {} after {} events and {} of silence: {}; it counts as {}", text(line, "engine"),
                           text(line, "events"), milliseconds(line, "silent_ms"), text(line, "reason"), text(line, "outcome"));
    }
    if (event == "request_answered") {
        const auto who = line.contains("engine") ? text(line, "engine") : text(line, "upstream");
        return fmt::format("answered by {} after {}", who, milliseconds(line, "age_ms"));
    }
    // The rest explains itself by its fields.
    Json fields = line;
    for (const auto *key : {"time_ms", "vm", "part", "event", "request"}) {
        fields.erase(key);
    }
    return fields.empty() ? event : event + " " + fields.dump();
}

auto upstreamsOf(const std::vector<Entry> &entries) -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto &entry : entries) {
        for (const auto *key : {"engine", "decode", "prefill", "upstream"}) {
            if (entry.line.contains(key)) {
                names.insert(text(entry.line, key));
            }
        }
    }
    return names;
}

auto byTime(const Entry &left, const Entry &right) -> bool
{
    return left.timeMs < right.timeMs;
}

} // namespace

auto explainRequest(std::istream &lines, std::string_view requestId) -> std::vector<std::string>
{
    std::vector<Entry> own;
    std::vector<Entry> others; // of upstreams and VMs, without a request
    for (std::string text; std::getline(lines, text);) {
        const auto start = text.find('{');
        auto line = start == std::string::npos ? Json() : Json::parse(text.substr(start), nullptr, false);
        if (!line.is_object() || !line.contains("time_ms") || !line["time_ms"].is_number_integer() || !line.contains("event")) {
            continue;
        }
        Entry entry{line["time_ms"].get<std::int64_t>(), std::move(line)};
        const auto request = entry.line.find("request");
        if (request == entry.line.end()) {
            others.push_back(std::move(entry));
        } else if (request->is_string() && request->get_ref<const std::string &>() == requestId) {
            own.push_back(std::move(entry));
        }
    }
    std::vector<std::string> timeline;
    if (own.empty()) {
        return timeline;
    }
    const auto upstreams = upstreamsOf(own);
    const auto vm = text(own.front().line, "vm");
    std::stable_sort(own.begin(), own.end(), byTime);
    const auto begin = own.front().timeMs;
    const auto end = own.back().timeMs;
    std::vector<Entry> all = own;
    std::copy_if(others.begin(), others.end(), std::back_inserter(all), [&](const Entry &entry) {
        constexpr std::int64_t Before = 1000; // ms in which a cause may lie
        const bool near = entry.timeMs >= begin - Before && entry.timeMs <= end;
        const bool related = upstreams.contains(text(entry.line, "upstream")) || upstreams.contains(text(entry.line, "engine"));
        const auto part = text(entry.line, "part");
        return near && text(entry.line, "vm") == vm && (related || part == "edge" || part == "store");
    });
    std::stable_sort(all.begin(), all.end(), byTime);
    for (const auto &entry : all) {
        const auto *mark = entry.line.contains("request") ? "" : "meanwhile: ";
        timeline.push_back(fmt::format("{:+6} ms {}: {}{}", entry.timeMs - begin, text(entry.line, "vm"), mark, describeEvent(entry.line)));
    }
    return timeline;
}

auto printExplanation(std::string_view requestId, const std::string &path) -> bool
{
    std::ifstream file(path);
    const auto timeline = explainRequest(path.empty() ? std::cin : static_cast<std::istream &>(file), requestId);
    for (const auto &line : timeline) {
        fmt::print("{}\n", line);
    }
    if (timeline.empty()) {
        fmt::print(stderr, "no line names the request {}\n", requestId);
    }
    return !timeline.empty();
}

} // namespace currantstack
