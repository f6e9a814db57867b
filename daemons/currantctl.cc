// currantctl: the command-line client for operators and members.
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
using currantctl::OperatorClient;
using currantctl::Response;

constexpr auto Usage = R"(currantctl: command-line client of a currantstack router.

Usage:
  currantctl config validate FILE [options]
  currantctl config schema
  currantctl config submit FILE [--base N] [--id ID] [--wait] [options]
  currantctl config show [options]
  currantctl config history [options]
  currantctl config diff FILE [options]
  currantctl status [options]
  currantctl members usage [options]
  currantctl upstreams [options]
  currantctl tenants [options]
  currantctl drain [options]
  currantctl order ENGINE KIND [VALUE] [options]
  currantctl timeline [--request ID] [--upstream NAME] [--revision N] [--since SECONDS] [options]
  currantctl explain ID [LOG]
  currantctl token-hash TOKEN
  currantctl --help

Options:
  --vm ADDRESS      Peer address "IP:port" of any VM, for `tenants` the metrics address of a VM of currant-edge [default: 127.0.0.1:8081].
  --token TOKEN     Bearer token of an operator or a member; CURRANT_TOKEN if not given.
  --json            Print JSON instead of text.
  --base N          Revision that the document is based on; the one in force if not given.
  --id ID           Id of the submission. It is accepted at most once, so submitting again after a lost response is safe.
  --wait            Wait until the configuration is in force on every live VM; after a timeout, list the VMs where it is not.
  --request ID      Only events of the request with this id (header X-Request-Id).
  --upstream NAME   Only events that involve the engine, service upstream or VM.
  --revision N      Only events of the configuration revision.
  --since SECONDS   Only events of the last seconds [default: 3600].

Orders: KIND is role, load, unload or version; the engine's owner sends the order with a fencing token.

Exit codes:
  0  success
  1  rejected: the document is invalid, conflicts with another change, or the token lacks permission
  2  invalid command line or file
  3  a VM or the platform is unreachable, or the outcome is unknown

Examples:
  currantctl config validate examples/rehoming.json
  currantctl config submit examples/rehoming.json --wait --vm 10.0.0.1:8081 --token "$CURRANT_TOKEN"
  currantctl timeline --request vm0.1796358062090.0
)";

enum ExitCode
{
    Success = 0,
    Rejected = 1,
    InvalidInput = 2,
    Unreachable = 3, // or the outcome is unknown
};

constexpr Duration RolloutTimeout = seconds(20); // for a configuration to be in force on all VMs
constexpr Duration RolloutPollPeriod = milliseconds(100);

auto printError(std::string_view message) -> void
{
    fmt::print(stderr, "currantctl: {}\n", message);
}

/// Prints why a call failed and returns the exit code for it.
auto reportFailure(const Response &response) -> int
{
    if (response.status == 0) {
        printError("the VM is unreachable: " + response.error);
        return Unreachable;
    }
    const auto &body = response.body;
    if (body.is_object() && body.contains("detail")) {
        printError(fmt::format("rejected in step '{}': {} (ran: {})", body.value("step", std::string()),
                               body.value("detail", std::string()), body.value("ran", std::string("no"))));
    }
    return response.status >= 500 ? Unreachable : Rejected;
}

auto readDocument(const std::string &file) -> std::optional<Json>
{
    std::ifstream stream(file);
    if (!stream) {
        printError(fmt::format("cannot read {}", file));
        return std::nullopt;
    }
    std::stringstream text;
    text << stream.rdbuf();
    auto document = parseJson(text.str(), "read");
    if (!document) {
        printError(fmt::format("{}: {}", file, document.error().message));
        return std::nullopt;
    }
    return std::move(*document);
}

auto printValidationErrors(const Json &errors) -> void
{
    for (const auto &error : errors) {
        fmt::print("{}: {}\n", error.value("path", std::string()), error.value("message", std::string()));
    }
}

