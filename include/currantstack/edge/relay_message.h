// What a VM that cannot reach a service's upstreams tells the VM that forwards a request for it, in one header.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/counted_calls.h"
#include "currantstack/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantstack
{

inline constexpr std::string_view RelayHeader = "Currant-Relay"; // of requests between VMs
inline constexpr std::string_view RelayRefusedHeader = "Currant-Relay-Refused"; // of a response: another VM may take the request
inline constexpr std::string_view RelayCallsHeader = "Currant-Relay-Calls"; // of an error response: the calls of the request so far

/// State of a request at the VM that took it from its caller.
struct RelayInfo
{
    std::string vm; // that took the request
    Duration age = Duration::zero(); // since the request arrived there
    int sends = 0; // attempts that count against the route's limit
    bool counted = false; // the request is already counted in the retry budget and the rate limits
    std::int64_t routesVersion = 0; // in force at that VM
    std::optional<std::int64_t> lastEventId = {}; // of the stream that goes on; none: as the caller says
    std::string firstAttemptId; // of the stream that goes on
    std::string service = {}; // that the first VM has drawn among the route's; empty: its build does not say
    std::optional<Duration> timeLeft = {}; // until the first VM must have the answer; none: its build does not say
    bool mayHaveEnded = false; // the caller may have all events of the stream, so that none may follow
    CountedCalls calls = {}; // of the request so far
    std::string tenant = {}; // whose key the first VM has verified, and whose quota it has charged; empty: none
};

/// Returns the header's value.
auto encodeRelay(const RelayInfo &info) -> std::string;

/// Returns the error if the value is malformed.
auto decodeRelay(std::string_view value) -> Result<RelayInfo>;

/// Returns the value of `RelayCallsHeader`.
auto encodeRelayCalls(const CountedCalls &calls) -> std::string;

/// Returns the error if the value is malformed.
auto decodeRelayCalls(std::string_view value) -> Result<CountedCalls>;

} // namespace currantstack
