#include "currantstack/slot_messages.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::int64_t MaxJsonInteger = 1LL << 53; // up to which doubles, hence all JSON parsers, represent integers exactly

} // namespace

auto readObservation(ObjectReader &reader) -> SlotObservation
{
    SlotObservation observation;
    observation.failed = reader.boolean("failed", false);
    observation.ratio = reader.number("ratio", 0, 1e6, 1);
    observation.microsPerToken = reader.number("us_per_token", 0, 1e9, 0);
    return observation;
}

auto writeObservation(Json &value, const SlotObservation &observation) -> void
{
    if (observation.failed) {
        value["failed"] = true;
    }
    if (observation.ratio != 1) {
        value["ratio"] = observation.ratio;
    }
    if (observation.microsPerToken > 0) {
        value["us_per_token"] = observation.microsPerToken;
    }
}

auto toJson(const PoolView &view) -> Json
{
    return {{"pool", view.pool},     {"capacity", view.capacity},    {"free", view.free},
            {"queued", view.queued}, {"backlog_ms", view.backlogMs}, {"rate", view.grantsPerSecond}};
}

auto poolViewFromJson(const Json &value) -> Result<PoolView>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    PoolView view;
    view.pool = reader.text("pool");
    view.capacity = static_cast<int>(reader.integer("capacity", 0, 1 << 30, 0));
    view.free = static_cast<int>(reader.integer("free", 0, 1 << 30, 0));
    view.queued = static_cast<int>(reader.integer("queued", 0, 1 << 30, 0));
    view.backlogMs = reader.number("backlog_ms", 0, 1e12, 0);
    view.grantsPerSecond = reader.number("rate", 0, 1e12, 0);
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "pool view", "", describe(errors));
    }
    return view;
}

auto toJson(const SlotRequest &request, TimePoint now) -> Json
{
    Json value = {{"id", request.requestId},
                  {"pool", request.pool},
                  {"member", request.member},
                  {"share", request.share},
                  {"priority", request.priority},
                  {"tokens", request.tokens},
                  {"left_ms", std::max(0.0, toMilliseconds(request.deadline - now))}};
    if (!request.preferred.empty()) {
        value["preferred"] = request.preferred;
        value["cached"] = request.cachedTokens;
    }
    if (!request.excludedEngines.empty()) {
        value["avoid"] = request.excludedEngines;
    }
    if (request.suspect) {
        value["suspect"] = true;
    }
    return value;
}

auto slotRequestFromJson(const Json &value, TimePoint now) -> Result<SlotRequest>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    SlotRequest request;
    request.requestId = reader.text("id");
    request.pool = reader.text("pool");
    request.member = reader.text("member", "");
    request.share = reader.number("share", 0, 1e9, 1);
    request.priority = static_cast<int>(reader.integer("priority", 0, MaxPriority, 0));
    request.tokens = reader.integer("tokens", 0, MaxJsonInteger, 0);
    request.deadline = now + fromMilliseconds(reader.number("left_ms", 0, 1e9, 0));
    request.preferred = reader.text("preferred", "");
    request.cachedTokens = reader.integer("cached", 0, MaxJsonInteger, 0);
    request.excludedEngines = reader.texts("avoid");
    request.suspect = reader.boolean("suspect", false);
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "slot request", "", describe(errors));
    }
    return request;
}

} // namespace currantstack
