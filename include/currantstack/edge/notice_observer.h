// Records what upstreams say in their responses about further requests.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Records what the response head says about further requests, and logs what is new. A head that belongs to another upstream or
/// request is ignored.
auto observeNotices(EdgeContext &context, const Upstream &upstream, int status, const AnswerHead &head) -> void;

/// Does the same for the response to a call of the router itself.
auto observeNotices(EdgeContext &context, const Upstream &upstream, const Result<HttpResponse> &result) -> void;

/// Starts a call that releases KV memory at the upstream. Its response is needed for its notices only.
auto startRelease(EdgeContext &context, const Upstream &upstream, HttpCall call) -> void;

/// Returns whether the upstream may get a request now.
auto mayGetRequest(const EdgeContext &context, const Upstream &upstream) -> bool;

} // namespace currantstack
