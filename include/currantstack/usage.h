// What each member used, at this VM and over all.
#pragma once

#include "currantstack/config.h"
#include "currantstack/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// Sums since the start of the process, and what is under way.
struct MemberUsage
{
    std::int64_t requests = 0;
    std::int64_t refused = 0;
    std::int64_t inFlight = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t slotMilliseconds = 0; // of decode slots
};

/// The usage of all members at one VM.
class UsageBook
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

/// Returns whether the member has less under way at this VM than its share among the members that are active there. The balancer
/// spreads callers evenly, so one VM's requests are a sample of all.
auto isUnderShare(const UsageBook &usage, const Config &config, std::string_view member) -> bool;

/// Adds the usages that several VMs reported, by member.
auto sumUsage(const std::vector<Json> &reports) -> Json;

} // namespace currantstack
