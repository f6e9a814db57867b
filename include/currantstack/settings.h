// Settings of a VM, read from a YAML file.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/error.h"
#include "currantstack/log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// How engines are selected. `Ledger` uses the slot ledgers of the engines' owners; the other policies are baselines for benchmarks.
enum class PolicyKind
{
    Ledger,
    Random,
    RoundRobin,
    LeastLoad,
    TwoChoices,
};

auto policyKind(std::string_view name) -> Result<PolicyKind>;

struct PeerAddress
{
    std::string name;
    std::string address; // "IP:port"
};

struct Settings
{
    std::string name; // of this VM, unique in the deployment
    std::string callerAddress; // "IP:port" to listen on for callers
    std::string peerAddress; // "IP:port" at which other VMs and operators reach this VM
    std::string peerListenAddress; // "IP:port" to listen on for other VMs and operators; `peerAddress` if empty
    std::string place; // zone or data centre, within the region
    std::string region;
    std::vector<std::string> storeAddresses; // "IP:port" of each node of the key-value store
    std::string platformAddress; // "IP:port" of the service that lists VMs and stores model weights
    std::vector<PeerAddress> peers; // seed peers; the platform's list of VMs adds more
    std::string peerSecret; // shared by all VMs, to authenticate their messages; at least 16 characters
    std::string bootstrapTokenHash; // hash of the token that may submit the first configuration
    std::string engineSenderToken; // sent with orders to engines that authenticate the sender
    PolicyKind policy = PolicyKind::Ledger;
    std::size_t maxBody = 8U << 20; // bytes
    std::size_t maxHead = 64U << 10; // bytes
    unsigned idleTimeout = 60; // seconds
    std::size_t memory = 1'000'000'000; // bytes that the process may use
    std::size_t timelineEvents = 20000; // capacity of the timeline
    LogLevel logLevel = LogLevel::Info;
    Duration announcePeriod = milliseconds(400); // of the announcements to other VMs
    Duration suspectAfter = milliseconds(1500); // without a heartbeat
    Duration deadAfter = milliseconds(3000); // without a heartbeat
};

/// Returns the settings, or one error that lists all invalid settings.
auto parseSettings(std::string_view yaml) -> Result<Settings>;
auto loadSettings(const std::string &file) -> Result<Settings>;

} // namespace currantstack
