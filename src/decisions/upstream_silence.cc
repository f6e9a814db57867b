#include "currantstack/decisions/upstream_silence.h"

#include <algorithm>

namespace currantstack
{

auto UpstreamSilence::record(std::string_view upstream, TimePoint now) -> Record &
{
    auto found = m_records.find(upstream);
    if (found == m_records.end()) {
        std::erase_if(m_records, [now](const auto &entry) { return now - entry.second.touchedAt > RecordLifetime; });
        found = m_records.emplace(std::string(upstream), Record()).first;
    }
    found->second.touchedAt = now;
    return found->second;
}

auto UpstreamSilence::onHeard(std::string_view upstream, TimePoint now) -> void
{
    auto &entry = record(upstream, now);
    entry.heardAt = now;
    entry.unanswered = 0;
    entry.suspectedUntil = {};
    entry.awaitedUntil = {};
    entry.witnessedAt = {};
}

auto UpstreamSilence::onUnanswered(const Upstream &upstream, TimePoint sentAt, TimePoint now) -> bool
{
    auto &entry = record(upstream.id, now);
    if (sentAt < entry.heardAt) {
        return false;
    }
    ++entry.unanswered;
    entry.upstream = upstream;
    entry.suspectedUntil = now + SuspicionLifetime;
    return true;
}

auto UpstreamSilence::onWitness(std::string_view upstream, TimePoint now) -> void
{
    record(upstream, now).witnessedAt = now;
}

auto UpstreamSilence::onAwaited(const Upstream &upstream, TimePoint since, TimePoint now) -> void
{
    auto &entry = record(upstream.id, now);
    if (now >= entry.awaitedUntil) {
        entry.awaitedSince = since;
    }
    entry.awaitedSince = std::min(entry.awaitedSince, since);
    entry.awaitedUntil = now + SuspicionLifetime;
    entry.upstream = upstream;
}

auto UpstreamSilence::endReason(const Upstream &upstream, EntryState entry, TimePoint since, TimePoint now) const -> EndReason
{
    const auto found = m_records.find(upstream.id);
    const auto heardAt = found == m_records.end() ? TimePoint() : found->second.heardAt;
    if (entry == EntryState::Replaced) {
        // What another process sends under the same id says nothing about this stream.
        return now - since >= ReplacedAfter ? EndReason::Replaced : EndReason::None;
    }
    const auto silence = now - std::max(since, heardAt);
    if (silence < GoneAfter || found == m_records.end() || found->second.unanswered == 0) {
        return EndReason::None;
    }
    if (entry == EntryState::Removed) {
        return EndReason::Removed;
    }
    const auto &record = found->second;
    const bool isWitnessed = record.witnessedAt > heardAt && now - record.witnessedAt < WitnessLifetime;
    return silence >= DarkAfter && record.unanswered >= ProbesUntilDark && isWitnessed ? EndReason::Silent : EndReason::None;
}

auto UpstreamSilence::takeDueProbes(TimePoint now) -> std::vector<Upstream>
{
    std::vector<Upstream> result;
    for (auto &[id, entry] : m_records) {
        const bool isAwaited = now < entry.awaitedUntil && now - std::max(entry.awaitedSince, entry.heardAt) >= ProbeAfter;
        if (entry.upstream && (isAwaited || now < entry.suspectedUntil) && now - entry.probedAt >= ProbePeriod) {
            entry.probedAt = now;
            result.push_back(*entry.upstream);
        }
    }
    return result;
}

auto UpstreamSilence::unanswered(std::string_view upstream) const -> int
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? 0 : found->second.unanswered;
}

auto UpstreamSilence::hasHeard(std::string_view upstream, TimePoint since) const -> bool
{
    const auto found = m_records.find(upstream);
    return found != m_records.end() && found->second.heardAt >= since;
}

auto UpstreamSilence::reset(std::string_view upstream) -> void
{
    if (const auto found = m_records.find(upstream); found != m_records.end()) {
        m_records.erase(found);
    }
}

auto name(EntryState state) -> std::string_view
{
    switch (state) {
    case EntryState::Present:
        return "present";
    case EntryState::Removed:
        return "removed";
    case EntryState::Replaced:
        break;
    }
    return "replaced";
}

auto name(EndReason reason) -> std::string_view
{
    switch (reason) {
    case EndReason::Replaced:
        return "replaced";
    case EndReason::Removed:
        return "removed";
    case EndReason::Silent:
        return "silent";
    case EndReason::None:
        break;
    }
    return "none";
}

} // namespace currantstack
