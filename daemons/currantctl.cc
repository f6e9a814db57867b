// currantctl: what operators and members do from a command line.
#include "currantstack/codec.h"
#include "currantstack/config.h"
#include "currantstack/edge/explain.h"
#include "currantstack/timeline.h"
#include "currantstack/usage.h"

#include "operator_client.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>
#include <unistd.h>

namespace
{

using namespace currantstack;
using currantctl::Answer;
using currantctl::Console;

constexpr auto Usage = R"(currantctl: drives a currantstack router.

Usage:
  currantctl config validate FILE [--json]
  currantctl config schema
  currantctl config submit FILE [--base N] [--id ID] [--wait] [options]
  currantctl config show [options]
  currantctl config history [options]
  currantctl config diff FILE [options]
  currantctl status [options]
  currantctl members usage [options]
  currantctl upstreams [options]
  currantctl drain [options]
  currantctl order ENGINE KIND [VALUE] [options]
  currantctl timeline [--request ID] [--upstream NAME] [--revision N] [--since SECONDS] [options]
  currantctl explain ID [LOG]
  currantctl token-hash TOKEN
  currantctl --help

Options:
  --vm ADDRESS      "IP:port" of any VM's peer address [default: 127.0.0.1:8081].
  --token TOKEN     Bearer token of an operator or a member; CURRANT_TOKEN where not given.
  --json            Print JSON for programs instead of text for people.
  --base N          Revision that the document was made from; the one in force where not given.
  --id ID           Id of the submission. After a lost answer, submit again with the same id: it is accepted once.
  --wait            Return when every live VM has the configuration in force, or name those that have not.
  --request ID      Only events of the request, as X-Request-Id names it.
  --upstream NAME   Only events with the engine, service or VM.
  --revision N      Only events of the configuration revision.
  --since SECONDS   Only events of the last seconds [default: 3600].

Orders: KIND is role, load, unload or version; the engine's owner gives the order, with its fencing number.

Exit codes:
  0  done
  1  refused: the document has faults, another operator was first, or the token may not do this
  2  the command line or a file is wrong
  3  a VM or the platform could not be reached, or the outcome is not known

Examples:
  currantctl config validate examples/rehoming.json
  currantctl config submit examples/rehoming.json --wait --vm 10.0.0.1:8081 --token "$CURRANT_TOKEN"
  currantctl timeline --request vm0.1796358062090.0
)";

enum ExitCode
{
    Done = 0,
    Refused = 1,
    BadCommand = 2,
    Unreached = 3,
};

constexpr Duration WaitLimit = seconds(20); // for a configuration to be in force everywhere
constexpr Duration WaitPoll = milliseconds(100);

auto complain(std::string_view message) -> void
{
    fmt::print(stderr, "currantctl: {}\n", message);
}

/// Says why an answer is no success and returns the exit code for it.
auto explain(const Answer &answer) -> int
{
    if (answer.status == 0) {
        complain("the VM could not be reached: " + answer.problem);
        return Unreached;
    }
    const auto &body = answer.body;
    if (body.is_object() && body.contains("detail")) {
        complain(fmt::format("refused in step '{}': {} (ran: {})", body.value("step", std::string()), body.value("detail", std::string()),
                             body.value("ran", std::string("no"))));
    }
    return answer.status >= 500 ? Unreached : Refused;
}

auto readDocument(const std::string &file) -> std::optional<Json>
{
    std::ifstream stream(file);
    if (!stream) {
        complain(fmt::format("{} cannot be read", file));
        return std::nullopt;
    }
    std::stringstream text;
    text << stream.rdbuf();
    auto document = parseJson(text.str(), "read");
    if (!document) {
        complain(fmt::format("{}: {}", file, document.error().message));
        return std::nullopt;
    }
    return std::move(*document);
}

auto printFaults(const Json &errors) -> void
{
    for (const auto &fault : errors) {
        fmt::print("{}: {}\n", fault.value("path", std::string()), fault.value("message", std::string()));
    }
}

auto validate(const std::string &file, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return BadCommand;
    }
    const auto config = parseConfig(*document);
    auto errors = Json::array();
    if (!config) {
        for (const auto &fault : config.error()) {
            errors.push_back({{"path", fault.path}, {"message", fault.message}});
        }
    }
    if (asJson) {
        fmt::print("{}\n", Json{{"valid", config.has_value()}, {"faults", errors}}.dump());
    } else if (config) {
        fmt::print("the document is right: {} engines, {} services, {} members\n", config->engines.size(), config->services.size(),
                   config->members.size());
    } else {
        printFaults(errors);
    }
    return config ? Done : Refused;
}

