#include "currantstack/decisions/load_table.h"

#include <algorithm>

namespace currantstack
{

auto WorkUnderWay::operator+=(const WorkUnderWay &other) -> WorkUnderWay &
{
    promptTokens += other.promptTokens;
    kvTokens += other.kvTokens;
    requests += other.requests;
    return *this;
}

auto WorkUnderWay::operator-=(const WorkUnderWay &other) -> WorkUnderWay &
{
    promptTokens = std::max(0.0, promptTokens - other.promptTokens);
    kvTokens = std::max(0.0, kvTokens - other.kvTokens);
    requests = std::max(0, requests - other.requests);
    return *this;
}

auto WorkUnderWay::isEmpty() const -> bool
{
    return promptTokens <= 0 && kvTokens <= 0 && requests == 0;
}

auto LoadTable::add(std::string_view upstream, const WorkUnderWay &work) -> void
{
    const auto found = m_own.find(upstream);
    if (found == m_own.end()) {
        m_own.emplace(std::string(upstream), work);
    } else {
        found->second += work;
    }
}

auto LoadTable::remove(std::string_view upstream, const WorkUnderWay &work) -> void
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

auto LoadTable::hear(std::string_view vm, std::uint64_t sequence, std::span<const UpstreamWork> works, TimePoint now) -> void
{
    auto &peer = m_peers[std::string(vm)];
    if (sequence < peer.sequence && now - peer.heardAt < PeerLife) {
        return; // overtaken on the way
    }
    peer.sequence = sequence;
    peer.heardAt = now;
    peer.works.clear();
    for (const auto &entry : works) {
        peer.works.emplace(entry.upstream, entry.work);
    }
}

auto LoadTable::total(std::string_view upstream, TimePoint now) const -> WorkUnderWay
{
    WorkUnderWay sum;
    if (const auto found = m_own.find(upstream); found != m_own.end()) {
        sum += found->second;
    }
    for (const auto &[vm, peer] : m_peers) {
        if (now - peer.heardAt >= PeerLife) {
            continue;
        }
        if (const auto found = peer.works.find(upstream); found != peer.works.end()) {
            sum += found->second;
        }
    }
    return sum;
}

auto LoadTable::own() const -> std::vector<UpstreamWork>
{
    std::vector<UpstreamWork> works;
    for (const auto &[upstream, work] : m_own) {
        works.push_back({upstream, work});
    }
    return works;
}

auto LoadTable::sumOf(const std::function<bool(std::string_view source)> &admits, TimePoint now) const -> std::vector<UpstreamWork>
{
    auto sum = m_own;
    for (const auto &[source, peer] : m_peers) {
        if (now - peer.heardAt >= PeerLife || !admits(source)) {
            continue;
        }
        for (const auto &[upstream, work] : peer.works) {
            sum[upstream] += work;
        }
    }
    std::vector<UpstreamWork> works;
    for (const auto &[upstream, work] : sum) {
        works.push_back({upstream, work});
    }
    return works;
}

auto LoadTable::peers(TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [now](const auto &entry) { return now - entry.second.heardAt < PeerLife; }));
}

} // namespace currantstack
