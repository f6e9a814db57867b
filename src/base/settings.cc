#include "currantstack/settings.h"

#include "currantstack/decisions/memory_budget.h"

#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace currantstack
{

namespace
{

/// Reads the fields of a YAML mapping and collects error messages, so that all invalid settings are reported at once.
class SettingsReader
{
public:
    explicit SettingsReader(const YAML::Node &root)
        : m_root(root)
    { }

    template<typename T>
    auto read(const std::string &key, T &value, bool required = false) -> void
    {
        m_knownKeys.insert(key);
        const auto node = m_root[key];
        if (!node) {
            if (required) {
                addError(key, "is missing");
            }
            return;
        }
        try {
            value = node.as<T>();
        } catch (const YAML::Exception &) {
            addError(key, "has the wrong type");
        }
    }

    auto readMilliseconds(const std::string &key, Duration &value) -> void
    {
        std::int64_t count = std::chrono::duration_cast<milliseconds>(value).count();
        read(key, count);
        if (count <= 0) {
            addError(key, "must be above 0");
        }
        value = milliseconds(count);
    }

    auto readPeers(std::vector<PeerAddress> &peers) -> void
    {
        m_knownKeys.insert("peers");
        for (const auto &node : m_root["peers"]) {
            if (!node.IsMap() || !node["name"] || !node["address"]) {
                addError("peers", "must be a list of objects with name and address");
                continue;
            }
            peers.push_back({node["name"].as<std::string>(), node["address"].as<std::string>()});
        }
    }

    auto addError(std::string_view key, std::string_view message) -> void
    {
        fmt::format_to(std::back_inserter(m_errors), "{}{} {}", m_errors.empty() ? "" : "; ", key, message);
    }

    /// Adds an error for each unknown setting and returns all errors, separated by semicolons.
    auto finish() -> std::string
    {
        for (const auto &entry : m_root) {
            const auto key = entry.first.as<std::string>();
            if (!m_knownKeys.contains(key)) {
                addError(key, "is not a known setting");
            }
        }
        return m_errors;
    }

private:
    YAML::Node m_root;
    std::set<std::string> m_knownKeys;
    std::string m_errors;
};

auto readMemory(SettingsReader &reader, Settings &settings) -> void
{
    constexpr std::size_t Megabyte = 1'000'000;
    auto megabytes = settings.memory / Megabyte;
    reader.read("memory_mb", megabytes);
    settings.memory = megabytes * Megabyte;
    if (settings.memory < MemoryBudget::MinMemory || settings.memory > MemoryBudget::MaxMemory) {
        reader.addError("memory_mb", "must be from 42 to 1099511");
    }
}

auto readSettings(SettingsReader &reader, Settings &settings) -> void
{
    reader.read("name", settings.name, true);
    reader.read("caller_address", settings.callerAddress, true);
    reader.read("peer_address", settings.peerAddress, true);
    reader.read("peer_listen_address", settings.peerListenAddress);
    reader.read("place", settings.place, true);
    reader.read("region", settings.region, true);
    reader.read("store_addresses", settings.storeAddresses, true);
    reader.read("platform_address", settings.platformAddress);
    reader.readPeers(settings.peers);
    reader.read("peer_secret", settings.peerSecret, true);
    reader.read("bootstrap_token_hash", settings.bootstrapTokenHash);
    reader.read("engine_sender_token", settings.engineSenderToken);
    reader.read("max_body_bytes", settings.maxBody);
    reader.read("max_head_bytes", settings.maxHead);
    reader.read("idle_timeout_s", settings.idleTimeout);
    readMemory(reader, settings);
    reader.read("timeline_events", settings.timelineEvents);
    reader.readMilliseconds("announce_period_ms", settings.announcePeriod);
    reader.readMilliseconds("suspect_after_ms", settings.suspectAfter);
    reader.readMilliseconds("dead_after_ms", settings.deadAfter);
    std::string level = "info";
    reader.read("log_level", level);
    settings.logLevel = logLevel(level);
    std::string policy = "ledger";
    reader.read("policy", policy);
    if (const auto kind = policyKind(policy)) {
        settings.policy = *kind;
    } else {
        reader.addError("policy", kind.error().message);
    }
}

} // namespace

auto policyKind(std::string_view name) -> Result<PolicyKind>
{
    if (name == "ledger") {
        return PolicyKind::Ledger;
    }
    if (name == "random") {
        return PolicyKind::Random;
    }
    if (name == "round-robin") {
        return PolicyKind::RoundRobin;
    }
    if (name == "least-load") {
        return PolicyKind::LeastLoad;
    }
    if (name == "two-choices") {
        return PolicyKind::TwoChoices;
    }
    return fail(ErrorCode::BadInput, "settings", "", "must be ledger, random, round-robin, least-load or two-choices");
}

auto parseSettings(std::string_view yaml) -> Result<Settings>
{
    Settings settings;
    std::string errors;
    try {
        const auto root = YAML::Load(std::string(yaml));
        if (!root.IsMap()) {
            return fail(ErrorCode::BadInput, "settings", "", "the file must hold a mapping");
        }
        SettingsReader reader(root);
        readSettings(reader, settings);
        if (settings.peerListenAddress.empty()) {
            settings.peerListenAddress = settings.peerAddress;
        }
        if (settings.peerSecret.size() < 16) {
            reader.addError("peer_secret", "must have at least 16 characters");
        }
        if (settings.storeAddresses.empty()) {
            reader.addError("store_addresses", "must name at least one address");
        }
        if (settings.suspectAfter >= settings.deadAfter) {
            reader.addError("suspect_after_ms", "must be less than dead_after_ms");
        }
        errors = reader.finish();
    } catch (const YAML::Exception &exception) {
        return fail(ErrorCode::BadInput, "settings", "", exception.what());
    }
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "settings", "", errors);
    }
    return settings;
}

auto loadSettings(const std::string &file) -> Result<Settings>
{
    std::ifstream stream(file);
    if (!stream) {
        return fail(ErrorCode::NotFound, "settings", file, "the file cannot be read");
    }
    std::stringstream text;
    text << stream.rdbuf();
    return parseSettings(text.str());
}

} // namespace currantstack
