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
    const auto prefill = line.contains("prefill")
        ? fmt::format("prefill at {} with {} prompt tokens queued", text(line, "prefill"), text(line, "prefill_tokens_ahead"))
        : std::string("prefill on the decode engine");
    return fmt::format("placed: {}, decode at {} (with {} requests); first event expected after {}; load reports from {} sources, "
                       "routes version {}",
                       prefill, text(line, "decode"), text(line, "decode_requests"), milliseconds(line, "expected_first_ms"),
                       text(line, "peers_heard"), text(line, "routes_version"));
}

auto describeFailure(const Json &line) -> std::string
{
    return fmt::format("given up after {} with status {}: {} ({} attempts; Retry-After {}; routes version {})",
                       milliseconds(line, "age_ms"), text(line, "status"), text(line, "reason"), text(line, "sends"),
                       milliseconds(line, "retry_after_ms"), text(line, "routes_version"));
}

auto describeQuarantine(const Json &line) -> std::string
{
    std::string crashed;
    if (const auto upstreams = line.find("crashed"); upstreams != line.end() && upstreams->is_array()) {
        for (const auto &upstream : *upstreams) {
            crashed += (crashed.empty() ? "" : ", ") + (upstream.is_string() ? upstream.get<std::string>() : upstream.dump());
        }
    }
    return fmt::format("quarantined for another {}: {} crashed under traits {}; last crash reported by {} {} before",
                       milliseconds(line, "remaining_ms"), crashed, text(line, "traits"), text(line, "observer"),
                       milliseconds(line, "crash_age_ms"));
}

auto describeLimits(const Json &line) -> std::string
{
    std::string limits;
    if (const auto found = line.find("limits"); found != line.end() && found->is_object()) {
        for (const auto &[upstream, limit] : found->items()) {
            limits += fmt::format("{}{} takes {} requests a second", limits.empty() ? "" : ", ", upstream, limit.dump());
        }
    }
    return fmt::format("no upstream may get it because of the limits that they name: {}; may come back after {}", limits,
                       milliseconds(line, "retry_after_ms"));
}

auto describeContinuation(const Json &line) -> std::string
{
    const auto where = text(line, "continues");
    std::string result =
        fmt::format("the caller continues attempt {} after event {}: ", text(line, "first_attempt"), text(line, "after_event"));
    if (where == "nowhere") {
        result += "no VM that was asked knows the software version that began it";
    } else if (where == "at_any_engine") {
        result += "the service has and had one software version";
    } else if (text(line, "known_from") == "nobody") {
        result += fmt::format("only software version {} can have begun it", text(line, "software_version"));
    } else {
        result += fmt::format("software version {} began it, known from {} for {}", text(line, "software_version"),
                              text(line, "known_from"), milliseconds(line, "known_for_ms"));
    }
    return result + fmt::format("; {} engines can take it", where == "nowhere" ? "0" : text(line, "engines_of_version"));
}

auto describeUnresumable(const Json &line) -> std::string
{
    if (text(line, "version_certain") == "false") {
        return fmt::format(
            "cannot go on after event {}: its engine has another software version under the same id, so that either may have "
            "written the events",
            text(line, "after_event"));
    }
    return fmt::format("cannot go on after event {}: none of the {} engines of software version {} has capacity", text(line, "after_event"),
                       text(line, "engines_of_version"), text(line, "software_version"));
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
    if (event == "request_quarantined") {
        return describeQuarantine(line);
    }
    if (event == "request_limited") {
        return describeLimits(line);
    }
    if (event == "service_chosen") {
        return fmt::format("sent to {} (with {} requests, health {}, {} candidates), attempt {}", text(line, "upstream"),
                           text(line, "under_way"), text(line, "health"), text(line, "candidates"), text(line, "send"));
    }
    if (event == "stream_broken") {
        return fmt::format("broken at {} after {} events and {} without an event: {}; outcome {}", text(line, "engine"),
                           text(line, "events"), milliseconds(line, "silent_ms"), text(line, "reason"), text(line, "outcome"));
    }
    if (event == "stream_ends_in_vain") {
        return fmt::format("ended by this VM after {} without an event: {} (directory entry of {} {}, {} calls unanswered)",
                           milliseconds(line, "silent_ms"), text(line, "reason"), text(line, "engine"), text(line, "entry"),
                           text(line, "unanswered"));
    }
    if (event == "caller_continues") {
        return describeContinuation(line);
    }
    if (event == "stream_not_resumable") {
        return describeUnresumable(line);
    }
    if (event == "request_relayed") {
        return fmt::format("forwarded through {} ({} VMs could take it, {} requests there): {}", text(line, "to"), text(line, "candidates"),
                           text(line, "in_flight"), text(line, "reason"));
    }
    if (event == "request_answered" && line.contains("through")) {
        return fmt::format("answered through {} with status {} after {}", text(line, "through"), text(line, "status"),
                           milliseconds(line, "age_ms"));
    }
    if (event == "request_answered") {
        const auto upstream = line.contains("engine") ? text(line, "engine") : text(line, "upstream");
        return fmt::format("answered by {} after {}", upstream, milliseconds(line, "age_ms"));
    }
    // Other events are printed as their fields.
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
    std::vector<Entry> matching; // lines of the request
    std::vector<Entry> others; // lines that name no request
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
            matching.push_back(std::move(entry));
        }
    }
    std::vector<std::string> timeline;
    if (matching.empty()) {
        return timeline;
    }
    const auto upstreams = upstreamsOf(matching);
    const auto vm = text(matching.front().line, "vm");
    std::stable_sort(matching.begin(), matching.end(), byTime);
    const auto begin = matching.front().timeMs;
    const auto end = matching.back().timeMs;
    std::vector<Entry> entries = matching;
    std::copy_if(others.begin(), others.end(), std::back_inserter(entries), [&](const Entry &entry) {
        constexpr std::int64_t LookbackMs = 1000; // causes before the request's first line
        const bool concurrent = entry.timeMs >= begin - LookbackMs && entry.timeMs <= end;
        const bool related = upstreams.contains(text(entry.line, "upstream")) || upstreams.contains(text(entry.line, "engine"));
        const auto part = text(entry.line, "part");
        return concurrent && text(entry.line, "vm") == vm && (related || part == "edge" || part == "store" || part == "links");
    });
    std::stable_sort(entries.begin(), entries.end(), byTime);
    for (const auto &entry : entries) {
        const auto *prefix = entry.line.contains("request") ? "" : "meanwhile: ";
        timeline.push_back(
            fmt::format("{:+6} ms {}: {}{}", entry.timeMs - begin, text(entry.line, "vm"), prefix, describeEvent(entry.line)));
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
