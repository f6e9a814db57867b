// Forwards requests to plain services, whose answer is one complete HTTP response.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Forwards the request and answers its caller. The request lives until it is answered or its caller disconnects.
auto forwardToService(EdgeContext &context, IncomingRequest request) -> void;

} // namespace currantstack
