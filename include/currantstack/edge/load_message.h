// What VMs tell one another in datagrams.
#pragma once

#include "currantstack/decisions/avoid_list.h"
#include "currantstack/decisions/cost_table.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The last changes of the store's records that a VM knows.
struct StoreRevisions
{
    std::int64_t routes = 0;
    std::int64_t upstreams = 0;
};

/// Work at upstreams: one VM's own, or the sum of a place.
struct LoadMessage
{
    std::string source; // the VM, or the place whose sum it is; parts of a long message have sources of their own
    std::string vm; // that sent it
    std::string place; // of that VM
    std::uint64_t sequence = 0;
    bool isAggregate = false; // of all VMs of the place
    bool relayInPlace = false; // the receiver hands it on to the VMs of its place
    StoreRevisions revisions; // to the sender
    std::vector<ServiceCost> costs; // as the source has seen them
    std::vector<AvoidNotice> exclusions;
    std::vector<UpstreamWork> loads;
};

auto encodeLoad(const LoadMessage &message) -> std::string;
auto decodeLoad(std::string_view bytes) -> Result<LoadMessage>;

} // namespace currantstack
