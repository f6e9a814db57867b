// Divides a process's file descriptors between callers and upstreams.
#pragma once

#include <algorithm>
#include <cstdint>
#include <sys/resource.h>

namespace currantstack
{

/// Returns how many descriptors this process may have: what the system allows, or `limit` if that is less and not 0.
inline auto availableDescriptors(std::uint64_t limit = 0) -> std::uint64_t
{
    rlimit system{};
    const auto allowed = getrlimit(RLIMIT_NOFILE, &system) == 0 ? std::uint64_t(system.rlim_cur) : RLIM_INFINITY;
    return limit == 0 ? allowed : std::min(allowed, limit);
}

/// Returns how many connections of callers a process with this number of descriptors may hold, at least one. The rest is left for
/// connections to upstreams, to the store and to other VMs, which a request in flight needs besides that of its caller.
constexpr auto callerConnections(std::uint64_t descriptors) -> unsigned
{
    constexpr std::uint64_t ReservedForFiles = 200;
    constexpr std::uint64_t MostConnections = 20000;
    const auto sockets = descriptors > ReservedForFiles ? descriptors - ReservedForFiles : 0;
    return static_cast<unsigned>(std::clamp<std::uint64_t>(sockets - sockets / 3, 1, MostConnections));
}

} // namespace currantstack