auto waitForAll(Console &console, std::int64_t revision, bool asJson) -> int
{
    const SystemClock clock;
    const auto begun = clock.now();
    std::vector<std::string> behind;
    while (clock.now() - begun < WaitLimit) {
        behind.clear();
        const auto addresses = console.liveVms();
        const auto answers = console.callAll(addresses, "GET", "/operator/status");
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            if (answers[index].status != 200 || answers[index].body.value("revision", std::int64_t{0}) < revision) {
                behind.push_back(addresses[index]);
            }
        }
        if (behind.empty() && !addresses.empty()) {
            const auto message =
                fmt::format("revision {} is in force on {} VMs after {:.2f} s", revision, addresses.size(), toSeconds(clock.now() - begun));
            fmt::print("{}\n", asJson ? Json{{"in_force", true}, {"vms", addresses.size()}}.dump() : message);
            return Done;
        }
        usleep(static_cast<useconds_t>(toMilliseconds(WaitPoll) * 1000));
    }
    if (asJson) {
        fmt::print("{}\n", Json{{"in_force", false}, {"behind", behind}}.dump());
    } else {
        fmt::print("revision {} is not in force on: {}\n", revision, fmt::join(behind, ", "));
    }
    return Unreached;
}

auto submit(Console &console, const std::string &file, std::int64_t base, std::string id, bool wait, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return BadCommand;
    }
    if (base < 0) {
        const auto current = console.call("GET", "/operator/config");
        if (current.status != 200) {
            return explain(current);
        }
        base = current.body.value("revision", std::int64_t{0});
    }
    if (id.empty()) {
        std::random_device device;
        id = fmt::format("{:08x}{:08x}", device(), device());
    }
    const auto answer = console.call("POST", "/operator/config", {{"submission", id}, {"base", base}, {"document", *document}});
    if (!answer.body.is_object() || !answer.body.contains("accepted")) {
        const int code = explain(answer);
        if (code == Unreached) {
            complain(fmt::format("submit again with --id {} --base {} to learn the outcome", id, base));
        }
        return code;
    }
    const bool accepted = answer.body.value("accepted", false);
    const auto revision = answer.body.value("revision", std::int64_t{0});
    if (asJson) {
        fmt::print("{}\n", answer.body.dump());
    } else if (accepted) {
        fmt::print("accepted as revision {}\n", revision);
    } else if (!answer.body["faults"].empty()) {
        printFaults(answer.body["faults"]);
    } else {
        fmt::print("another change was first; revision {} is in force and differs at:\n", revision);
        for (const auto &path : answer.body["differing"]) {
            fmt::print("  {}\n", path.get<std::string>());
        }
    }
    if (!accepted) {
        return Refused;
    }
    return wait ? waitForAll(console, revision, asJson) : Done;
}

auto show(const Answer &answer) -> int
{
    if (answer.status != 200) {
        return explain(answer);
    }
    fmt::print("{}\n", answer.body.dump(2));
    return Done;
}

auto diff(Console &console, const std::string &file, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return BadCommand;
    }
    const auto current = console.call("GET", "/operator/config");
    if (current.status != 200) {
        return explain(current);
    }
    const auto paths = differingPaths(current.body, *document);
    if (asJson) {
        fmt::print("{}\n", Json{{"revision", current.body.value("revision", std::int64_t{0})}, {"differing", paths}}.dump());
    } else {
        fmt::print("{}{}", fmt::join(paths, "\n"), paths.empty() ? "" : "\n");
    }
    return Done;
}

auto showStatus(Console &console, bool asJson) -> int
{
    const auto answer = console.call("GET", "/operator/status");
    if (answer.status != 200 || asJson) {
        return show(answer);
    }
    fmt::print("{:<12} {:<22} {:<12} {:<10} {}\n", "VM", "address", "place", "state", "revision");
    for (const auto &vm : answer.body["vms"]) {
        fmt::print("{:<12} {:<22} {:<12} {:<10} {}\n", vm.value("name", ""), vm.value("address", ""), vm.value("place", ""),
                   vm.value("state", ""), vm.value("revision", 0));
    }
    return Done;
}

auto showUsage(Console &console, bool asJson) -> int
{
    const auto addresses = console.liveVms();
    const auto answers = console.callAll(addresses, "GET", "/operator/usage");
    std::vector<Json> reports;
    std::vector<std::string> silent;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        if (answers[index].status == 200) {
            reports.push_back(answers[index].body);
        } else {
            silent.push_back(addresses[index]);
        }
    }
    if (reports.empty()) {
        complain("no VM answered");
        return Unreached;
    }
    const auto total = sumUsage(reports);
    if (asJson) {
        fmt::print("{}\n", Json{{"usage", total}, {"silent", silent}}.dump());
        return Done;
    }
    fmt::print("{:<16} {:>10} {:>10} {:>10} {:>14} {:>14} {:>12}\n", "member", "requests", "refused", "in flight", "prompt tokens",
               "output tokens", "slot s");
    for (const auto &[member, usage] : total.items()) {
        fmt::print("{:<16} {:>10} {:>10} {:>10} {:>14} {:>14} {:>12.1f}\n", member, usage.value("requests", 0), usage.value("refused", 0),
                   usage.value("in_flight", 0), usage.value("prompt_tokens", 0L), usage.value("output_tokens", 0L),
                   static_cast<double>(usage.value("slot_ms", 0L)) / 1000);
    }
    for (const auto &address : silent) {
        fmt::print("no answer from {}\n", address);
    }
    return Done;
}

