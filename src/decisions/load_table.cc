#include "currantstack/decisions/load_table.h"

#include <algorithm>

namespace currantstack
{

auto InFlightWork::operator+=(const InFlightWork &other) -> InFlightWork &
{
    promptTokens += other.promptTokens;
    kvTokens += other.kvTokens;
    requests += other.requests;
    return *this;
}

auto InFlightWork::operator-=(const InFlightWork &other) -> InFlightWork &
{
    promptTokens = std::max(0.0, promptTokens - other.promptTokens);
    kvTokens = std::max(0.0, kvTokens - other.kvTokens);
    requests = std::max(0, requests - other.requests);
    return *this;
}

auto InFlightWork::isEmpty() const -> bool
{
    return promptTokens <= 0 && kvTokens <= 0 && requests == 0;
}

auto LoadTable::add(std::string_view upstream, const InFlightWork &work) -> void
{
    const auto found = m_own.find(upstream);
    if (found == m_own.end()) {
        m_own.emplace(std::string(upstream), work);
    } else {
        found->second += work;
    }
}

auto LoadTable::remove(std::string_view upstream, const InFlightWork &work) -> void
{
    const auto found = m_own.find(upstream);
    if (found == m_own.end()) {
        return;
    }
    found->second -= work;
    if (found->second.isEmpty()) {
        m_own.erase(found);
    }
}

auto LoadTable::merge(std::string_view vm, std::uint64_t sequence, std::span<const UpstreamLoad> works, TimePoint now) -> void
{
    auto &peer = m_peers[std::string(vm)];
    if (sequence < peer.sequence && now - peer.heardAt < ReportLifetime) {
        return; // overtaken on the way
    }
    peer.sequence = sequence;
    peer.heardAt = now;
    peer.works.clear();
    for (const auto &entry : works) {
        peer.works.emplace(entry.upstream, entry.work);
    }
}

auto LoadTable::total(std::string_view upstream, TimePoint now) const -> InFlightWork
{
    InFlightWork sum;
    if (const auto found = m_own.find(upstream); found != m_own.end()) {
        sum += found->second;
    }
    for (const auto &[vm, peer] : m_peers) {
        if (now - peer.heardAt >= ReportLifetime) {
            continue;
        }
        if (const auto found = peer.works.find(upstream); found != peer.works.end()) {
            sum += found->second;
        }
    }
    return sum;
}

auto LoadTable::own() const -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> works;
    for (const auto &[upstream, work] : m_own) {
        works.push_back({upstream, work});
    }
    return works;
}

auto LoadTable::aggregate(const std::function<bool(std::string_view source)> &admits, TimePoint now) const -> std::vector<UpstreamLoad>
{
    auto sum = m_own;
    for (const auto &[source, peer] : m_peers) {
        if (now - peer.heardAt >= ReportLifetime || !admits(source)) {
            continue;
        }
        for (const auto &[upstream, work] : peer.works) {
            sum[upstream] += work;
        }
    }
    std::vector<UpstreamLoad> works;
    for (const auto &[upstream, work] : sum) {
        works.push_back({upstream, work});
    }
    return works;
}

auto LoadTable::reportingPeers(TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [now](const auto &entry) { return now - entry.second.heardAt < ReportLifetime; }));
}

} // namespace currantstack
