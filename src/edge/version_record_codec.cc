#include "currantstack/edge/version_record_codec.h"

#include "currantstack/json.h"

#include <algorithm>

namespace currantstack
{

auto encodeVersionRecord(const VersionRecord &record) -> std::string
{
    auto versions = Json::array();
    for (const auto &version : record.versions) {
        versions.push_back({{"version", version.version}, {"settled", version.isSettled}});
    }
    return dumpJson({{"service", record.service}, {"versions", std::move(versions)}});
}

auto decodeVersionRecord(std::string_view document) -> Result<VersionRecord>
{
    const auto json = parseJson(document, "decode version record");
    if (!json) {
        return tl::unexpected(json.error());
    }
    ValidationErrors errors;
    ObjectReader reader(*json, "", errors);
    VersionRecord record{reader.text("service"), {}};
    for (auto &version : reader.objects("versions")) {
        record.versions.push_back({version.text("version"), version.boolean("settled")});
    }
    if (!json->is_object() || !json->contains("versions")) {
        reader.addError("versions", "is missing");
    }
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "decode version record", "", describe(errors));
    }
    std::sort(record.versions.begin(), record.versions.end(),
              [](const auto &left, const auto &right) { return left.version < right.version; });
    return record;
}

} // namespace currantstack
