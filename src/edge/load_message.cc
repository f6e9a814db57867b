#include "currantstack/edge/load_message.h"

#include "currantstack/edge/peer_protocol_codec.h"
#include "currantstack/edge/software_version_codec.h"
#include "currantstack/json.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace currantstack
{

namespace
{

// On the wire, the reason of an exclusion is one of these strings, or the new role of an engine that changes its role.
constexpr std::string_view Draining = "leaving";
constexpr std::string_view Outdated = "outdated";
constexpr std::string_view Silent = "silent";

constexpr std::string_view RelayInPlace = "spread";

/// Encodes each upstream as an array without field names, to keep the message short.
auto encodeLoads(std::span<const UpstreamLoad> loads) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &[upstream, work] : loads) {
        nlohmann::json row = {upstream, static_cast<std::int64_t>(work.promptTokens), static_cast<std::int64_t>(work.kvTokens),
                              work.requests};
        if (work.urgentRequests > 0) {
            row.push_back(static_cast<std::int64_t>(work.urgentPromptTokens));
            row.push_back(work.urgentRequests);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

auto isCount(const nlohmann::json &value, std::uint64_t max) -> bool
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
}

auto decodeLoadRow(const nlohmann::json &row) -> std::optional<UpstreamLoad>
{
    constexpr std::uint64_t MaxTokens = 1'000'000'000'000; // of all requests at one upstream
    constexpr std::uint64_t MaxRequests = 1'000'000; // at one upstream
    const bool valid =
        isRow(row, 4) && row[0].is_string() && isCount(row[1], MaxTokens) && isCount(row[2], MaxTokens) && isCount(row[3], MaxRequests);
    if (!valid) {
        return std::nullopt;
    }
    InFlightWork work{row[1].get<double>(), row[2].get<double>(), row[3].get<int>()};
    if (row.size() >= 6 && isCount(row[4], MaxTokens) && isCount(row[5], MaxRequests)) {
        work.urgentPromptTokens = row[4].get<double>();
        work.urgentRequests = row[5].get<int>();
    }
    return UpstreamLoad{row[0].get<std::string>(), work};
}

auto encodeCosts(std::span<const ServiceCost> costs) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &[service, cost, streams] : costs) {
        rows.push_back({service, static_cast<float>(cost.promptTokens), static_cast<float>(cost.prefillMs),
                        static_cast<float>(cost.streamMs), static_cast<float>(cost.kvTokens), streams});
    }
    return rows;
}

auto decodeCost(const nlohmann::json &row) -> std::optional<ServiceCost>
{
    constexpr std::size_t Columns = 6;
    constexpr std::uint64_t MaxStreams = std::numeric_limits<int>::max();
    bool valid = isRow(row, Columns) && row[0].is_string() && isCount(row[Columns - 1], MaxStreams);
    for (std::size_t column = 1; valid && column + 1 < Columns; ++column) {
        valid = row[column].is_number() && row[column].get<double>() >= 0 && row[column].get<double>() < 1e9;
    }
    if (!valid) {
        return std::nullopt;
    }
    return ServiceCost{row[0].get<std::string>(),
                       {row[1].get<double>(), row[2].get<double>(), row[3].get<double>(), row[4].get<double>()},
                       row[5].get<int>()};
}

auto encodeReason(const ExclusionNotice &notice) -> std::string_view
{
    switch (notice.reason) {
    case ExclusionReason::ChangingRole:
        return name(notice.role);
    case ExclusionReason::Outdated:
        return Outdated;
    case ExclusionReason::Silent:
        return Silent;
    case ExclusionReason::Draining:
        break;
    }
    return Draining;
}

auto encodeNotices(std::span<const ExclusionNotice> notices) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &notice : notices) {
        rows.push_back({notice.upstream, encodeReason(notice), std::chrono::duration_cast<milliseconds>(notice.remaining).count()});
    }
    return rows;
}

auto isNotice(const nlohmann::json &row) -> bool
{
    return isRow(row, 3) && row[0].is_string() && row[1].is_string() && row[2].is_number_integer();
}

