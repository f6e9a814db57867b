// Shared by both forwarders: calls to upstreams, classification of their answers, and error responses to callers.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

inline constexpr int MisdirectedRequest = 421; // the address belongs to another engine, or the engine has another role

/// Timeout for a connection to an upstream. It is longer than a round trip between regions and shorter than the first retransmission
/// of a lost SYN packet (1 s), because trying another upstream is faster than waiting for that.
inline constexpr Duration ConnectTimeout = milliseconds(400);

/// The final answer is sent this long before the caller's deadline, so that it arrives in time.
inline constexpr Duration AnswerMargin = milliseconds(10);

/// Upstreams get this much more time than the request has left, so that one which stops a little sooner, and ends a part of its answer in
/// the ordinary way, does so after this VM has broken the request off.
inline constexpr Duration StopMargin = milliseconds(250);

/// Returns whether the status promises that the request was not run and will not be.
auto impliesNotRun(int status) -> bool;

/// Returns when this VM breaks the request off at the latest.
auto workEndsAt(const EdgeContext &context, const IncomingRequest &request) -> TimePoint;

/// Returns the HTTP call that forwards the request to the upstream.
auto upstreamCall(const EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, ForwardSpec spec) -> HttpCall;

inline constexpr std::string_view StopReason = "this VM is stopping";
inline constexpr Duration StoppingRetryAfter = milliseconds(10); // another VM can take the request immediately

/// Returns whether a request that takes `expected` from now on is likely to outlast this process.
auto outlastsThisVm(const EdgeContext &context, Duration expected) -> bool;

/// Returns the outcome of a forwarded request that a response head proves.
auto classifyHead(int status, const AnswerHead &head) -> AttemptOutcome;

/// Returns the outcome of a forwarded request that a failed call proves.
auto classifyError(const Error &error) -> AttemptOutcome;

/// Returns whether the upstream's answer may be forwarded unchanged. A status that means "not run" to the caller is not forwarded
/// unless the upstream has promised that itself.
auto mayForward(int status, const AnswerHead &head) -> bool;

/// Records what a failed call, sent at `sentAt` on a connection of its own, says about the upstream's process and this VM's links.
auto observeFailedCall(EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, const Error &error, TimePoint sentAt)
    -> void;

/// Returns the attempts that the request may make here: the route's, less those of the VM that took it.
auto attemptsOf(const IncomingRequest &request) -> RequestAttempts;

/// Counts the request in the retry budget and the rate limits, unless the VM that took it has done so.
auto countRequest(EdgeContext &context, const IncomingRequest &request) -> void;

/// Acquires the retries that the request still needs to be run, and to be prefilled before that if `withPrefill`, after `calls`. Returns
/// false if the budget of the service does not allow them.
auto acquireRetries(EdgeContext &context, IncomingRequest &request, const CountedCalls &calls, bool withPrefill = false) -> bool;

/// Records the limit that the upstream's response names, or that it names none, and logs what changed.
auto observeLimit(EdgeContext &context, const Upstream &upstream, int status, const AnswerHead &head, TimePoint sentAt) -> void;

/// Logs a changed limit of the upstream. `from` is the VM from which this VM knows it; `age` is that of the upstream's response.
auto logLimitChange(EdgeContext &context, const Upstream &upstream, LimitChange change, std::string_view from, Duration age) -> void;

inline constexpr std::string_view RateLimitReason = "the upstreams of the service have reached the rate limits that they name";

/// Returns the ids of the service's upstreams with this role that may get no request now because of their rate limits.
auto limitedUpstreams(EdgeContext &context, std::string_view service, EngineRole role) -> std::vector<std::string_view>;

/// Logs that a request is refused because of the rate limits of these upstreams.
auto logRefusalForLimits(EdgeContext &context, const IncomingRequest &request, const std::vector<std::string_view> &limited,
                         Duration retryAfter) -> void;

/// Why no upstream may get a request, and when it may come again.
struct QuarantineRefusal
{
    std::string reason;
    Duration retryAfter = Duration::zero();
};

/// Returns nothing if the request is not quarantined; otherwise logs the observations behind the refusal.
auto checkQuarantine(const EdgeContext &context, const IncomingRequest &request) -> std::optional<QuarantineRefusal>;

/// Responds to a request for which no upstream's answer can be forwarded, and logs the failure.
auto respondWithError(EdgeContext &context, const IncomingRequest &request, const RequestAttempts &attempts, bool timedOut,
                      std::string_view reason, Duration retryAfter) -> void;

auto name(AttemptOutcome outcome) -> std::string_view;

} // namespace currantstack
