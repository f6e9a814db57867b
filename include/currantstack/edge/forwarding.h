// What both forwarders do alike: calls to upstreams, the judgement of answers, and the final word to the caller.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

inline constexpr int MisdirectedRequest = 421; // the engine at the address is another one, or has another role

/// How long a connection to an upstream may take. Longer than a round trip between regions, shorter than the first
/// retransmission of a lost opening packet (1 s), after which another upstream is the better choice.
inline constexpr Duration ConnectTimeout = milliseconds(400);

/// The final answer is sent this much before the caller's time is over, so that it still arrives.
inline constexpr Duration AnswerMargin = milliseconds(10);

/// Returns the call that sends the request to the upstream.
auto upstreamCall(const EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, ForwardSpec spec) -> HttpCall;

/// Returns what a response head means for the request that was sent.
auto classifyHead(int status, const AnswerHead &head) -> SendOutcome;

/// Returns what a failed call means for the request that was sent.
auto classifyError(const Error &error) -> SendOutcome;

/// Returns whether the upstream's answer may be passed on unchanged. A status that promises "not run" is not, where the upstream
/// did not say so itself.
auto mayForward(int status, const AnswerHead &head) -> bool;

/// Answers the caller without an upstream's answer, and logs it.
auto respondWithError(EdgeContext &context, const IncomingRequest &request, const Attempt &attempt, bool timedOut, std::string_view reason,
                      Duration retryAfter) -> void;

auto name(SendOutcome outcome) -> std::string_view;

} // namespace currantstack
