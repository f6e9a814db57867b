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
    std::uint64_t unacknowledged = 0; // bytes that the process has written and the peer has not acknowledged
};

auto tcpProgress(int descriptor) -> TcpProgress;

/// Returns the number of established connections that wait to be accepted.
auto waitingConnections(int listener) -> unsigned;

} // namespace currantstack::detail
