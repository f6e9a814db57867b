// Chooses the upstream of a plain service for a request.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/placement.h"

#include <span>

namespace currantstack
{

/// One upstream as a candidate.
struct ServiceView
{
    const Upstream *upstream = nullptr;
    InFlightWork work; // of all VMs
    double health = 1; // 0 to 1
    Distance distance = Distance::SamePlace; // from this VM
    double headroom = 1; // 0 to 1: what is left of the upstream's own rate limit
};

/// Returns the upstream with the shortest expected response time, or null if there is none besides `excluded`, an upstream id.
/// `serviceTime` is how long an upstream works on one request. Upstreams of this VM's place are preferred until queueing there takes
/// longer than the round trips to another place.
auto chooseUpstream(std::span<const ServiceView> views, Duration serviceTime, std::string_view excluded, Random &random)
    -> const Upstream *;

} // namespace currantstack
