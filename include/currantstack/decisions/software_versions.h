// Which software versions the upstreams of each service have, and had lately.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/decisions/version_currency.h"
#include "currantstack/decisions/version_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace currantstack
{

/// A version of a service, as one VM tells it to another.
struct SoftwareVersionNotice
{
    std::string service;
    std::string version;
    Duration age = Duration::zero(); // since an upstream with this version was last registered
    Duration knownFor = Duration::zero(); // since a VM first knew the version
    bool isRecorded = false; // the store's record names it, so that it matters at any age
};

/// The services whose versions one VM tells another.
enum class NoticeScope
{
    MixedServices, // those that have several versions
    AllServices, // for a VM that may have missed versions
};

/// A version that this VM has just learned of, for logs.
struct LearnedVersion
{
    std::string_view service;
    std::string_view version;
    std::string_view toldBy; // the VM that told it, or the record; empty if an upstream's entry names it
    Duration knownFor = Duration::zero(); // since a VM first knew it, as far as this VM can tell
    bool isRecorded = false; // in the store
    bool isSettled = false; // this VM may begin streams there
    TimePoint usedAt; // from which other VMs may have begun streams there
};

/// Remembers the versions of each service for longer than a stream lives, and which of them the store's record names. While the record
/// names one version only, each stream of the service is of that version; otherwise the version of a stream must be known.
class SoftwareVersions
{
public:
    /// Longer than a caller keeps trying to complete one stream.
    static constexpr Duration Lifetime = seconds(60);
    /// A version gets no streams for this time after the record first names it, so that each VM that continues a stream has read of it, or
    /// knows that its knowledge is older (`VersionCurrency`).
    static constexpr Duration SettlingTime = milliseconds(1500);
    /// Streams may begin this long after a VM first knows their version: at VMs of earlier builds, which read no record.
    static constexpr Duration EarliestUse = seconds(1);
    /// The record names a version for this time after its last upstream has left. A VM that lists an upstream for longer than the store
    /// does, because it does not reach the store, may begin streams there; those end well within the remaining time.
    static constexpr Duration RecordRetention = seconds(300);
    /// A version whose upstreams were registered within this time is in use. Covers two refreshes of the directory.
    static constexpr Duration PresenceTime = milliseconds(2500);

    /// Records that an upstream with this version is registered, or was until `lastSeen`.
    auto observe(std::string_view service, std::string_view version, TimePoint lastSeen, TimePoint now) -> void;

    /// Records what another VM tells.
    auto merge(const SoftwareVersionNotice &notice, std::string_view toldBy, TimePoint now) -> void;

    /// Sets what runs when a version becomes known, once its times are set.
    auto setLearnedHook(std::function<void(const LearnedVersion &version)> hook) -> void
    {
        m_onLearned = std::move(hook);
    }

    /// Returns since when a VM has known the version, as far as this VM can tell.
    auto knownSince(std::string_view service, std::string_view version) const -> std::optional<TimePoint>;

    /// Returns since when this VM has known that the record names the version.
    auto recordedSince(std::string_view service, std::string_view version) const -> std::optional<TimePoint>;

    /// Drops the versions that the record does not name, and that were neither seen nor told as recorded for `Lifetime`.
    auto expire(TimePoint now) -> void;

    /// Records what a read of the record shows.
    auto onRecordRead(std::span<const VersionRecord> records, const RecordRead &read, TimePoint now) -> void;

    /// Records that the store's record of a service is this one, as this VM has written it.
    auto onRecorded(const VersionRecord &record, TimePoint now) -> void;

    /// Records that the store's record of a service is this one, as another VM has written it.
    auto onReplaced(const VersionRecord &record, TimePoint now) -> void;

    /// Returns whether a version of the service is in use that the record does not name, as far as this VM knows.
    auto hasUnrecorded(std::string_view service, TimePoint now) const -> bool;

    /// Returns the record that the store should have, given the one that it has, if any. `isFirstSettled`: no VM relies on anything but the
    /// record, so that the versions which the first record of a service names can have streams at once: until then nobody can take a stream
    /// for one of another version. `absentSince`: this VM has seen all entries of upstreams since then.
    auto planRecord(std::string_view service, const VersionRecord *stored, bool isFirstSettled, TimePoint absentSince, TimePoint now) const
        -> VersionRecord;

    /// Returns the services that have or had versions.
    auto services() const -> std::vector<std::string>;

    /// Returns whether the record names a version of the service, or none of its versions is known. Without one, nobody knows which
    /// versions streams of the service can have begun at.
    auto hasRecord(std::string_view service) const -> bool;

    /// Returns whether the service has more than one version, or had lately.
    auto isMixed(std::string_view service) const -> bool;

    /// Returns the version of a service that has and had no other, or `AnySoftwareVersion`.
    auto onlyVersion(std::string_view service) const -> SoftwareVersionKey;

    /// Returns whether streams may begin at upstreams of this version: the record has named it for `SettlingTime`.
    auto isSettled(std::string_view service, std::string_view version, TimePoint now) const -> bool;

    /// Returns after what time streams may begin at a version of the service, if it is recorded at once; zero if they may now.
    auto settlesIn(std::string_view service, TimePoint now) const -> Duration;

    /// Returns whether streams may begin at any version of the service.
    auto hasSettled(std::string_view service, TimePoint now) const -> bool;

    /// Returns the versions at which streams of the service can have begun at any VM. A version that this VM learns of may have appeared
    /// at any time since its knowledge was current.
    auto possibleOrigins(std::string_view service, TimePoint now) const -> std::vector<SoftwareVersionKey>;

    auto currency() -> VersionCurrency &
    {
        return m_currency;
    }

    auto currency() const -> const VersionCurrency &
    {
        return m_currency;
    }

    /// Returns a number that rises with each version that becomes known.
    auto generation() const -> std::uint64_t
    {
        return m_generation;
    }

    /// Returns whether the service has or had the version.
    auto has(std::string_view service, SoftwareVersionKey version) const -> bool
    {
        return !nameOf(service, version).empty();
    }

    /// Returns the version as text, for logs; empty if it is not known.
    auto nameOf(std::string_view service, SoftwareVersionKey version) const -> std::string_view;

    auto mixedServices() const -> std::vector<std::string>;

    /// Returns what to tell other VMs.
    auto notices(NoticeScope scope, TimePoint now) const -> std::vector<SoftwareVersionNotice>;

private:
    struct Version
    {
        SoftwareVersionKey key = AnySoftwareVersion;
        TimePoint lastSeen;
        TimePoint knownSince; // at any VM
        TimePoint usedAt; // by streams of any VM, at the earliest
        std::optional<TimePoint> recordedAt; // known to this VM; none: the record does not name it
        std::optional<TimePoint> toldRecordedAt; // another VM has last told that the record names it
        TimePoint settledAt = TimePoint::max(); // if recorded
    };

    using Versions = std::map<std::string, Version, std::less<>>;

    /// Returns the version and whether it has just become known.
    auto versionOf(std::string_view service, std::string_view version, TimePoint now) -> std::pair<Version &, bool>;

    auto find(std::string_view service, std::string_view version) const -> const Version *;
    static auto withdrawUnnamed(Versions &versions, const VersionRecord &record) -> std::vector<Version *>;
    auto recordVersion(std::string_view service, const RecordedVersion &recorded, TimePoint now) -> void;
    auto reportLearned(const SoftwareVersionNotice &notice, const Version &entry, std::string_view toldBy, TimePoint now) const -> void;

    std::map<std::string, Versions, std::less<>> m_services;
    VersionCurrency m_currency;
    std::uint64_t m_generation = 0;
    std::function<void(const LearnedVersion &version)> m_onLearned = [](const LearnedVersion & /*version*/) {};
};

} // namespace currantstack
