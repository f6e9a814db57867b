// Which software version began each stream, so that a caller that comes back goes on there.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/fingerprint.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace currantstack
{

/// The software version that wrote the first event of a stream.
struct StreamOrigin
{
    SoftwareVersionKey version = AnySoftwareVersion;
    TimePoint at; // when this VM relayed the first event or was told of it
    bool isOwn = false; // this VM relayed events of the stream
};

/// Returns by what name a stream is known on all VMs: a hash of the attempt that brought its first event.
inline auto streamKey(std::string_view firstAttemptId) -> Fingerprint
{
    return hash64(firstAttemptId);
}

/// The origins of streams that this VM relayed or was told of, bounded in number and age.
class StreamOrigins
{
public:
    static constexpr std::size_t MaxEntries = 65536; // about 5 MB
    static constexpr Duration Lifetime = seconds(60); // longer than a caller keeps trying to complete one stream

    /// Records the origin. The first one of a stream counts.
    auto record(Fingerprint stream, StreamOrigin origin) -> void;

    auto find(Fingerprint stream, TimePoint now) const -> std::optional<StreamOrigin>;

    /// Returns the streams that this VM has relayed since the time, with their versions.
    auto relayedSince(TimePoint since) const -> std::vector<std::pair<Fingerprint, SoftwareVersionKey>>;

    auto expire(TimePoint now) -> void;

    auto size() const -> std::size_t
    {
        return m_origins.size();
    }

private:
    std::unordered_map<Fingerprint, StreamOrigin> m_origins;
    std::deque<Fingerprint> m_order; // of recording
};

/// Where a stream that a caller continues may go on.
enum class Continuation
{
    AtAnyEngine, // the engines that can have begun it are of one version
    AtItsVersion,
    Nowhere, // its version is not known, and there are several
};

/// What a VM knows about the versions that can have begun a stream.
struct VersionKnowledge
{
    bool isMixed = false; // the services that can have begun the stream have or had several versions
    bool mayBeOutdated = false; // the VM was down, suspended or cut off, so that it may have missed a version
    SoftwareVersionKey onlyVersion = AnySoftwareVersion; // at which streams can have begun, if that is one
};

/// Where a stream goes on, and at which version.
struct ContinuationPlan
{
    Continuation where = Continuation::Nowhere;
    SoftwareVersionKey version = AnySoftwareVersion;
};

/// Decides where a stream may go on, given its origin, if that is known.
inline auto planContinuation(const VersionKnowledge &knowledge, const std::optional<StreamOrigin> &origin) -> ContinuationPlan
{
    if (!knowledge.isMixed && !knowledge.mayBeOutdated) {
        return {Continuation::AtAnyEngine, knowledge.onlyVersion};
    }
    if (origin) {
        return {Continuation::AtItsVersion, origin->version};
    }
    if (!knowledge.mayBeOutdated && knowledge.onlyVersion != AnySoftwareVersion) {
        return {Continuation::AtItsVersion, knowledge.onlyVersion};
    }
    return {};
}

} // namespace currantstack
