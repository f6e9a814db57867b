// Requests to plain services: one answer, whole, from one upstream.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Forwards the request and answers its caller. The request lives until it is answered or its caller is gone.
auto forwardToService(EdgeContext &context, IncomingRequest request) -> void;

} // namespace currantstack
