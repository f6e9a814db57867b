#include "currantstack/usage.h"

namespace currantstack
{

auto MemberUsageTable::forMember(std::string_view member) -> MemberUsage &
{
    const auto found = m_members.find(member);
    return found != m_members.end() ? found->second : m_members[std::string(member)];
}

auto MemberUsageTable::toJson() const -> Json
{
    auto document = Json::object();
    for (const auto &[name, usage] : m_members) {
        document[name] = {{"requests", usage.requests},          {"refused", usage.refused},
                          {"in_flight", usage.inFlight},         {"prompt_tokens", usage.promptTokens},
                          {"output_tokens", usage.outputTokens}, {"slot_ms", usage.slotMilliseconds}};
    }
    return document;
}

auto isBelowFairShare(const MemberUsageTable &usage, const Config &config, std::string_view member) -> bool
{
    double memberShare = 0;
    double memberLoad = 0;
    double totalShare = 0;
    double totalLoad = 0;
    for (const auto &[name, entry] : usage.all()) {
        const auto *info = config.findMember(name);
        if (info == nullptr || (entry.inFlight <= 0 && name != member)) {
            continue;
        }
        totalShare += info->share;
        totalLoad += static_cast<double>(entry.inFlight);
        if (name == member) {
            memberShare = info->share;
            memberLoad = static_cast<double>(entry.inFlight);
        }
    }
    return memberLoad * totalShare < memberShare * totalLoad;
}

auto sumUsage(const std::vector<Json> &reports) -> Json
{
    auto total = Json::object();
    for (const auto &report : reports) {
        if (!report.is_object()) {
            continue;
        }
        for (const auto &[member, usage] : report.items()) {
            if (!usage.is_object()) {
                continue;
            }
            auto &sum = total[member];
            if (sum.is_null()) {
                sum = Json::object();
            }
            for (const auto &[key, value] : usage.items()) {
                if (value.is_number_integer()) {
                    sum[key] = sum.value(key, std::int64_t{0}) + value.get<std::int64_t>();
                }
            }
        }
    }
    return total;
}

} // namespace currantstack
