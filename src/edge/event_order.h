// Logs of events that arrive out of order, shared by streams and relayed streams.
#pragma once

#include "currantstack/decisions/event_sequence.h"
#include "currantstack/edge/context.h"

namespace currantstack
{

inline constexpr std::string_view RegressionReason = "an event has a lower id than the one before it";
inline constexpr std::string_view GapReason = "an event is missing between two ids";

/// Returns the id as a field of a log line; null if there is none.
auto eventField(std::optional<std::int64_t> id) -> LogFields;

/// Counts an event out of order and logs it. `outcome` is "passed" or "broken_off"; `fields` names the request and what was known.
auto logDisorder(EdgeContext &context, std::string_view component, EventPlace place, std::string_view outcome, LogFields fields) -> void;

} // namespace currantstack
