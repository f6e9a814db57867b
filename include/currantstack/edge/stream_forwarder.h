// Streams: the prompt is read at one engine, its events are made at another, and a broken stream goes on at a third.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Forwards the request and answers its caller. The request lives until it is answered or its caller is gone.
auto forwardStream(EdgeContext &context, IncomingRequest request) -> void;

} // namespace currantstack
