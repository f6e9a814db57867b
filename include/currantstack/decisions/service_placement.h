// Which upstream of a plain service gets a request.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/placement.h"

#include <span>

namespace currantstack
{

struct ServiceView
{
    const Upstream *upstream = nullptr;
    InFlightWork work; // of all VMs
    double health = 1; // 0 to 1
    Distance distance = Distance::SamePlace; // from this VM
};

/// Returns the upstream with the shortest expected wait, or null of an empty list. `workTime` is how long one request takes there.
/// Prefers the own place until waiting there costs more than the way to another.
auto chooseUpstream(std::span<const ServiceView> views, Duration workTime, std::string_view avoid, Random &random) -> const Upstream *;

} // namespace currantstack