/// Returns nothing if this build does not know the reason.
auto decodeNotice(const nlohmann::json &row) -> std::optional<ExclusionNotice>
{
    constexpr std::int64_t MaxExclusionMs = 60'000;
    const auto remaining = std::clamp<std::int64_t>(row[2].get<std::int64_t>(), 0, MaxExclusionMs);
    const auto reasonText = row[1].get<std::string>();
    for (const auto reason : {ExclusionReason::Draining, ExclusionReason::Outdated, ExclusionReason::Silent}) {
        ExclusionNotice notice{row[0].get<std::string>(), reason, EngineRole::None, milliseconds(remaining)};
        if (reasonText == encodeReason(notice)) {
            return notice;
        }
    }
    for (const auto role : {EngineRole::Prefill, EngineRole::Decode}) {
        if (reasonText == name(role)) {
            return ExclusionNotice{row[0].get<std::string>(), ExclusionReason::ChangingRole, role, milliseconds(remaining)};
        }
    }
    return std::nullopt;
}

// On the wire, rates are integers in thousandths of a request per second, and an ended limit is a negative one.
constexpr double RateUnit = 1000;
constexpr std::int64_t EndedLimit = -1;

auto encodeLimits(std::span<const RateLimitReport> reports) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &report : reports) {
        rows.push_back({report.upstream, report.startedAtMs, report.limit ? std::llround(*report.limit * RateUnit) : EndedLimit,
                        std::chrono::duration_cast<milliseconds>(report.age).count(), report.sent, std::llround(report.demand * RateUnit)});
    }
    return rows;
}

auto decodeLimit(const nlohmann::json &row) -> std::optional<RateLimitReport>
{
    constexpr std::size_t Columns = 6;
    constexpr std::int64_t MaxAgeMs = 3'600'000;
    constexpr auto MaxRow = static_cast<std::int64_t>(FleetRateLimiter::MaxRate * RateUnit);
    bool valid = isRow(row, Columns) && row[0].is_string();
    for (std::size_t column = 1; valid && column < Columns; ++column) {
        valid = row[column].is_number_integer();
    }
    if (!valid) {
        return std::nullopt;
    }
    const auto limit = row[2].get<std::int64_t>();
    const auto age = row[3].get<std::int64_t>();
    const auto sent = row[4].get<std::int64_t>();
    const auto demand = row[5].get<std::int64_t>();
    if (limit < EndedLimit || limit > MaxRow || age < 0 || sent < 0 || demand < 0 || demand > MaxRow) {
        return std::nullopt;
    }
    RateLimitReport report{row[0].get<std::string>(),
                           row[1].get<std::int64_t>(),
                           {},
                           milliseconds(std::min(age, MaxAgeMs)),
                           static_cast<std::uint64_t>(sent),
                           static_cast<double>(demand) / RateUnit};
    if (limit != EndedLimit) {
        report.limit = static_cast<double>(limit) / RateUnit;
    }
    return report;
}

auto encodeQuotas(std::span<const QuotaReport> reports) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto &report : reports) {
        rows.push_back({report.tenant, std::llround(report.charged), std::llround(report.demand), std::llround(report.level)});
    }
    return rows;
}

auto decodeQuota(const nlohmann::json &row) -> std::optional<QuotaReport>
{
    constexpr std::size_t Columns = 4;
    constexpr double MaxUnits = 1e15;
    bool valid = isRow(row, Columns) && row[0].is_string();
    for (std::size_t column = 1; valid && column < Columns; ++column) {
        valid = row[column].is_number_integer() && std::abs(row[column].get<double>()) <= MaxUnits;
    }
    if (!valid) {
        return std::nullopt;
    }
    QuotaReport report{row[0].get<std::string>(), row[1].get<double>(), row[2].get<double>(), row[3].get<double>()};
    return report.charged < 0 || report.demand < 0 ? std::nullopt : std::optional(std::move(report));
}

/// Returns nothing if a row is no name of a service. Absent rows are none.
auto decodeServices(const nlohmann::json &rows) -> std::optional<std::vector<std::string>>
{
    constexpr std::size_t MaxServices = 256;
    std::vector<std::string> services;
    if (rows.is_null()) {
        return services;
    }
    if (!rows.is_array() || rows.size() > MaxServices) {
        return std::nullopt;
    }
    for (const auto &row : rows) {
        if (!row.is_string()) {
            return std::nullopt;
        }
        services.push_back(row.get<std::string>());
    }
    return services;
}

auto isListOrAbsent(const nlohmann::json &value) -> bool
{
    return value.is_array() || value.is_null();
}

auto malformed(std::string_view what) -> tl::unexpected<Error>
{
    return fail(ErrorCode::BadInput, "decode load", "", what);
}

} // namespace

