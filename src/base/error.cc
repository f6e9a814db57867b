#include "currantstack/error.h"

#include <fmt/format.h>

namespace currantstack
{

namespace
{

struct CodeInfo
{
    std::string_view name;
    int status;
};

auto info(ErrorCode code) -> CodeInfo
{
    switch (code) {
    case ErrorCode::BadInput:
        return {"bad_input", 400};
    case ErrorCode::Unauthorized:
        return {"unauthorized", 401};
    case ErrorCode::Forbidden:
        return {"forbidden", 403};
    case ErrorCode::NotFound:
        return {"not_found", 404};
    case ErrorCode::Conflict:
        return {"conflict", 409};
    case ErrorCode::Overloaded:
        return {"overloaded", 429};
    case ErrorCode::DeadlineExceeded:
        return {"deadline_exceeded", 504};
    case ErrorCode::Unreachable:
        return {"unreachable", 503};
    case ErrorCode::Unavailable:
        return {"unavailable", 503};
    case ErrorCode::Cancelled:
        return {"cancelled", 499};
    case ErrorCode::OutcomeUnknown:
        return {"outcome_unknown", 502};
    case ErrorCode::Quarantined:
        return {"quarantined", 422};
    case ErrorCode::Internal:
        break;
    }
    return {"internal", 500};
}

} // namespace

auto fail(ErrorCode code, std::string_view step, std::string_view peer, std::string_view message) -> tl::unexpected<Error>
{
    return tl::unexpected<Error>(Error{code, std::string(step), std::string(peer), std::string(message)});
}

auto name(ErrorCode code) -> std::string_view
{
    return info(code).name;
}

auto httpStatus(ErrorCode code) -> int
{
    return info(code).status;
}

auto describe(const Error &error) -> std::string
{
    if (error.peer.empty()) {
        return fmt::format("{}: {}", error.step, error.message);
    }
    return fmt::format("{}: {} ({})", error.step, error.message, error.peer);
}

} // namespace currantstack
