#include "currantstack/edge/relay_message.h"

#include "currantstack/json.h"

#include <algorithm>
#include <limits>

namespace currantstack
{

namespace
{

constexpr std::int64_t MaxAgeMs = 3'600'000;
constexpr std::int64_t MaxSends = 1000;
constexpr std::int64_t Unknown = -1;
constexpr std::string_view Step = "decode relay header";

auto writeCalls(const CountedCalls &calls, Json &document) -> void
{
    document["calls"] = calls.sent;
    document["retries"] = calls.acquired;
    document["prefilled"] = calls.prefilled;
}

/// Builds that do not tell the calls count none.
auto readCalls(ObjectReader &reader) -> CountedCalls
{
    CountedCalls calls;
    calls.sent = static_cast<int>(reader.integer("calls", 0, MaxSends, 0));
    calls.acquired = static_cast<int>(reader.integer("retries", 0, MaxSends, 0));
    calls.prefilled = reader.boolean("prefilled", false);
    return calls;
}

} // namespace

auto encodeRelay(const RelayInfo &info) -> std::string
{
    Json document = {
        {"vm", info.vm},
        {"age_ms", std::chrono::duration_cast<milliseconds>(info.age).count()},
        {"sends", info.sends},
        {"counted", info.counted},
        {"routes", info.routesVersion},
        {"after", std::max<std::int64_t>(0, info.lastEventId.value_or(0))}, // builds that do not read `has_events` take 0 for none
        {"has_events", info.lastEventId.has_value()},
        {"first", info.firstAttemptId},
        {"service", info.service}};
    if (info.mayHaveEnded) {
        document["may_have_ended"] = true;
    }
    if (info.calls != CountedCalls()) {
        writeCalls(info.calls, document);
    }
    if (!info.tenant.empty()) {
        document["tenant"] = info.tenant;
    }
    if (info.timeLeft) {
        document["left_ms"] = std::chrono::duration_cast<milliseconds>(*info.timeLeft).count();
    }
    return dumpJson(document);
}

auto decodeRelay(std::string_view value) -> Result<RelayInfo>
{
    constexpr auto MaxNumber = std::numeric_limits<std::int64_t>::max();
    const auto document = parseJson(std::string(value), Step);
    if (!document) {
        return tl::unexpected(document.error());
    }
    ValidationErrors errors;
    ObjectReader reader(*document, "", errors);
    RelayInfo info;
    info.vm = reader.text("vm");
    info.age = milliseconds(reader.integer("age_ms", 0, MaxAgeMs));
    info.sends = static_cast<int>(reader.integer("sends", 0, MaxSends));
    info.counted = reader.boolean("counted");
    info.routesVersion = reader.integer("routes", 0, MaxNumber);
    const auto after = reader.integer("after", 0, MaxNumber);
    if (reader.boolean("has_events", after > 0)) {
        info.lastEventId = after;
    }
    info.firstAttemptId = reader.text("first");
    info.service = reader.text("service", "");
    info.mayHaveEnded = reader.boolean("may_have_ended", false);
    info.calls = readCalls(reader);
    info.tenant = reader.text("tenant", "");
    if (const auto left = reader.integer("left_ms", 0, MaxAgeMs, Unknown); left != Unknown) {
        info.timeLeft = milliseconds(left);
    }
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, Step, "", describe(errors));
    }
    return info;
}

auto encodeRelayCalls(const CountedCalls &calls) -> std::string
{
    Json document;
    writeCalls(calls, document);
    return dumpJson(document);
}

auto decodeRelayCalls(std::string_view value) -> Result<CountedCalls>
{
    const auto document = parseJson(std::string(value), Step);
    if (!document) {
        return tl::unexpected(document.error());
    }
    ValidationErrors errors;
    ObjectReader reader(*document, "", errors);
    const auto calls = readCalls(reader);
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, Step, "", describe(errors));
    }
    return calls;
}

} // namespace currantstack
