// Errors with which watches of a store end.
#pragma once

#include "currantstack/error.h"

namespace currantstack
{

inline auto watchError(ErrorCode code) -> Error
{
    return {code, "watch", "store", ""};
}

/// Returns the error of a watch whose connection the store has closed.
inline auto cutWatch() -> Error
{
    auto result = watchError(ErrorCode::Unavailable);
    result.connectionClosed = true;
    return result;
}

} // namespace currantstack
