// currant-load: open-loop callers for measurements and tests.
#include "load_generator.h"

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <fstream>

namespace
{

constexpr auto Usage = R"(currant-load: sends a scenario's requests and checks every answer.

Usage:
  currant-load SCENARIO --target ADDRESS... [--capacity N] [--seed N] [--json FILE] [--outcomes FILE] [--direct-prefill ADDRESS --direct-decode ADDRESS]
  currant-load SCENARIO --show
  currant-load --help

Options:
  --target ADDRESS  "IP:port" of an entry VM, on loopback only; requests go to the targets in turn.
  --capacity N      Model requests a second that a load of 1 stands for [default: 10].
  --seed N          Seed of arrivals, lengths and contents [default: 1].
  --json FILE       Writes the summary to the file instead of standard output.
  --direct-prefill ADDRESS  Calls this prefill engine without a router,
  --direct-decode ADDRESS   then this decode engine; to compare with.
  --show            Prints the scenario as JSON and exits.
  --outcomes FILE   Writes every request's outcome to the file.
)";

auto write(const std::string &file, const currantstack::Json &value) -> void
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
        fmt::print("{}\n", bench::showScenario(arguments["SCENARIO"].asString())->dump());
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
    bench::Load load(loop, *scenario, targets, std::stod(arguments["--capacity"].asString()),
                     static_cast<std::uint64_t>(arguments["--seed"].asLong()));
    if (arguments["--direct-prefill"] && arguments["--direct-decode"]) {
        load.callDirectly(arguments["--direct-prefill"].asString(), arguments["--direct-decode"].asString());
    }
    load.start();
    loop.run();
    if (arguments["--json"]) {
        write(arguments["--json"].asString(), load.report());
    } else {
        fmt::print("{}\n", load.report().dump(1));
    }
    if (arguments["--outcomes"]) {
        write(arguments["--outcomes"].asString(), load.outcomes());
    }
    return 0;
}
