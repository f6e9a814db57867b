// What the kernel knows of the bytes of one TCP connection.
#pragma once

#include <cstdint>

namespace currantstack::detail
{

/// All values are zero if the kernel does not tell them.
struct TcpProgress
{
    std::uint64_t received = 0; // bytes since the connection was opened
    std::uint64_t acknowledged = 0; // by the peer
    std::uint64_t unread = 0; // received bytes that the process has not read
};

auto tcpProgress(int descriptor) -> TcpProgress;

/// Returns the number of established connections that wait to be accepted.
auto waitingConnections(int listener) -> unsigned;

} // namespace currantstack::detail
