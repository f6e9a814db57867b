// currantd: the router process of an entry VM.
#include "currantstack/log.h"
#include "currantstack/node.h"

#include <docopt/docopt.h>

namespace
{

constexpr auto Usage = R"(currantd: the router process of an entry VM.

Usage:
  currantd --settings FILE [--check] [--log-format FORMAT] [--log-level LEVEL]
  currantd --help

Options:
  --settings FILE      Settings of this VM in YAML.
  --check              Check the settings and exit with status 0 if they are valid, 2 otherwise.
  --log-format FORMAT  "text" or "json" [default: text].
  --log-level LEVEL    Overrides log_level of the settings: debug, info, warning, error or off.

Signals:
  SIGTERM, SIGINT      Drain: accept no new requests, finish requests in flight, exit with status 0.
)";

constexpr currantstack::Log DaemonLog("currantd");

} // namespace

auto main(int argc, char **argv) -> int
{
    using namespace currantstack;
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const auto settings = loadSettings(arguments["--settings"].asString());
    if (!settings) {
        DaemonLog.error("{}", describe(settings.error()));
        return 2;
    }
    if (arguments["--check"].asBool()) {
        fmt::print("the settings are valid\n");
        return 0;
    }
    const auto format = arguments["--log-format"].asString() == "json" ? LogFormat::Json : LogFormat::Text;
    setLog(arguments["--log-level"] ? logLevel(arguments["--log-level"].asString()) : settings->logLevel, format);
    Node node(*settings);
    if (const auto started = node.start(); !started) {
        DaemonLog.error("{}", describe(started.error()));
        return 1;
    }
    node.run();
    return 0;
}
