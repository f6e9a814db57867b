// Which software versions the upstreams of each service have, and had lately.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/software_version.h"
#include "currantstack/decisions/version_currency.h"

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
    std::string_view toldBy; // the VM that told it; empty if an upstream's entry names it
    Duration knownFor = Duration::zero(); // since a VM first knew it, as far as this VM can tell
    TimePoint settledAt; // from which this VM begins streams there
    TimePoint usedAt; // from which other VMs may have begun streams there
};

/// Remembers the versions of each service for longer than a stream lives. While a service had one version only, each of its streams is
/// of that version; otherwise the version of a stream must be known.
class SoftwareVersions
{
public:
    /// Longer than a caller keeps trying to complete one stream.
    static constexpr Duration Lifetime = seconds(60);
    /// A version gets no streams for this time after a VM first knows it, so that all VMs know it when the first stream begins, or know
    /// that they may have missed it (`VersionCurrency`). That a VM has just started says nothing about how long the others have known it.
    static constexpr Duration SettlingTime = milliseconds(1500);
    /// Streams may begin this long after a VM first knows their version: at VMs of earlier builds.
    static constexpr Duration EarliestUse = seconds(1);
    /// Further time after which an isolated VM uses a new version although it could not notify its peers. A VM that is also cut off from
    /// the store is no longer listed by then.
    static constexpr Duration IsolationTime = seconds(10);
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

    /// Drops the versions that were not seen for `Lifetime`.
    auto expire(TimePoint now) -> void;

    /// Returns whether the service has more than one version, or had within `Lifetime`.
    auto isMixed(std::string_view service) const -> bool;

    /// Returns the version of a service that has and had no other, or `AnySoftwareVersion`.
    auto onlyVersion(std::string_view service) const -> SoftwareVersionKey;

    /// Records all versions that another VM knows.
    auto onAllTold(const std::string &vm, std::span<const SoftwareVersionNotice> told) -> void;

    /// Lets streams begin at the only version of each service of which all these VMs have told that it is the only one there as well: none
    /// of them can continue the streams at another. After a restart of the whole fleet, nobody has known a version for long.
    auto settleShared(std::span<const std::string> vms, TimePoint now) -> void;

    /// Returns whether all known versions have been known to a VM for `SettlingTime`.
    auto areSettled(TimePoint now) const -> bool;

    /// Lets streams begin at all known versions, because no other VM can take them up.
    auto settleAll(TimePoint now) -> void;

    /// Records that at least half of the fleet has been heard since the time.
    auto onHalfHeard(TimePoint since) -> void
    {
        m_halfHeardAt = since;
    }

    /// Returns whether streams may begin at upstreams of this version. VMs that hear most of the fleet rely on being told of each version
    /// (`VersionCurrency`). One that has not heard half of it for long enough to notify it may have told nobody, and uses the version if
    /// the service has no other that it may use, or after `IsolationTime`.
    auto isSettled(std::string_view service, std::string_view version, TimePoint now) const -> bool;

    /// Returns after what time streams may begin at a version of the service, if it is known to others as expected; zero if they may now.
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
        TimePoint learnedAt; // by this VM
        TimePoint lastSeen;
        TimePoint settledAt;
        TimePoint usedAt; // by streams of any VM, at the earliest
    };

    using Versions = std::map<std::string, Version, std::less<>>;

    /// Returns the version and whether it has just become known.
    auto versionOf(std::string_view service, std::string_view version, TimePoint now) -> std::pair<Version &, bool>;

    auto find(std::string_view service, std::string_view version) const -> const Version *;
    auto mayBeKnownToOthers(const Version &entry, TimePoint now) const -> bool;
    auto hasAlternative(std::string_view service, std::string_view version, TimePoint now) const -> bool;
    auto reportLearned(const SoftwareVersionNotice &notice, const Version &entry, std::string_view toldBy) const -> void;

    std::map<std::string, Versions, std::less<>> m_services;
    std::map<std::string, std::map<std::string, std::set<std::string>>> m_told; // versions by service, by the VM that told them
    VersionCurrency m_currency;
    TimePoint m_halfHeardAt;
    std::uint64_t m_generation = 0;
    std::function<void(const LearnedVersion &version)> m_onLearned = [](const LearnedVersion & /*version*/) {};
};

} // namespace currantstack
