// Resource usage by member, at one VM and summed over VMs.
#pragma once

#include "currantstack/config.h"
#include "currantstack/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// Totals since the process started, and the requests now in flight.
struct MemberUsage
{
    std::int64_t requests = 0;
    std::int64_t refused = 0;
    std::int64_t inFlight = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t slotMilliseconds = 0; // decode slot time
};

/// Holds the usage of every member at one VM.
class MemberUsageTable
{
public:
    auto forMember(std::string_view member) -> MemberUsage &;
    auto all() const -> const std::map<std::string, MemberUsage, std::less<>> &
    {
        return m_members;
    }

    auto toJson() const -> Json;

private:
    std::map<std::string, MemberUsage, std::less<>> m_members;
};

/// Returns whether the member has fewer requests in flight at this VM than its share entitles it to among the members active there.
/// The load balancer spreads callers evenly, so the requests of one VM are a representative sample.
auto isBelowFairShare(const MemberUsageTable &usage, const Config &config, std::string_view member) -> bool;

/// Adds up, by member, the usage that several VMs reported.
auto sumUsage(const std::vector<Json> &reports) -> Json;

} // namespace currantstack
