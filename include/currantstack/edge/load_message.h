// The message that VMs exchange in datagrams: loads, costs, exclusions and rate limits of upstreams, and the use of tenants' quotas.
#pragma once

#include "currantstack/decisions/cost_table.h"
#include "currantstack/decisions/exclusion_list.h"
#include "currantstack/decisions/fleet_rate_limiter.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/peer_protocol.h"
#include "currantstack/decisions/software_versions.h"
#include "currantstack/decisions/tenant_quotas.h"
#include "currantstack/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Store revisions of the last changes that a VM has observed, and the version of its configuration.
struct StoreRevisions
{
    std::int64_t routes = 0;
    std::int64_t upstreams = 0;
    std::int64_t routesVersion = 0; // in force; 0: none
};

/// The load at upstreams of one VM, or the aggregate of a place.
struct LoadMessage
{
    std::string source; // VM, or place of an aggregate; each further part of a long message has its own source
    std::string vm; // sender
    std::string place; // of the sender
    std::uint64_t sequence = 0;
    bool isAggregate = false; // the loads are the sum over all VMs of the place
    bool relayInPlace = false; // the receiver forwards the message to the VMs of its place
    StoreRevisions revisions; // observed by the sender
    std::vector<ServiceCost> costs; // measured by the source
    std::vector<ExclusionNotice> exclusions;
    std::vector<UpstreamLoad> loads;
    std::vector<RateLimitReport> limits;
    std::vector<SoftwareVersionNotice> versions; // of the services that have several
    std::vector<std::string> cutOff; // services whose upstreams the sender, or most VMs of its place, cannot reach
    std::optional<PeerProtocol> protocol = {}; // of the sender; not in each message
    std::vector<QuotaReport> quotas = {}; // of the tenants whose use has changed
    int unknownRows = 0; // left out of a received message, because only later builds know their kind
};

auto encodeLoad(const LoadMessage &message) -> std::string;

/// Ignores fields and columns that this build does not know. Only the names and the sequence number are required.
auto decodeLoad(std::string_view bytes) -> Result<LoadMessage>;

/// Returns a received message as the receiver forwards it within its place, including what this build does not know of it.
auto encodeForPlace(std::string_view bytes) -> std::string;

} // namespace currantstack
