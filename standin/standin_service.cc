// standin-service: hosts booking services in one process.
#include "service.h"

#include "currantstack/log.h"

#include <docopt/docopt.h>
#include <yaml-cpp/yaml.h>

namespace
{

constexpr auto Usage = R"(standin-service: a stand-in for a plain booking service.

Usage:
  standin-service --settings FILE
  standin-service --help

Options:
  --settings FILE  YAML: "work_ms" and a list "services", each with name and port.
)";

auto run(const std::string &file) -> int
{
    constexpr currantstack::Log ServiceLog("service");
    const auto document = YAML::LoadFile(file);
    currantstack::Loop loop;
    standin::BookingService service(loop, document["work_ms"].as<double>(10));
    for (const auto &node : document["services"]) {
        const auto opened =
            service.open(node["name"].as<std::string>(), node["address"].as<std::string>("127.0.0.1"), node["port"].as<std::uint16_t>());
        if (!opened) {
            ServiceLog.error("{}", describe(opened.error()));
            return 1;
        }
    }
    loop.onSignal(SIGTERM, [&loop]() { loop.stop(); });
    loop.onSignal(SIGINT, [&loop]() { loop.stop(); });
    loop.run();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    try {
        return run(arguments["--settings"].asString());
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-service: {}\n", error.what());
        return 2;
    }
}
