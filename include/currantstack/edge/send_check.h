// The last check before a request goes to an upstream.
#pragma once

#include "currantstack/decisions/send_gate.h"
#include "currantstack/edge/context.h"

namespace currantstack
{

/// Returns why the upstream may not get a request now, by what this VM knows of it at this moment.
auto sendBlockOf(const EdgeContext &context, const Upstream &upstream) -> SendBlock;

/// Returns whether the request may be sent to the upstream, which was chosen at `chosenAt`. Logs and counts why not. `way` names the kind
/// of call: "decode", "prefill" or "reservation".
auto maySend(EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, std::string_view way, TimePoint chosenAt)
    -> bool;

} // namespace currantstack
