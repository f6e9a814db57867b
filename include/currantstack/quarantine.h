// Requests that kill the upstreams that run them.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

using Fingerprint = std::uint64_t;

/// A fingerprint that is refused until a time.
struct QuarantineEntry
{
    Fingerprint fingerprint = 0;
    Duration remaining = Duration::zero();
};

/// Counts deaths by fingerprint. After the first death a request is a suspect and runs apart from other suspects, so that a second
/// death points to one alone.
class Quarantine
{
public:
    static constexpr std::size_t Deaths = 2;
    static constexpr Duration SuspectTime = seconds(120);
    static constexpr std::size_t MaxSuspects = 4096;
    static constexpr std::size_t MaxAnnounced = 32;

    /// Records that the upstream died while it ran the request. Returns whether the request is refused from now on.
    auto report(Fingerprint fingerprint, std::string_view upstream, Duration length, TimePoint now) -> bool;

    auto isQuarantined(Fingerprint fingerprint, TimePoint now) const -> bool;
    auto isSuspect(Fingerprint fingerprint, TimePoint now) const -> bool;

    /// Takes over entries that a peer announced.
    auto merge(const std::vector<QuarantineEntry> &entries, TimePoint now) -> void;

    /// Returns what is in force, for announcements.
    auto entries(TimePoint now) const -> std::vector<QuarantineEntry>;

    auto expire(TimePoint now) -> void;

private:
    struct Suspect
    {
        std::set<std::string> upstreams;
        TimePoint last;
    };

    std::map<Fingerprint, Suspect> m_suspects;
    std::map<Fingerprint, TimePoint> m_refused;
};

} // namespace currantstack
