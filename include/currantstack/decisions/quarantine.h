// Requests that crash the upstreams that run them.
#pragma once

#include "currantstack/decisions/success_history.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The fingerprints by which a request, or one like it, is recognized when it comes again, in ascending order without duplicates.
using Traits = std::vector<Fingerprint>;

/// Returns the traits of a request: its own fingerprint and those of the parts of its prompt.
auto traitsOf(Fingerprint request, std::span<const Fingerprint> promptParts) -> Traits;

/// An upstream that crashed, and the requests that it was running.
struct CrashRecord
{
    std::string upstream; // one start of an upstream: its id and start time
    std::string observer; // VM that first reported the crash
    TimePoint at;
    std::vector<Traits> requests;
};

/// Requests with all these traits are refused.
struct QuarantineEntry
{
    Traits traits;
    Duration remaining = Duration::zero();
    std::vector<std::string> upstreams; // that crashed
    std::string observer; // VM that reported the last of these crashes
    Duration age = Duration::zero(); // since that crash
};

/// A fingerprint that was part of a successful request.
struct ReportedSuccess
{
    Fingerprint fingerprint = 0;
    Duration age = Duration::zero(); // since the success
};

/// What a VM knows, as VMs report it to one another.
struct QuarantineReport
{
    std::vector<QuarantineEntry> entries;
    std::vector<CrashRecord> crashes;
    std::vector<ReportedSuccess> successes; // of fingerprints under suspicion
};

struct QuarantineLimits
{
    std::size_t crashes = 3; // upstreams that crash under a request before it is refused
    Duration length = seconds(600); // of a quarantine; for as long again after it, one more crash renews the quarantine
};

/// Compares the requests that were in flight at each crash. Traits that were present at enough crashes, and not in any request that
/// succeeded meanwhile, are quarantined; other traits present in the same requests each time narrow the quarantine, because they cannot
/// be told apart. Upstreams that crash at the same time as others without the traits have a common cause. The result depends on the set of
/// records only, so that VMs that exchange their records agree.
class Quarantine
{
public:
    static constexpr Duration RecordLifetime = seconds(120);
    static constexpr std::size_t MaxRecords = 64;
    static constexpr std::size_t MaxRequestsPerRecord = 64;
    static constexpr std::size_t MaxTraits = 17; // per request
    static constexpr std::size_t MaxEntries = 256; // further ones are not added, so that none is evicted
    static constexpr std::size_t MaxUpstreamsPerEntry = 8; // named in the reason of a refusal

    explicit Quarantine(QuarantineLimits limits = {})
        : m_limits(limits)
    { }

    auto setLimits(QuarantineLimits limits) -> void
    {
        m_limits = limits;
    }

    /// Adds a crash, or more requests to a known one. Returns true if this was new.
    auto recordCrash(const CrashRecord &record, TimePoint now) -> bool;

    /// Records that a request with these traits succeeded, so that none of them crashes upstreams. Returns true if one was suspected.
    auto recordSuccess(std::span<const Fingerprint> traits, TimePoint at) -> bool;

    /// Merges a report of another VM. Returns true if it contained anything new.
    auto merge(const QuarantineReport &report, TimePoint now) -> bool;

    /// Returns the entry that refuses a request with these traits.
    auto find(std::span<const Fingerprint> traits, TimePoint now) const -> std::optional<QuarantineEntry>;

    /// Returns whether a request with one of these traits was in flight at a crash.
    auto isSuspect(std::span<const Fingerprint> traits, TimePoint now) const -> bool;

    /// Returns the entries in force, those with the longest remaining time first.
    auto entries(TimePoint now) const -> std::vector<QuarantineEntry>;

    auto report(TimePoint now) const -> QuarantineReport;

    /// Returns whether there is nothing to report.
    auto isEmpty() const -> bool
    {
        return m_records.empty() && m_entries.empty() && m_suspectSuccesses.empty();
    }

    auto expire(TimePoint now) -> void;

private:
    struct Entry
    {
        Traits traits;
        TimePoint until;
        std::vector<std::string> upstreams;
        std::string observer;
        TimePoint lastCrash;
    };

    auto addRequests(CrashRecord &record, std::span<const Traits> requests) const -> bool;
    auto withoutSuccessful(std::span<const Fingerprint> traits, TimePoint crashedAt) const -> Traits;
    auto reportSuccesses(std::span<const Fingerprint> traits, TimePoint crashedAt) -> void;
    auto renewEntries(const CrashRecord &record, TimePoint now) -> void;
    auto evaluate(TimePoint now) -> void;
    auto addEntry(Entry entry) -> bool;

    QuarantineLimits m_limits;
    std::map<std::string, CrashRecord, std::less<>> m_records; // by upstream
    std::vector<Entry> m_entries;
    SuccessHistory m_successes;
    std::map<Fingerprint, TimePoint> m_suspectSuccesses; // of fingerprints that were under suspicion, to be reported
};

} // namespace currantstack
