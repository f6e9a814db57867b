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
    const auto [found, isNew] = m_incarnations.try_emplace(name);
    auto &entry = found->second;
    if (entry.ended) {
        m_hooks.onCrash(name, {std::move(traits)}, std::min(now, entry.closedAt));
        return;
    }
    if (entry.requests.empty()) {
        entry.since = now;
        entry.closedAt = now;
    }
    if (entry.requests.size() < Quarantine::MaxRequestsPerRecord) {
        entry.requests.push_back(std::move(traits));
    }
    if (isNew || now - entry.askedAt >= ProofPeriod) {
        entry.askedAt = now;
        m_hooks.onProofNeeded(upstream);
    }
}

auto CrashDetector::onEndProved(const std::string &incarnation, TimePoint now) -> void
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
        entry.closedAt = now; // proved before a closed connection was noticed
    }
    if (auto requests = std::exchange(entry.requests, {}); !requests.empty()) {
        m_hooks.onCrash(incarnation, std::move(requests), entry.closedAt);
    }
}

auto CrashDetector::onAlive(const std::string &incarnation) -> void
{
    if (const auto found = m_incarnations.find(incarnation); found != m_incarnations.end() && !found->second.ended) {
        found->second.requests.clear();
    }
}

auto CrashDetector::expire(TimePoint now) -> void
{
    std::erase_if(m_incarnations, [now](const auto &entry) { return now - entry.second.since > ProofTimeout; });
}

} // namespace currantstack