auto validate(const std::string &file, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return InvalidInput;
    }
    const auto config = parseConfig(*document);
    auto errors = Json::array();
    if (!config) {
        for (const auto &error : config.error()) {
            errors.push_back({{"path", error.path}, {"message", error.message}});
        }
    }
    if (asJson) {
        fmt::print("{}\n", Json{{"valid", config.has_value()}, {"faults", errors}}.dump());
    } else if (config) {
        fmt::print("the document is valid: {} engines, {} services, {} members\n", config->engines.size(), config->services.size(),
                   config->members.size());
    } else {
        printValidationErrors(errors);
    }
    return config ? Success : Rejected;
}

auto waitForRollout(OperatorClient &client, std::int64_t revision, bool asJson) -> int
{
    const SystemClock clock;
    const auto startedAt = clock.now();
    std::vector<std::string> behind;
    while (clock.now() - startedAt < RolloutTimeout) {
        behind.clear();
        const auto addresses = client.liveVms();
        const auto responses = client.callAll(addresses, "GET", "/operator/status");
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            if (responses[index].status != 200 || responses[index].body.value("revision", std::int64_t{0}) < revision) {
                behind.push_back(addresses[index]);
            }
        }
        if (behind.empty() && !addresses.empty()) {
            const auto message = fmt::format("revision {} is in force on {} VMs after {:.2f} s", revision, addresses.size(),
                                             toSeconds(clock.now() - startedAt));
            fmt::print("{}\n", asJson ? Json{{"in_force", true}, {"vms", addresses.size()}}.dump() : message);
            return Success;
        }
        usleep(static_cast<useconds_t>(toMilliseconds(RolloutPollPeriod) * 1000));
    }
    if (asJson) {
        fmt::print("{}\n", Json{{"in_force", false}, {"behind", behind}}.dump());
    } else {
        fmt::print("revision {} is not in force on: {}\n", revision, fmt::join(behind, ", "));
    }
    return Unreachable;
}

auto submit(OperatorClient &client, const std::string &file, std::int64_t base, std::string id, bool wait, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return InvalidInput;
    }
    if (base < 0) {
        const auto current = client.call("GET", "/operator/config");
        if (current.status != 200) {
            return reportFailure(current);
        }
        base = current.body.value("revision", std::int64_t{0});
    }
    if (id.empty()) {
        std::random_device device;
        id = fmt::format("{:08x}{:08x}", device(), device());
    }
    const auto response = client.call("POST", "/operator/config", {{"submission", id}, {"base", base}, {"document", *document}});
    if (!response.body.is_object() || !response.body.contains("accepted")) {
        const int code = reportFailure(response);
        if (code == Unreachable) {
            printError(fmt::format("the outcome is unknown; submit again with --id {} --base {}", id, base));
        }
        return code;
    }
    const bool accepted = response.body.value("accepted", false);
    const auto revision = response.body.value("revision", std::int64_t{0});
    if (asJson) {
        fmt::print("{}\n", response.body.dump());
    } else if (accepted) {
        fmt::print("accepted as revision {}\n", revision);
    } else if (!response.body["faults"].empty()) {
        printValidationErrors(response.body["faults"]);
    } else {
        fmt::print("conflict with another change: revision {} is in force and differs at:\n", revision);
        for (const auto &path : response.body["differing"]) {
            fmt::print("  {}\n", path.get<std::string>());
        }
    }
    if (!accepted) {
        return Rejected;
    }
    return wait ? waitForRollout(client, revision, asJson) : Success;
}

auto printResponse(const Response &response) -> int
{
    if (response.status != 200) {
        return reportFailure(response);
    }
    fmt::print("{}\n", response.body.dump(2));
    return Success;
}

auto diff(OperatorClient &client, const std::string &file, bool asJson) -> int
{
    const auto document = readDocument(file);
    if (!document) {
        return InvalidInput;
    }
    const auto current = client.call("GET", "/operator/config");
    if (current.status != 200) {
        return reportFailure(current);
    }
    const auto paths = differingPaths(current.body, *document);
    if (asJson) {
        fmt::print("{}\n", Json{{"revision", current.body.value("revision", std::int64_t{0})}, {"differing", paths}}.dump());
    } else {
        fmt::print("{}{}", fmt::join(paths, "\n"), paths.empty() ? "" : "\n");
    }
    return Success;
}

