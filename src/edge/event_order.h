// Ids of events in log lines.
#pragma once

#include "currantstack/event_log.h"

#include <optional>

namespace currantstack
{

/// Returns the id as a field of a log line; null if there is none.
auto eventField(std::optional<std::int64_t> id) -> LogFields;

} // namespace currantstack
