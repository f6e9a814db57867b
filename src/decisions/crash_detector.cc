#include "currantstack/decisions/crash_detector.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace currantstack
{

auto incarnationOf(const Upstream &upstream) -> std::string
{
    return fmt::format("{}@{}", upstream.id, upstream.startedAtMs);
}

auto CrashDetector::onConnectionClosed(const Upstream &upstream, Traits traits, TimePoint now) -> void
{
    expire(now);
    const auto name = incarnationOf(upstream);
    if (m_incarnations.size() >= MaxIncarnations && !m_incarnations.contains(name)) {
        return;
    }
    const auto [found, isNew] = m_incarnations.try_emplace(name, Incarnation{now, now, false, {}});
    if (found->second.ended) {
        m_hooks.onCrash(name, {std::move(traits)}, std::min(now, found->second.closedAt));
        return;
    }
    if (found->second.requests.size() < Quarantine::MaxRequestsPerRecord) {
        found->second.requests.push_back(std::move(traits));
    }
    if (isNew) {
        m_hooks.onProofNeeded(upstream);
    }
}

auto CrashDetector::onRefused(const std::string &incarnation, TimePoint now) -> void
{
    expire(now);
    if (m_incarnations.size() < MaxIncarnations || m_incarnations.contains(incarnation)) {
        confirm(incarnation, m_incarnations[incarnation], now);
    }
}

auto CrashDetector::onRemoved(const std::string &incarnation, TimePoint now) -> void
{
    expire(now);
    if (const auto found = m_incarnations.find(incarnation); found != m_incarnations.end()) {
        confirm(incarnation, found->second, now);
    }
}

auto CrashDetector::confirm(const std::string &incarnation, Incarnation &entry, TimePoint now) -> void
{
    entry.ended = true;
    entry.since = now;
    if (entry.closedAt == TimePoint()) {
        entry.closedAt = now; // refused before a closed connection was noticed
    }
    if (auto requests = std::exchange(entry.requests, {}); !requests.empty()) {
        m_hooks.onCrash(incarnation, std::move(requests), entry.closedAt);
    }
}

auto CrashDetector::onAlive(const std::string &incarnation) -> void
{
    if (const auto found = m_incarnations.find(incarnation); found != m_incarnations.end() && !found->second.ended) {
        m_incarnations.erase(found);
    }
}

auto CrashDetector::expire(TimePoint now) -> void
{
    std::erase_if(m_incarnations, [now](const auto &entry) { return now - entry.second.since > ProofTimeout; });
}

} // namespace currantstack
