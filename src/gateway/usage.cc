#include "currantstack/usage.h"

namespace currantstack
{

auto UsageBook::forMember(std::string_view member) -> MemberUsage &
{
    const auto found = m_members.find(member);
    return found != m_members.end() ? found->second : m_members[std::string(member)];
}

auto UsageBook::toJson() const -> Json
{
    auto document = Json::object();
    for (const auto &[name, usage] : m_members) {
        document[name] = {{"requests", usage.requests},          {"refused", usage.refused},
                          {"in_flight", usage.inFlight},         {"prompt_tokens", usage.promptTokens},
                          {"output_tokens", usage.outputTokens}, {"slot_ms", usage.slotMilliseconds}};
    }
    return document;
}

auto isUnderShare(const UsageBook &usage, const Config &config, std::string_view member) -> bool
{
    double ownShare = 0;
    double ownLoad = 0;
    double shares = 0;
    double load = 0;
    for (const auto &[name, entry] : usage.all()) {
        const auto *info = config.findMember(name);
        if (info == nullptr || (entry.inFlight <= 0 && name != member)) {
            continue;
        }
        shares += info->share;
        load += static_cast<double>(entry.inFlight);
        if (name == member) {
            ownShare = info->share;
            ownLoad = static_cast<double>(entry.inFlight);
        }
    }
    return ownLoad * shares < ownShare * load;
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
