// Errors with the step that failed and the peer it failed with.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace currantstack
{

enum class ErrorCode
{
    BadInput,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    Overloaded,
    DeadlineExceeded,
    Unreachable, // no request bytes were sent, or the peer guarantees that it changed nothing
    Unavailable, // the peer failed, and the request may have been sent
    Cancelled,
    OutcomeUnknown, // the request may or may not have taken effect
    Quarantined, // the same request crashed the upstreams that ran it
    Internal,
};

/// Whether a failed request may have been executed. `No` means that it certainly was not.
enum class Executed
{
    No,
    Unknown,
};

/// Describes a failure. `step` names the operation, `peer` the other party; `peer` is empty for a local failure.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;
    std::string peer;
    std::string message;
    bool connectionRefused = false; // the peer's host is up, but nothing listens on the port
    bool connectionReset = false; // the peer's host is up, and reset the connection before anything was sent
    bool connectionClosed = false; // the peer closed or reset the connection before the response was complete
    bool answerBegun = false; // the peer had sent a part of the response
    bool turnedAway = false; // the peer answered that it serves this caller no calls now
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Returns an `Error` as the unexpected value of a `Result`.
auto fail(ErrorCode code, std::string_view step, std::string_view peer, std::string_view message) -> tl::unexpected<Error>;

/// Returns the code's name in snake case, such as "deadline_exceeded".
auto name(ErrorCode code) -> std::string_view;

/// Returns the HTTP status code of responses that report this error.
auto httpStatus(ErrorCode code) -> int;

/// Returns "step: message (peer)", or "step: message" without a peer.
auto describe(const Error &error) -> std::string;

} // namespace currantstack
