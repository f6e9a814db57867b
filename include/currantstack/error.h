// Errors that carry the step and the peer at which they arose.
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
    Unreachable, // no connection was made, so nothing was sent
    Unavailable, // the peer failed after something may have been sent
    Cancelled,
    OutcomeUnknown,
    Quarantined,
    Internal,
};

/// Whether the work of a refused request may have been run. `No` is a proof, not a guess.
enum class Executed
{
    No,
    Unknown,
};

/// One failure: what went wrong, in which step, and with which peer (empty when local).
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string step;
    std::string peer;
    std::string message;
    bool connectionRefused = false; // the peer's host answered that nothing listens at the address
};

template<typename T>
using Result = tl::expected<T, Error>;

/// Returns an unexpected `Error`, for use in a return statement.
auto fail(ErrorCode code, std::string_view step, std::string_view peer, std::string_view message) -> tl::unexpected<Error>;

/// Returns the lower-case name of the code, such as "deadline_exceeded".
auto name(ErrorCode code) -> std::string_view;

/// Returns the HTTP status that a caller sees for the code.
auto httpStatus(ErrorCode code) -> int;

/// Returns "step: message (peer)" for logs.
auto describe(const Error &error) -> std::string;

} // namespace currantstack