auto encodeLoad(const LoadMessage &message) -> std::string
{
    nlohmann::json document = {{"src", message.source},
                               {"vm", message.vm},
                               {"place", message.place},
                               {"seq", message.sequence},
                               {"sum", message.isAggregate},
                               {RelayInPlace, message.relayInPlace},
                               {"routes", message.revisions.routes},
                               {"upstreams", message.revisions.upstreams},
                               {"version", message.revisions.routesVersion},
                               {"costs", encodeCosts(message.costs)},
                               {"avoid", encodeNotices(message.exclusions)},
                               {"work", encodeLoads(message.loads)},
                               {"limits", encodeLimits(message.limits)}};
    if (!message.versions.empty()) {
        document["software"] = encodeVersions(message.versions);
    }
    if (!message.cutOff.empty()) {
        document["cut"] = message.cutOff;
    }
    if (!message.quotas.empty()) {
        document["tenants"] = encodeQuotas(message.quotas);
    }
    if (message.protocol) {
        writeProtocol(document, *message.protocol);
    }
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

auto decodeLoad(std::string_view bytes) -> Result<LoadMessage>
{
    const auto document = parseMsgpack(bytes, "decode load");
    if (!document) {
        return tl::unexpected(document.error());
    }
    ValidationErrors errors;
    ObjectReader reader(*document, "", errors);
    LoadMessage message;
    message.source = reader.text("src");
    message.vm = reader.text("vm");
    message.place = reader.text("place");
    message.sequence = static_cast<std::uint64_t>(reader.integer("seq", 0, std::numeric_limits<std::int64_t>::max()));
    message.isAggregate = reader.boolean("sum", false);
    message.relayInPlace = reader.boolean(RelayInPlace, false);
    message.revisions.routes = reader.integer("routes", 0, std::numeric_limits<std::int64_t>::max(), 0);
    message.revisions.upstreams = reader.integer("upstreams", 0, std::numeric_limits<std::int64_t>::max(), 0);
    message.revisions.routesVersion = reader.integer("version", 0, std::numeric_limits<std::int64_t>::max(), 0);
    if (const auto protocol = readProtocol(reader); protocol.isReported()) {
        message.protocol = protocol;
    }
    const auto &rows = reader.raw("work");
    const auto &costs = reader.raw("costs");
    const auto &notices = reader.raw("avoid");
    const auto &limits = reader.raw("limits");
    const auto &versions = reader.raw("software"); // absent while each service has one
    const auto &quotas = reader.raw("tenants"); // absent without tenants
    auto cutOff = decodeServices(reader.raw("cut"));
    if (!cutOff) {
        return malformed("the services that the sender cannot reach are malformed");
    }
    message.cutOff = std::move(*cutOff);
    if (!errors.empty()) {
        return malformed(describe(errors));
    }
    for (const auto *list : {&rows, &costs, &notices, &limits, &versions, &quotas}) {
        if (!isListOrAbsent(*list)) {
            return malformed("a list of rows is of another type");
        }
    }
    for (const auto &row : notices) {
        if (!isNotice(row)) {
            return malformed("an exclusion notice is malformed");
        }
        if (auto notice = decodeNotice(row)) {
            message.exclusions.push_back(std::move(*notice));
        } else {
            ++message.unknownRows;
        }
    }
    for (const auto &row : costs) {
        auto cost = decodeCost(row);
        if (!cost) {
            return malformed("a cost row is malformed");
        }
        message.costs.push_back(std::move(*cost));
    }
    for (const auto &row : limits) {
        auto limit = decodeLimit(row);
        if (!limit) {
            return malformed("a limit row is malformed");
        }
        message.limits.push_back(std::move(*limit));
    }
    for (const auto &row : quotas) {
        auto quota = decodeQuota(row);
        if (!quota) {
            return malformed("a tenant row is malformed");
        }
        message.quotas.push_back(std::move(*quota));
    }
    if (versions.is_array()) {
        auto decoded = decodeVersions(versions);
        if (!decoded) {
            return malformed("a software version row is malformed");
        }
        message.versions = std::move(*decoded);
    }
    for (const auto &row : rows) {
        auto work = decodeLoadRow(row);
        if (!work) {
            return malformed("a load row is malformed");
        }
        message.loads.push_back(std::move(*work));
    }
    return message;
}

auto encodeForPlace(std::string_view bytes) -> std::string
{
    auto document = parseMsgpack(bytes, "relay load");
    if (!document || !document->is_object()) {
        return {};
    }
    (*document)[std::string(RelayInPlace)] = false;
    std::string result;
    nlohmann::json::to_msgpack(*document, result);
    return result;
}

} // namespace currantstack