auto showUpstreams(Console &console, bool asJson) -> int
{
    const auto answer = console.call("GET", "/operator/upstreams");
    if (answer.status != 200 || asJson) {
        return show(answer);
    }
    fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7} {}\n", "engine", "pool", "place", "owner", "weight", "");
    for (const auto &engine : answer.body["engines"]) {
        fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7.2f} {}\n", engine.value("name", ""), engine.value("pool", ""),
                   engine.value("place", ""), engine.value("owner", ""), engine.value("weight", 1.0),
                   engine.value("leaving", false) ? "leaving" : "");
    }
    for (const auto &service : answer.body["services"]) {
        fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7.2f} {}\n", service.value("name", ""), service.value("service", ""), "", "",
                   service.value("weight", 1.0), service.value("leaving", false) ? "leaving" : "");
    }
    return Done;
}

auto showTimeline(Console &console, const std::string &query, bool asJson) -> int
{
    const auto addresses = console.liveVms();
    if (addresses.empty()) {
        complain("the VM could not be reached");
        return Unreached;
    }
    const auto answers = console.callAll(addresses, "GET", "/operator/timeline" + query);
    std::vector<Json> events;
    std::vector<std::string> silent;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        if (answers[index].status != 200) {
            silent.push_back(addresses[index]);
            continue;
        }
        for (const auto &event : answers[index].body["events"]) {
            events.push_back(event);
        }
    }
    events = mergeEvents(std::move(events));
    if (asJson) {
        fmt::print("{}\n", Json{{"events", events}, {"silent", silent}}.dump());
        return Done;
    }
    for (const auto &event : events) {
        const auto wall = event.value("wall_ms", 0LL);
        fmt::print("{:>6} {:02}:{:02}:{:02}.{:03} {:<8} {:<18} {} {}{}{}\n", event.value("logical", 0LL), wall / 3600000 % 24,
                   wall / 60000 % 60, wall / 1000 % 60, wall % 1000, event.value("vm", ""), event.value("kind", ""),
                   event.value("request", ""), event.value("peer", ""), event.contains("cause") ? ": " : "", event.value("cause", ""));
    }
    for (const auto &address : silent) {
        fmt::print("no answer from {}\n", address);
    }
    return Done;
}

auto run(std::map<std::string, docopt::value> &arguments) -> int
{
    const auto flag = [&arguments](const char *name) { return arguments[name].isBool() && arguments[name].asBool(); };
    const auto text = [&arguments](const char *name) { return arguments[name].isString() ? arguments[name].asString() : std::string(); };
    const bool asJson = flag("--json");
    if (flag("token-hash")) {
        fmt::print("{}\n", tokenHash(text("TOKEN")));
        return Done;
    }
    if (flag("explain")) {
        return printStory(text("ID"), text("LOG")) ? Done : Refused;
    }
    if (flag("schema")) {
        fmt::print("{}\n", configSchema().dump(2));
        return Done;
    }
    if (flag("validate")) {
        return validate(text("FILE"), asJson);
    }
    const auto *environment = std::getenv("CURRANT_TOKEN");
    const auto token = !text("--token").empty() ? text("--token") : std::string(environment == nullptr ? "" : environment);
    Console console(text("--vm"), token);
    if (flag("submit")) {
        return submit(console, text("FILE"), arguments["--base"] ? arguments["--base"].asLong() : -1, text("--id"), flag("--wait"), asJson);
    }
    if (flag("show")) {
        return show(console.call("GET", "/operator/config"));
    }
    if (flag("history")) {
        return show(console.call("GET", "/operator/history"));
    }
    if (flag("diff")) {
        return diff(console, text("FILE"), asJson);
    }
    if (flag("status")) {
        return showStatus(console, asJson);
    }
    if (flag("usage")) {
        return showUsage(console, asJson);
    }
    if (flag("upstreams")) {
        return showUpstreams(console, asJson);
    }
    if (flag("order")) {
        return show(
            console.call("POST", "/operator/order", {{"engine", text("ENGINE")}, {"kind", text("KIND")}, {"value", text("VALUE")}}));
    }
    if (flag("drain")) {
        return show(console.call("POST", "/operator/drain"));
    }
    const auto since = epochMilliseconds(SystemClock().wall()) - 1000 * arguments["--since"].asLong();
    Headers query = {{"since_ms", std::to_string(since)}};
    for (const auto *name : {"request", "upstream", "revision"}) {
        const auto value = text(("--" + std::string(name)).c_str());
        if (!value.empty()) {
            query.push_back({name, value});
        }
    }
    return showTimeline(console, encodeQuery(query), asJson);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    try {
        return run(arguments);
    } catch (const std::exception &problem) {
        complain(problem.what());
        return BadCommand;
    }
}
