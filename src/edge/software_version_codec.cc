#include "currantstack/edge/software_version_codec.h"

#include "currantstack/json.h"

#include <algorithm>

namespace currantstack
{

namespace
{

auto isVersionRow(const nlohmann::json &row) -> bool
{
    return isRow(row, 4) && row[0].is_string() && row[1].is_string() && isDuration(row[2]) && isDuration(row[3]);
}

} // namespace

auto isDuration(const nlohmann::json &value) -> bool
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 0;
}

auto encodeDuration(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

auto decodeDuration(const nlohmann::json &value) -> Duration
{
    return milliseconds(std::min<std::int64_t>(value.get<std::int64_t>(), encodeDuration(SoftwareVersions::Lifetime)));
}

auto encodeVersions(std::span<const SoftwareVersionNotice> notices) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &notice : notices) {
        rows.push_back({notice.service, notice.version, encodeDuration(notice.age), encodeDuration(notice.knownFor)});
        if (notice.isRecorded && notice.age >= SoftwareVersions::Lifetime / 2) {
            rows.back().push_back(true);
        }
    }
    return rows;
}

auto decodeVersions(const nlohmann::json &rows) -> std::optional<std::vector<SoftwareVersionNotice>>
{
    if (!rows.is_array() || !std::all_of(rows.begin(), rows.end(), isVersionRow)) {
        return std::nullopt;
    }
    std::vector<SoftwareVersionNotice> result;
    for (const auto &row : rows) {
        const bool isRecorded = row.size() > 4 && row[4] == true;
        result.push_back(
            {row[0].get<std::string>(), row[1].get<std::string>(), decodeDuration(row[2]), decodeDuration(row[3]), isRecorded});
    }
    return result;
}

} // namespace currantstack
