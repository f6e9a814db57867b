// Chooses the VM that forwards a request for a VM that cannot reach the service's upstreams.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/placement.h"
#include "currantstack/socket_address.h"

#include <cstdint>
#include <span>
#include <string>

namespace currantstack
{

/// Another VM that may forward a request.
struct RelayCandidate
{
    std::string vm;
    SocketAddress address;
    Distance distance = Distance::OtherRegion;
    bool reports = false; // this VM has heard from it lately
    int inFlight = 0; // requests that this VM has there
    bool takesRelays = true; // as the VM has reported; otherwise it is of a build that does not report it
    std::int64_t protocol = 0; // number that the VM has reported
};

/// Returns the VM that takes the request with the least delay: VMs that have reported that they take requests before those whose build
/// does not say so, VMs that report before those that do not, near ones before distant ones until they have more to do. Returns null if
/// no VM is left that was not tried.
auto chooseRelay(std::span<const RelayCandidate> candidates, std::span<const std::string> tried, Random &random) -> const RelayCandidate *;

} // namespace currantstack
