#include "currantstack/decisions/quarantine.h"

#include <algorithm>
#include <iterator>

namespace currantstack
{

namespace
{

auto contains(std::span<const Fingerprint> traits, Fingerprint trait) -> bool
{
    return std::binary_search(traits.begin(), traits.end(), trait);
}

auto includes(std::span<const Fingerprint> traits, std::span<const Fingerprint> subset) -> bool
{
    return std::includes(traits.begin(), traits.end(), subset.begin(), subset.end());
}

auto hasRequestWith(const CrashRecord &record, std::span<const Fingerprint> subset) -> bool
{
    return std::any_of(record.requests.begin(), record.requests.end(), [subset](const Traits &traits) { return includes(traits, subset); });
}

using Records = std::vector<const CrashRecord *>;

/// Traits that are suspected together, and the crashes that they explain.
struct Suspicion
{
    Traits traits;
    Records crashes;
    std::size_t strength = 0; // crashes that count
};

// Crashes with at most this time between one and the next may have a common cause, such as the loss of a rack.
constexpr Duration BurstGap = milliseconds(150);
constexpr std::size_t MinCommonCauseBurst = 4; // crashes
constexpr std::size_t CommonCauseFactor = 4; // a trait at one in this many crashes of a burst, or fewer, was there by chance

/// Crashes at about the same time.
using Burst = std::vector<const CrashRecord *>;

auto burstsOf(Records records) -> std::vector<Burst>
{
    std::sort(records.begin(), records.end(), [](const auto *left, const auto *right) { return left->at < right->at; });
    std::vector<Burst> bursts;
    for (const auto *record : records) {
        if (bursts.empty() || record->at - bursts.back().back()->at > BurstGap) {
            bursts.emplace_back();
        }
        bursts.back().push_back(record);
    }
    return bursts;
}

/// Returns how many of the crashes with a trait count as evidence. Upstreams that crash together with others that ran no request with the
/// trait probably have another cause in common: such a burst counts once, or not at all if only few of its crashes have the trait.
auto strengthOf(const Records &crashes, std::span<const Burst> bursts) -> std::size_t
{
    std::size_t strength = 0;
    for (const auto &burst : bursts) {
        const auto present = static_cast<std::size_t>(std::count_if(burst.begin(), burst.end(), [&crashes](const CrashRecord *record) {
            return std::find(crashes.begin(), crashes.end(), record) != crashes.end();
        }));
        if (present == burst.size()) {
            strength += present;
        } else if (present > 0 && (burst.size() < MinCommonCauseBurst || CommonCauseFactor * present > burst.size())) {
            ++strength;
        }
    }
    return strength;
}

/// Returns the traits that are part of every request with this trait, including the trait itself.
auto companionsOf(Fingerprint trait, std::span<const CrashRecord *const> records) -> Traits
{
    std::optional<Traits> common;
    for (const auto *record : records) {
        for (const auto &request : record->requests) {
            if (!contains(request, trait)) {
                continue;
            }
            Traits shared;
            if (common) {
                std::set_intersection(common->begin(), common->end(), request.begin(), request.end(), std::back_inserter(shared));
            }
            common = common ? std::move(shared) : request;
        }
    }
    return common.value_or(Traits());
}

/// Returns the traits present at the most crashes, but at `minCrashes` at least; among equals, those that describe the fewest requests.
auto strongestSuspicion(const Records &records, std::size_t minCrashes) -> Suspicion
{
    const auto bursts = burstsOf(records);
    std::map<Fingerprint, Records> crashesOf;
    for (const auto *record : records) {
        for (const auto &request : record->requests) {
            for (const auto trait : request) {
                auto &crashes = crashesOf[trait];
                if (crashes.empty() || crashes.back() != record) {
                    crashes.push_back(record);
                }
            }
        }
    }
    Suspicion strongest;
    for (auto &[trait, crashes] : crashesOf) {
        if (crashes.size() < std::max(minCrashes, strongest.strength)) {
            continue;
        }
        const auto strength = strengthOf(crashes, bursts);
        if (strength < std::max(minCrashes, strongest.strength)) {
            continue;
        }
        auto companions = companionsOf(trait, crashes);
        if (strength > strongest.strength || companions.size() > strongest.traits.size()) {
            strongest = {std::move(companions), std::move(crashes), strength};
        }
    }
    return strongest;
}

} // namespace

auto traitsOf(Fingerprint request, std::span<const Fingerprint> promptParts) -> Traits
{
    Traits traits(promptParts.begin(), promptParts.end());
    traits.push_back(request);
    std::sort(traits.begin(), traits.end());
    traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
    return traits;
}

auto Quarantine::withoutSuccessful(std::span<const Fingerprint> traits, TimePoint crashedAt) const -> Traits
{
    Traits result;
    for (const auto trait : traits) {
        const auto success = m_successes.lastSuccess(trait);
        if (!success || *success + SuccessHistory::Lifetime < crashedAt) {
            result.push_back(trait);
        }
    }
    return result;
}

auto Quarantine::addRequests(CrashRecord &record, std::span<const Traits> requests) const -> bool
{
    bool added = false;
    for (const auto &request : requests) {
        auto traits = withoutSuccessful(std::span(request).first(std::min(request.size(), MaxTraits)), record.at);
        std::sort(traits.begin(), traits.end());
        const bool isKnown = traits.empty() || std::find(record.requests.begin(), record.requests.end(), traits) != record.requests.end();
        if (!isKnown && record.requests.size() < MaxRequestsPerRecord) {
            record.requests.push_back(std::move(traits));
            added = true;
        }
    }
    return added;
}

auto Quarantine::recordCrash(const CrashRecord &record, TimePoint now) -> bool
{
    expire(now);
    if (now - record.at > RecordLifetime) {
        return false;
    }
    auto known = m_records.find(record.upstream);
    if (known == m_records.end()) {
        CrashRecord added{record.upstream, record.observer, record.at, {}};
        if (!addRequests(added, record.requests)) {
            return false;
        }
        if (m_records.size() >= MaxRecords) {
            m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                             [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
        }
        known = m_records.emplace(added.upstream, std::move(added)).first;
    } else if (!addRequests(known->second, record.requests)) {
        return false;
    }
    known->second.at = std::min(known->second.at, record.at);
    renewEntries(known->second, now);
    evaluate(now);
    return true;
}

auto Quarantine::renewEntries(const CrashRecord &record, TimePoint now) -> void
{
    for (auto &entry : m_entries) {
        if (now >= entry.until && record.at >= entry.until && hasRequestWith(record, entry.traits)) {
            entry.until = now + m_limits.length;
            entry.upstreams = {record.upstream};
            entry.observer = record.observer;
            entry.lastCrash = record.at;
        }
    }
}

auto Quarantine::evaluate(TimePoint now) -> void
{
    Records unexplained;
    for (const auto &[upstream, record] : m_records) {
        unexplained.push_back(&record);
    }
    while (unexplained.size() >= m_limits.crashes) {
        const auto suspicion = strongestSuspicion(unexplained, m_limits.crashes);
        if (suspicion.crashes.empty()) {
            return;
        }
        Entry entry{suspicion.traits, now + m_limits.length, {}, {}, {}};
        for (const auto *crash : suspicion.crashes) {
            if (entry.upstreams.size() < MaxUpstreamsPerEntry) {
                entry.upstreams.push_back(crash->upstream);
            }
            if (crash->at >= entry.lastCrash) {
                entry.observer = crash->observer;
                entry.lastCrash = crash->at;
            }
        }
        addEntry(std::move(entry));
        std::erase_if(unexplained, [&suspicion](const CrashRecord *record) {
            return std::find(suspicion.crashes.begin(), suspicion.crashes.end(), record) != suspicion.crashes.end();
        });
    }
}

auto Quarantine::addEntry(Entry entry) -> bool
{
    const auto covers = [&entry](const Entry &known) { return includes(entry.traits, known.traits); };
    if (std::any_of(m_entries.begin(), m_entries.end(), covers)) {
        return false;
    }
    // Later crashes showed that fewer traits suffice, so the wider entry replaces the narrower ones.
    std::erase_if(m_entries, [&entry](const Entry &known) { return includes(known.traits, entry.traits); });
    if (entry.traits.empty() || m_entries.size() >= MaxEntries) {
        return false;
    }
    m_entries.push_back(std::move(entry));
    return true;
}

auto Quarantine::recordSuccess(std::span<const Fingerprint> traits, TimePoint at) -> bool
{
    bool wasSuspect = false;
    for (const auto trait : traits) {
        m_successes.add(trait, at);
        bool found = false;
        for (auto &[upstream, record] : m_records) {
            for (auto &request : record.requests) {
                found = (at + SuccessHistory::Lifetime >= record.at && std::erase(request, trait) > 0) || found;
            }
            std::erase_if(record.requests, [](const Traits &request) { return request.empty(); });
        }
        for (auto &entry : m_entries) {
            found = (at + SuccessHistory::Lifetime >= entry.lastCrash && std::erase(entry.traits, trait) > 0) || found;
        }
        if (found) {
            m_suspectSuccesses[trait] = at;
        }
        wasSuspect = wasSuspect || found;
    }
    if (wasSuspect) {
        std::erase_if(m_records, [](const auto &entry) { return entry.second.requests.empty(); });
        std::erase_if(m_entries, [](const Entry &entry) { return entry.traits.empty(); });
    }
    return wasSuspect;
}

/// Reports the successes with these traits, of which the VM that suspects them has not heard.
auto Quarantine::reportSuccesses(std::span<const Fingerprint> traits, TimePoint crashedAt) -> void
{
    for (const auto trait : traits) {
        if (const auto success = m_successes.lastSuccess(trait); success && *success + SuccessHistory::Lifetime >= crashedAt) {
            m_suspectSuccesses.try_emplace(trait, *success);
        }
    }
}

auto Quarantine::merge(const QuarantineReport &report, TimePoint now) -> bool
{
    bool isNew = false;
    for (const auto &success : report.successes) {
        isNew = recordSuccess({&success.fingerprint, 1}, now - success.age) || isNew;
    }
    for (const auto &crash : report.crashes) {
        for (const auto &request : crash.requests) {
            reportSuccesses(request, crash.at);
        }
        isNew = recordCrash(crash, now) || isNew;
    }
    for (const auto &entry : report.entries) {
        const auto lastCrash = now - entry.age;
        reportSuccesses(entry.traits, lastCrash);
        auto traits = withoutSuccessful(entry.traits, lastCrash);
        isNew = addEntry({std::move(traits), now + std::min(entry.remaining, m_limits.length), entry.upstreams, entry.observer, lastCrash})
            || isNew;
    }
    return isNew;
}

auto Quarantine::find(std::span<const Fingerprint> traits, TimePoint now) const -> std::optional<QuarantineEntry>
{
    for (const auto &entry : m_entries) {
        if (now < entry.until && includes(traits, entry.traits)) {
            return QuarantineEntry{entry.traits, entry.until - now, entry.upstreams, entry.observer, now - entry.lastCrash};
        }
    }
    return std::nullopt;
}

auto Quarantine::isSuspect(std::span<const Fingerprint> traits, TimePoint now) const -> bool
{
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &record) {
        return now - record.second.at <= RecordLifetime && std::any_of(traits.begin(), traits.end(), [&record](Fingerprint trait) {
                   return hasRequestWith(record.second, {&trait, 1});
               });
    });
}

auto Quarantine::entries(TimePoint now) const -> std::vector<QuarantineEntry>
{
    std::vector<QuarantineEntry> list;
    for (const auto &entry : m_entries) {
        if (now < entry.until) {
            list.push_back({entry.traits, entry.until - now, entry.upstreams, entry.observer, now - entry.lastCrash});
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.remaining > right.remaining; });
    return list;
}

auto Quarantine::report(TimePoint now) const -> QuarantineReport
{
    QuarantineReport result;
    result.entries = entries(now);
    for (const auto &[upstream, record] : m_records) {
        result.crashes.push_back(record);
    }
    for (const auto &[fingerprint, at] : m_suspectSuccesses) {
        result.successes.push_back({fingerprint, now - at});
    }
    return result;
}

auto Quarantine::expire(TimePoint now) -> void
{
    std::erase_if(m_records, [now](const auto &entry) { return now - entry.second.at > RecordLifetime; });
    std::erase_if(m_entries, [this, now](const Entry &entry) { return now >= entry.until + m_limits.length; });
    std::erase_if(m_suspectSuccesses, [now](const auto &entry) { return now - entry.second > SuccessHistory::Lifetime; });
    m_successes.expire(now);
}

} // namespace currantstack
