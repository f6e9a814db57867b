#include "currantstack/edge/origin_message.h"

#include "currantstack/edge/software_version_codec.h"
#include "currantstack/json.h"

#include <algorithm>
#include <limits>

namespace currantstack
{

namespace
{

constexpr std::string_view AgeField = "age"; // of what the sender knows, in ms
constexpr std::string_view QuestionField = "question"; // number of a question
constexpr std::string_view RecordField = "record"; // number of the question that is answered by what the store's record named
constexpr std::string_view AllVersionsField = "all"; // whether the sender asks for the versions of all services

auto isStreams(const nlohmann::json &value) -> bool
{
    return value.is_array() && std::all_of(value.begin(), value.end(), [](const auto &stream) { return stream.is_number_unsigned(); });
}

auto isNumber(const nlohmann::json &value) -> bool
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

auto isVersion(const nlohmann::json &value) -> bool
{
    return isNumber(value);
}

auto encodeReport(const std::optional<VersionReport> &report) -> nlohmann::json
{
    return report ? nlohmann::json::array({report->isComplete, encodeVersions(report->versions)}) : nlohmann::json();
}

/// Returns false if the report is malformed.
auto decodeReport(const nlohmann::json &value, std::optional<VersionReport> &report) -> bool
{
    if (value.is_null()) {
        return true;
    }
    if (!value.is_array() || value.size() < 2 || !value[0].is_boolean()) {
        return false;
    }
    auto versions = decodeVersions(value[1]);
    if (!versions) {
        return false;
    }
    report = VersionReport{value[0].get<bool>(), std::move(*versions)};
    return true;
}

} // namespace

auto encodeOrigins(const OriginMessage &message) -> std::string
{
    // An array [report, asked, version, streams, version, streams, ...] keeps the datagram of a single stream at about 20 bytes. A name
    // may follow instead of a version, and a value.
    auto document = nlohmann::json::array({encodeReport(message.report), message.asked});
    for (const auto &row : message.told) {
        document.push_back(row.version);
        document.push_back(row.streams);
    }
    if (message.report && message.report->age > Duration::zero()) {
        document.push_back(AgeField);
        document.push_back(encodeDuration(message.report->age));
    }
    if (message.report && message.report->question) {
        document.push_back(RecordField);
        document.push_back(*message.report->question);
    }
    if (message.question) {
        document.push_back(QuestionField);
        document.push_back(*message.question);
    }
    if (message.asksForAllVersions) {
        document.push_back(AllVersionsField);
        document.push_back(true);
    }
    std::string bytes(OriginMagic);
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

auto decodeOrigins(std::string_view bytes) -> Result<OriginMessage>
{
    bytes.remove_prefix(std::min(bytes.size(), OriginMagic.size()));
    const auto parsed = parseMsgpack(bytes, "decode origins");
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const auto &document = *parsed;
    const auto malformed = fail(ErrorCode::BadInput, "decode origins", "", "the message is malformed");
    OriginMessage message;
    if (!document.is_array() || document.size() % 2 != 0 || document.empty() || !decodeReport(document[0], message.report)
        || !isStreams(document[1])) {
        return malformed;
    }
    message.asked = document[1].get<std::vector<Fingerprint>>();
    for (std::size_t index = 2; index < document.size(); index += 2) {
        if (document[index].is_string()) { // a field that this build may not know
            if (document[index] == AgeField && message.report && isDuration(document[index + 1])) {
                message.report->age = decodeDuration(document[index + 1]);
            }
            if (document[index] == RecordField && message.report && isNumber(document[index + 1])) {
                message.report->question = document[index + 1].get<std::uint32_t>();
            }
            if (document[index] == QuestionField && isNumber(document[index + 1])) {
                message.question = document[index + 1].get<std::uint32_t>();
            }
            message.asksForAllVersions = message.asksForAllVersions || (document[index] == AllVersionsField && document[index + 1] == true);
            continue;
        }
        if (!isVersion(document[index]) || !isStreams(document[index + 1])) {
            return malformed;
        }
        message.told.push_back({document[index].get<SoftwareVersionKey>(), document[index + 1].get<std::vector<Fingerprint>>()});
    }
    return message;
}

} // namespace currantstack
