// currant-load: an open-loop load generator for benchmarks and tests.
#include "load_generator.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>

namespace
{

constexpr auto Usage = R"(currant-load: sends the requests of a scenario and verifies every response.

Usage:
  currant-load SCENARIO --target ADDRESS... [--capacity N] [--seed N] [--json FILE] [--outcomes FILE] [--direct-prefill ADDRESS --direct-decode ADDRESS]
  currant-load SCENARIO --show
  currant-load --help

Options:
  --target ADDRESS  Loopback address "IP:port" of an entry VM; requests go to the targets in round-robin order.
  --capacity N      Model requests per second at a load of 1 [default: 10].
  --seed N          Random seed of arrivals, lengths and contents [default: 1].
  --json FILE       Writes the summary to the file instead of standard output.
  --direct-prefill ADDRESS  Bypasses the router as a baseline: calls this prefill engine,
  --direct-decode ADDRESS   then this decode engine.
  --show            Prints the scenario as JSON and exits.
  --outcomes FILE   Writes the outcome of every request to the file.
)";

auto writeFile(const std::string &file, const currantstack::Json &value) -> void
{
    std::ofstream stream(file);
    stream << value.dump(1) << "\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const auto scenario = bench::loadScenario(arguments["SCENARIO"].asString());
    if (!scenario) {
        fmt::print(stderr, "currant-load: {}\n", currantstack::describe(scenario.error()));
        return 2;
    }
    if (arguments["--show"].asBool()) {
        fmt::print("{}\n", bench::scenarioToJson(arguments["SCENARIO"].asString())->dump());
        return 0;
    }
    const auto targets = arguments["--target"].asStringList();
    for (const auto &target : targets) {
        if (!target.starts_with("127.")) {
            fmt::print(stderr, "currant-load: --target must be a loopback address, not {}\n", target);
            return 2;
        }
    }
    currantstack::Loop loop;
    bench::LoadGenerator generator(loop, *scenario, targets, std::stod(arguments["--capacity"].asString()),
                                   static_cast<std::uint64_t>(arguments["--seed"].asLong()));
    if (arguments["--direct-prefill"] && arguments["--direct-decode"]) {
        generator.bypassRouter(arguments["--direct-prefill"].asString(), arguments["--direct-decode"].asString());
    }
    generator.start();
    loop.run();
    if (arguments["--json"]) {
        writeFile(arguments["--json"].asString(), generator.report());
    } else {
        fmt::print("{}\n", generator.report().dump(1));
    }
    if (arguments["--outcomes"]) {
        writeFile(arguments["--outcomes"].asString(), generator.outcomes());
    }
    return 0;
}
