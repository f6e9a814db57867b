// standin-engine: hosts any number of stand-in engines in one process.
#include "engine.h"

#include "currantstack/log.h"

#include <docopt/docopt.h>
#include <yaml-cpp/yaml.h>

namespace
{

using namespace standin;

constexpr auto Usage = R"(standin-engine: stand-ins for model engines.

Usage:
  standin-engine --settings FILE [--seed N]
  standin-engine --help

Options:
  --settings FILE  YAML: "defaults" and a list "engines", each with name, port, role and model.
  --seed N         Seed of the random generators [default: 1].
)";

template<typename T>
auto readIfPresent(const YAML::Node &node, const char *key, T &value) -> void
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

auto readSettings(const YAML::Node &node, EngineSettings settings) -> EngineSettings
{
    readIfPresent(node, "name", settings.name);
    readIfPresent(node, "address", settings.address);
    readIfPresent(node, "port", settings.port);
    readIfPresent(node, "role", settings.role);
    readIfPresent(node, "model", settings.model);
    readIfPresent(node, "slots", settings.slots);
    readIfPresent(node, "prefill_overhead_ms", settings.prefillOverheadMs);
    readIfPresent(node, "prefill_us_per_token", settings.prefillMicrosPerToken);
    readIfPresent(node, "step_base_ms", settings.stepBaseMs);
    readIfPresent(node, "step_per_request_ms", settings.stepPerRequestMs);
    readIfPresent(node, "link_bytes_per_second", settings.linkBytesPerSecond);
    readIfPresent(node, "kv_bytes_per_token", settings.kvBytesPerToken);
    readIfPresent(node, "kv_expiry_ms", settings.kvExpiryMs);
    readIfPresent(node, "report_lag_ms", settings.reportLagMs);
    readIfPresent(node, "event_lag_ms", settings.eventLagMs);
    readIfPresent(node, "event_loss_share", settings.eventLossShare);
    readIfPresent(node, "linger_ms", settings.lingerMs);
    readIfPresent(node, "restart_ms", settings.restartMs);
    readIfPresent(node, "cache_blocks", settings.cacheBlocks);
    readIfPresent(node, "checks_fencing", settings.checksFencing);
    readIfPresent(node, "sender_token", settings.senderToken);
    return settings;
}

auto run(const std::string &file, std::uint64_t seed) -> int
{
    constexpr Log EngineLog("engine");
    const auto document = YAML::LoadFile(file);
    const auto defaults = readSettings(document["defaults"] ? document["defaults"] : YAML::Node(YAML::NodeType::Map), {});
    Loop loop;
    HttpClient client(loop);
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto &node : document["engines"]) {
        engines.push_back(std::make_unique<Engine>(loop, client, readSettings(node, defaults), seed + engines.size()));
        if (const auto opened = engines.back()->open(); !opened) {
            EngineLog.error("{}", currantstack::describe(opened.error()));
            return 1;
        }
    }
    EngineLog.info("{} engines are listening", engines.size());
    loop.onSignal(SIGTERM, [&loop]() { loop.stop(); });
    loop.onSignal(SIGINT, [&loop]() { loop.stop(); });
    loop.run();
    engines.clear();
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    try {
        return run(arguments["--settings"].asString(), static_cast<std::uint64_t>(arguments["--seed"].asLong()));
    } catch (const std::exception &error) {
        fmt::print(stderr, "standin-engine: {}\n", error.what());
        return 2;
    }
}
