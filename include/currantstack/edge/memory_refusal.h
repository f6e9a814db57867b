// Refusals of requests for which the process has no memory, and the gauges of its memory.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Logs and counts a request that is refused because memory is short, and returns its response, which promises that it was not run. A
/// request from another VM is refused so that a further VM may take it.
auto refuseForMemory(EdgeContext &context, const HttpRequest &request, const MemoryShortage &shortage, bool isRelayed) -> HttpResponse;

/// Sets the gauges of the budget and of each use.
auto updateMemoryGauges(EdgeContext &context) -> void;

} // namespace currantstack
