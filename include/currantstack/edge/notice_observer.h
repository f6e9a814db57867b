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

/// Starts a call that releases KV memory at the upstream. Its response is needed for its notices only. An upstream that pauses gets no
/// call; it frees the memory when its lifetime ends.
auto startRelease(EdgeContext &context, const Upstream &upstream, HttpCall call) -> void;

/// Returns whether the upstream may get a request now.
auto mayGetRequest(const EdgeContext &context, const Upstream &upstream) -> bool;

inline constexpr std::string_view PauseReason = "the upstreams of the service have named a time in which they want no requests";

/// Returns whether a request can use the upstream at all.
using UpstreamFilter = std::function<bool(const Upstream &upstream)>;

/// Returns the time until the first pause of the service's upstreams ends; zero if one of them does not pause, or there is none.
auto pauseOf(const EdgeContext &context, std::string_view service, const UpstreamFilter &filter) -> Duration;

/// Returns the Retry-After of a request that these upstreams can't get before their pause ends. It is spread, so that refused callers
/// don't come back all at once.
auto retryAfterPause(EdgeContext &context, Duration pause) -> Duration;

/// Logs that a request is refused because all upstreams that could take it pause.
auto logRefusalForPause(EdgeContext &context, const IncomingRequest &request, Duration pause, Duration retryAfter) -> void;

} // namespace currantstack
