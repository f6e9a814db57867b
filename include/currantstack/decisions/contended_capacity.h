// Divides the last capacity of engines among the VMs that wait for it.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace currantstack
{

/// Returns whether this VM may try to place a waiting stream at an engine that is known to have capacity for `freeStreams`. All VMs that
/// wait learn of capacity at about the same time, so that the engine would refuse most of them. It is left to as many of them as it has
/// capacity for, those with the highest rendezvous hash, which all VMs compute alike from the reports that they have of each other.
///
/// Load: a peak that fills the engines of a place, so that most of its VMs have streams that wait.
auto mayTakeCapacity(std::string_view engine, double freeStreams, std::string_view self, std::span<const std::string_view> waitingVms)
    -> bool;

/// Remembers the places whose engines have refused a reservation, until newer aggregates of them have arrived. The capacity that an
/// aggregate shows has been taken by VMs of that place, which know of it sooner.
///
/// Load: a peak that fills the engines of all places within the age of an aggregate.
class RemoteRefusals
{
public:
    static constexpr Duration Lifetime = milliseconds(300); // between two aggregates of a place

    auto onRefused(std::string_view place, TimePoint now) -> void;

    auto mayTry(std::string_view place, TimePoint now) const -> bool;

private:
    std::map<std::string, TimePoint, std::less<>> m_refusedAt; // by place
};

} // namespace currantstack
