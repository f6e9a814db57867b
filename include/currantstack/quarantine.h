// Poison requests: requests that crash the upstreams that run them.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/fingerprint.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// A fingerprint whose requests are refused for the remaining time.
struct QuarantineEntry
{
    Fingerprint fingerprint = 0;
    Duration remaining = Duration::zero();
};

/// Counts upstream crashes by request fingerprint. After the first crash the request is a suspect and shares no engine with another
/// suspect, so that a second crash identifies a single request.
class Quarantine
{
public:
    static constexpr std::size_t CrashThreshold = 2; // distinct upstreams
    static constexpr Duration SuspectLifetime = seconds(120);
    static constexpr std::size_t MaxSuspects = 4096;
    static constexpr std::size_t MaxAnnouncedEntries = 32; // per announcement

    /// Records that the upstream crashed while it ran the request. At the threshold the request is quarantined for `length`. Returns
    /// whether it is quarantined.
    auto recordCrash(Fingerprint fingerprint, std::string_view upstream, Duration length, TimePoint now) -> bool;

    auto isQuarantined(Fingerprint fingerprint, TimePoint now) const -> bool;
    auto isSuspect(Fingerprint fingerprint, TimePoint now) const -> bool;

    /// Merges entries that a peer announced; the later expiry wins.
    auto merge(const std::vector<QuarantineEntry> &entries, TimePoint now) -> void;

    /// Returns the unexpired entries to announce, those with the longest remaining time first.
    auto entries(TimePoint now) const -> std::vector<QuarantineEntry>;

    auto expire(TimePoint now) -> void;

private:
    struct Suspect
    {
        std::set<std::string> upstreams;
        TimePoint lastCrash;
    };

    std::map<Fingerprint, Suspect> m_suspects;
    std::map<Fingerprint, TimePoint> m_quarantined;
};

} // namespace currantstack
