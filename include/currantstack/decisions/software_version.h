// Names a software version of a service, and says at which engines a stream may go on.
#pragma once

#include "currantstack/codec.h"
#include "currantstack/decisions/upstream_directory.h"

namespace currantstack
{

/// Identifies a software version of a service, equal on every VM. Zero stands for any version.
using SoftwareVersionKey = std::uint32_t;

inline constexpr SoftwareVersionKey AnySoftwareVersion = 0;

/// Returns the key of a version. Upstreams that name no version count as one version.
inline auto softwareVersionKey(std::string_view service, std::string_view version) -> SoftwareVersionKey
{
    const auto key = static_cast<SoftwareVersionKey>(hash64(version, hash64(service)));
    return key == AnySoftwareVersion ? 1 : key;
}

inline auto softwareVersionKey(const Upstream &upstream) -> SoftwareVersionKey
{
    return softwareVersionKey(upstream.service, upstream.softwareVersion);
}

/// Returns whether a stream that was begun at the version may go on at the engine.
inline auto mayGoOnAt(const Upstream &engine, SoftwareVersionKey version) -> bool
{
    return version == AnySoftwareVersion || softwareVersionKey(engine) == version;
}

} // namespace currantstack
