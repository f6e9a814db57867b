// standin-platform: stand-in for the platform's services.
#include "platform.h"

#include "currantstack/log.h"

#include <docopt/docopt.h>

namespace
{

constexpr auto Usage = R"(standin-platform: a stand-in for the platform's key-value service, VM list and weight store.

Usage:
  standin-platform [--address IP] --port N [--seed N] [--list-lag MS] [--writes N] [--reads N]
  standin-platform --help

Options:
  --address IP   Address to listen on [default: 127.0.0.1].
  --port N       Port to listen on.
  --seed N       Seed of the random generator [default: 1].
  --list-lag MS  Delay until a change is visible in the VM list [default: 2000].
  --writes N     Rate limit of writes, per second [default: 400].
  --reads N      Rate limit of reads, per second [default: 2000].
)";

} // namespace

auto main(int argc, char **argv) -> int
{
    constexpr currantstack::Log PlatformLog("platform");
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    currantstack::Loop loop;
    standin::PlatformSettings settings;
    settings.address = arguments["--address"].asString();
    settings.port = static_cast<std::uint16_t>(arguments["--port"].asLong());
    settings.listLagMs = static_cast<double>(arguments["--list-lag"].asLong());
    settings.writesPerSecond = static_cast<double>(arguments["--writes"].asLong());
    settings.readsPerSecond = static_cast<double>(arguments["--reads"].asLong());
    standin::Platform platform(loop, settings, static_cast<std::uint64_t>(arguments["--seed"].asLong()));
    if (const auto opened = platform.open(); !opened) {
        PlatformLog.error("{}", currantstack::describe(opened.error()));
        return 1;
    }
    loop.onSignal(SIGTERM, [&loop]() { loop.stop(); });
    loop.onSignal(SIGINT, [&loop]() { loop.stop(); });
    loop.run();
    return 0;
}
