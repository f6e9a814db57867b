// standin-engine: one process that hosts any number of stand-in engines.
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
  --seed N         Seed of the injected randomness [default: 1].
)";

template<typename T>
auto set(const YAML::Node &node, const char *key, T &value) -> void
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

auto read(const YAML::Node &node, EngineSettings settings) -> EngineSettings
{
    set(node, "name", settings.name);
    set(node, "address", settings.address);
    set(node, "port", settings.port);
    set(node, "role", settings.role);
    set(node, "model", settings.model);
    set(node, "slots", settings.slots);
    set(node, "prefill_overhead_ms", settings.prefillOverheadMs);
    set(node, "prefill_us_per_token", settings.prefillMicrosPerToken);
    set(node, "step_base_ms", settings.stepBaseMs);
    set(node, "step_per_request_ms", settings.stepPerRequestMs);
    set(node, "link_bytes_per_second", settings.linkBytesPerSecond);
    set(node, "kv_bytes_per_token", settings.kvBytesPerToken);
    set(node, "kv_expiry_ms", settings.kvExpiryMs);
    set(node, "report_lag_ms", settings.reportLagMs);
    set(node, "event_lag_ms", settings.eventLagMs);
    set(node, "event_loss_share", settings.eventLossShare);
    set(node, "linger_ms", settings.lingerMs);
    set(node, "restart_ms", settings.restartMs);
    set(node, "cache_blocks", settings.cacheBlocks);
    set(node, "checks_fencing", settings.checksFencing);
    set(node, "sender_token", settings.senderToken);
    return settings;
}

auto run(const std::string &file, std::uint64_t seed) -> int
{
    constexpr Log EngineLog("engine");
    const auto document = YAML::LoadFile(file);
    const auto defaults = read(document["defaults"] ? document["defaults"] : YAML::Node(YAML::NodeType::Map), {});
    Loop loop;
    HttpClient client(loop);
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto &node : document["engines"]) {
        engines.push_back(std::make_unique<Engine>(loop, client, read(node, defaults), seed + engines.size()));
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
    } catch (const std::exception &problem) {
        fmt::print(stderr, "standin-engine: {}\n", problem.what());
        return 2;
    }
}