auto printStatus(OperatorClient &client, bool asJson) -> int
{
    const auto response = client.call("GET", "/operator/status");
    if (response.status != 200 || asJson) {
        return printResponse(response);
    }
    fmt::print("{:<12} {:<22} {:<12} {:<10} {}\n", "VM", "address", "place", "state", "revision");
    for (const auto &vm : response.body["vms"]) {
        fmt::print("{:<12} {:<22} {:<12} {:<10} {}\n", vm.value("name", ""), vm.value("address", ""), vm.value("place", ""),
                   vm.value("state", ""), vm.value("revision", 0));
    }
    return Success;
}

auto printUsage(OperatorClient &client, bool asJson) -> int
{
    const auto addresses = client.liveVms();
    const auto responses = client.callAll(addresses, "GET", "/operator/usage");
    std::vector<Json> reports;
    std::vector<std::string> unreachable;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        if (responses[index].status == 200) {
            reports.push_back(responses[index].body);
        } else {
            unreachable.push_back(addresses[index]);
        }
    }
    if (reports.empty()) {
        printError("no VM responded");
        return Unreachable;
    }
    const auto total = sumUsage(reports);
    if (asJson) {
        fmt::print("{}\n", Json{{"usage", total}, {"silent", unreachable}}.dump());
        return Success;
    }
    fmt::print("{:<16} {:>10} {:>10} {:>10} {:>14} {:>14} {:>12}\n", "member", "requests", "refused", "in flight", "prompt tokens",
               "output tokens", "slot s");
    for (const auto &[member, usage] : total.items()) {
        fmt::print("{:<16} {:>10} {:>10} {:>10} {:>14} {:>14} {:>12.1f}\n", member, usage.value("requests", 0), usage.value("refused", 0),
                   usage.value("in_flight", 0), usage.value("prompt_tokens", 0L), usage.value("output_tokens", 0L),
                   static_cast<double>(usage.value("slot_ms", 0L)) / 1000);
    }
    for (const auto &address : unreachable) {
        fmt::print("no response from {}\n", address);
    }
    return Success;
}

auto printUpstreams(OperatorClient &client, bool asJson) -> int
{
    const auto response = client.call("GET", "/operator/upstreams");
    if (response.status != 200 || asJson) {
        return printResponse(response);
    }
    fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7} {}\n", "engine", "pool", "place", "owner", "weight", "");
    for (const auto &engine : response.body["engines"]) {
        fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7.2f} {}\n", engine.value("name", ""), engine.value("pool", ""),
                   engine.value("place", ""), engine.value("owner", ""), engine.value("weight", 1.0),
                   engine.value("leaving", false) ? "leaving" : "");
    }
    for (const auto &service : response.body["services"]) {
        fmt::print("{:<16} {:<24} {:<10} {:<10} {:>7.2f} {}\n", service.value("name", ""), service.value("service", ""), "", "",
                   service.value("weight", 1.0), service.value("leaving", false) ? "leaving" : "");
    }
    return Success;
}

auto printTimeline(OperatorClient &client, const std::string &query, bool asJson) -> int
{
    const auto addresses = client.liveVms();
    if (addresses.empty()) {
        printError("the VM is unreachable");
        return Unreachable;
    }
    const auto responses = client.callAll(addresses, "GET", "/operator/timeline" + query);
    std::vector<Json> events;
    std::vector<std::string> unreachable;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        if (responses[index].status != 200) {
            unreachable.push_back(addresses[index]);
            continue;
        }
        for (const auto &event : responses[index].body["events"]) {
            events.push_back(event);
        }
    }
    events = mergeEvents(std::move(events));
    if (asJson) {
        fmt::print("{}\n", Json{{"events", events}, {"silent", unreachable}}.dump());
        return Success;
    }
    for (const auto &event : events) {
        const auto wall = event.value("wall_ms", 0LL);
        fmt::print("{:>6} {:02}:{:02}:{:02}.{:03} {:<8} {:<18} {} {}{}{}\n", event.value("logical", 0LL), wall / 3600000 % 24,
                   wall / 60000 % 60, wall / 1000 % 60, wall % 1000, event.value("vm", ""), event.value("kind", ""),
                   event.value("request", ""), event.value("peer", ""), event.contains("cause") ? ": " : "", event.value("cause", ""));
    }
    for (const auto &address : unreachable) {
        fmt::print("no response from {}\n", address);
    }
    return Success;
}

