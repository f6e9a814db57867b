// Forwards streaming requests: prefill on one engine, decode on another, and resumption on a third when a stream breaks.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Forwards the request and answers its caller. The request lives until it is answered or its caller disconnects.
auto forwardStream(EdgeContext &context, IncomingRequest request) -> void;

} // namespace currantstack
