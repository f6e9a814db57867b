// Encoding of the datagrams by which VMs tell and ask which software version began a stream.
#pragma once

#include "currantstack/decisions/software_versions.h"
#include "currantstack/error.h"
#include "currantstack/fingerprint.h"

#include <optional>
#include <vector>

namespace currantstack
{

/// First byte of a datagram with origins of streams; no encoded load report begins with it.
inline constexpr std::string_view OriginMagic = "V";

/// Streams that were begun by one software version.
struct StreamsOfVersion
{
    SoftwareVersionKey version = AnySoftwareVersion; // of streams whose origin the sender does not know: `AnySoftwareVersion`
    std::vector<Fingerprint> streams;
};

/// The versions that an answering VM knows.
struct VersionReport
{
    bool isComplete = false; // the sender can have missed none, but for `age`
    std::vector<SoftwareVersionNotice> versions; // of the services that have several, or of all
    Duration age = Duration::zero(); // of what the sender knows; zero: its build does not say
    /// The question that the sender answers with all versions that the store's record named; none: its build relies on less, or it was
    /// not asked for all.
    std::optional<std::uint32_t> question;
};

/// Tells origins, or asks for them.
struct OriginMessage
{
    std::vector<StreamsOfVersion> told; // what the sender knows, or that it does not know
    std::vector<Fingerprint> asked;
    std::optional<VersionReport> report; // in answers only
    bool asksForAllVersions = false; // because the sender may have missed some
    std::optional<std::uint32_t> question = std::nullopt; // number that the answer names, as datagrams may come late
};

auto encodeOrigins(const OriginMessage &message) -> std::string;

/// Returns the error if the datagram is malformed.
auto decodeOrigins(std::string_view bytes) -> Result<OriginMessage>;

} // namespace currantstack
