// A caller's request that another VM forwards, because this one cannot reach the service's upstreams.
#pragma once

#include "currantstack/edge/forwarding.h"

namespace currantstack
{

/// What is known of a request when another VM takes over.
struct RelayStart
{
    IncomingRequest request;
    RequestAttempts attempts;
    bool counted = false; // in this VM's retry budget and rate limits
    bool headSent = false; // of a stream; the caller has received events up to `lastEventId`
    std::int64_t lastEventId = 0;
    std::string firstAttemptId; // of a stream that goes on
    std::string_view reason;
};

/// Returns whether another VM may forward the request: this one is cut off from the service's upstreams, or could not connect to them,
/// and the request is not one that another VM has sent here.
auto mayRelay(const EdgeContext &context, const IncomingRequest &request) -> bool;

/// Hands the request over to another VM and answers its caller.
auto relayRequest(EdgeContext &context, RelayStart start) -> void;

} // namespace currantstack
