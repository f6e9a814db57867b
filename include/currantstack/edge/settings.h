// Settings of one edge VM, independent of their source.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/decisions/fleet_retry_budget.h"
#include "currantstack/decisions/tenant_directory.h"
#include "currantstack/socket_address.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantstack
{

/// How a VM that cannot confirm its configuration treats keys, which may have been revoked meanwhile.
struct RevocationBound
{
    bool isStrict = false; // refuses requests that need a key
    Duration limit = seconds(5); // without a confirmation of the configuration; only if strict
};

struct EdgeSettings
{
    std::string vm;
    std::string place;
    std::string region;
    PlaceMap places;
    SocketAddress callerAddress; // listens for callers' requests
    SocketAddress readinessAddress; // listens for the balancer's readiness checks
    SocketAddress peerAddress; // bound for datagrams of other VMs
    SocketAddress storeAddress; // of the platform's key-value store
    Duration storeHistory = Duration::zero(); // for which the store keeps changes for watches, at most; zero: not named
    SocketAddress metricsAddress; // listens for metrics collectors
    Duration drainLimit = seconds(8); // from SIGTERM to SIGKILL
    RetryBound retryBound;
    QuotaTolerance quotaTolerance;
    RevocationBound revocation;
    Duration orderLease = seconds(3); // wait of a new order holder, while orders of the previous one may still arrive
    std::uint64_t maxDescriptors = 0; // that the platform allows the process; 0: not named
    std::size_t memory = 0; // bytes that the process may use
    bool bootstrap = false; // first start of the whole system; only logged
};

} // namespace currantstack
