// The address of a TCP or UDP socket.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace currantstack
{

struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;

    /// Returns "ip:port".
    auto text() const -> std::string
    {
        return ip + ":" + std::to_string(port);
    }

    auto operator==(const SocketAddress &) const -> bool = default;

    auto operator<(const SocketAddress &other) const -> bool
    {
        return std::tie(ip, port) < std::tie(other.ip, other.port);
    }
};

} // namespace currantstack
