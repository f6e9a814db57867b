// What a VM says of its build, so that VMs of different builds use of one another only what both can do.
#pragma once

#include <cstdint>

namespace currantstack
{

/// Number of the messages that this build exchanges with other VMs. It rises with each release that changes one of them; what may change
/// in one release is in docs/design/20-releases-side-by-side.md.
inline constexpr std::int64_t ProtocolNumber = 5;

/// Number of the builds that do not report theirs.
inline constexpr std::int64_t UnreportedProtocol = 1;

/// What a VM reports of its build and of what it can do now.
struct PeerProtocol
{
    std::int64_t number = UnreportedProtocol;
    bool takesRelays = false; // forwards requests for other VMs

    /// Returns whether the VM has reported its protocol. What the others can do is found out by asking them.
    auto isReported() const -> bool
    {
        return number != UnreportedProtocol;
    }

    auto operator==(const PeerProtocol &other) const -> bool = default;
};

} // namespace currantstack