/// Prints the tenants of a platform's configuration with what is left of their quotas, as one VM knows it.
auto printTenants(OperatorClient &client, bool asJson) -> int
{
    const auto response = client.call("GET", "/tenants");
    if (response.status != 200 || !response.body.is_object()) {
        return reportFailure(response);
    }
    if (asJson) {
        fmt::print("{}\n", response.body.dump());
        return Success;
    }
    fmt::print("{:<20} {:<8} {:>12} {:>12} {:>12} {:>10} {:>12} {:>10}\n", "tenant", "unit", "rate/s", "burst", "left", "requests",
               "charged", "refused");
    for (const auto &tenant : response.body["tenants"]) {
        const auto left = tenant.contains("level") ? fmt::format("{}", tenant["level"].get<std::int64_t>()) : std::string("no limit");
        fmt::print("{:<20} {:<8} {:>12.0f} {:>12.0f} {:>12} {:>10} {:>12} {:>10}\n", tenant.value("name", ""), tenant.value("unit", ""),
                   tenant.value("rate_per_s", 0.0), tenant.value("burst", 0.0), left, tenant.value("requests", 0LL),
                   tenant.value("charged", 0LL), tenant.value("refused", 0LL));
    }
    return Success;
}

auto run(std::map<std::string, docopt::value> &arguments) -> int
{
    const auto flag = [&arguments](const char *name) { return arguments[name].isBool() && arguments[name].asBool(); };
    const auto text = [&arguments](const char *name) { return arguments[name].isString() ? arguments[name].asString() : std::string(); };
    const bool asJson = flag("--json");
    if (flag("token-hash")) {
        fmt::print("{}\n", tokenHash(text("TOKEN")));
        return Success;
    }
    if (flag("explain")) {
        return printExplanation(text("ID"), text("LOG")) ? Success : Rejected;
    }
    if (flag("schema")) {
        fmt::print("{}\n", configSchema().dump(2));
        return Success;
    }
    if (flag("validate")) {
        return validate(text("FILE"), asJson);
    }
    const auto *environment = std::getenv("CURRANT_TOKEN");
    const auto token = !text("--token").empty() ? text("--token") : std::string(environment == nullptr ? "" : environment);
    OperatorClient client(text("--vm"), token);
    if (flag("submit")) {
        return submit(client, text("FILE"), arguments["--base"] ? arguments["--base"].asLong() : -1, text("--id"), flag("--wait"), asJson);
    }
    if (flag("show")) {
        return printResponse(client.call("GET", "/operator/config"));
    }
    if (flag("history")) {
        return printResponse(client.call("GET", "/operator/history"));
    }
    if (flag("diff")) {
        return diff(client, text("FILE"), asJson);
    }
    if (flag("status")) {
        return printStatus(client, asJson);
    }
    if (flag("usage")) {
        return printUsage(client, asJson);
    }
    if (flag("upstreams")) {
        return printUpstreams(client, asJson);
    }
    if (flag("tenants")) {
        return printTenants(client, asJson);
    }
    if (flag("order")) {
        return printResponse(
            client.call("POST", "/operator/order", {{"engine", text("ENGINE")}, {"kind", text("KIND")}, {"value", text("VALUE")}}));
    }
    if (flag("drain")) {
        return printResponse(client.call("POST", "/operator/drain"));
    }
    const auto since = epochMilliseconds(SystemClock().wall()) - 1000 * arguments["--since"].asLong();
    Headers query = {{"since_ms", std::to_string(since)}};
    for (const auto *name : {"request", "upstream", "revision"}) {
        const auto value = text(("--" + std::string(name)).c_str());
        if (!value.empty()) {
            query.push_back({name, value});
        }
    }
    return printTimeline(client, encodeQuery(query), asJson);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    try {
        return run(arguments);
    } catch (const std::exception &exception) {
        printError(exception.what());
        return InvalidInput;
    }
}
