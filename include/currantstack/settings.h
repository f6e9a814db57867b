// Settings of one process, from a YAML file.
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

/// How engines are chosen; all but `Ledger` are baselines for measurements.
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
    std::string name; // of this VM
    std::string callerAddress; // "IP:port" for callers
    std::string peerAddress; // "IP:port" at which the other VMs and operators reach this one
    std::string peerListenAddress; // "IP:port" to listen on for them; `peerAddress` where empty
    std::string place; // data centre
    std::string region;
    std::vector<std::string> storeAddresses; // of the key-value service
    std::string platformAddress; // of the list of VMs and the weight store
    std::vector<PeerAddress> peers; // first contacts; more are learned from the platform's list
    std::string peerSecret; // at least 16 characters
    std::string bootstrapTokenHash; // may submit the first configuration
    std::string engineSenderToken; // for engines that check who gives orders
    PolicyKind policy = PolicyKind::Ledger;
    std::size_t maxBody = 8U << 20;
    std::size_t maxHead = 64U << 10;
    unsigned idleTimeout = 60; // seconds
    std::size_t timelineEvents = 20000;
    LogLevel logLevel = LogLevel::Info;
    Duration announcePeriod = milliseconds(400);
    Duration suspectAfter = milliseconds(1500);
    Duration deadAfter = milliseconds(3000);
};

/// Returns the settings, or an error that names every wrong argument.
auto parseSettings(std::string_view yaml) -> Result<Settings>;
auto loadSettings(const std::string &file) -> Result<Settings>;

} // namespace currantstack
