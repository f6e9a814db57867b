// What one VM of the edge knows at its start, wherever its settings come from.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/decisions/fleet_retry_budget.h"
#include "currantstack/socket_address.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantstack
{

struct EdgeSettings
{
    std::string vm;
    std::string place;
    std::string region;
    PlaceMap places;
    SocketAddress callers; // where requests arrive
    SocketAddress readiness; // where the balancer asks whether this VM takes requests
    SocketAddress peers; // datagrams between VMs
    SocketAddress store;
    SocketAddress metrics; // where collectors read counters and latencies
    Duration drainLimit = seconds(8); // from SIGTERM to SIGKILL
    RetryBound retryBound;
    Duration orderLease = seconds(3); // holders of orders take turns no faster
    bool bootstrap = false; // the whole system starts for the first time
};

} // namespace currantstack
