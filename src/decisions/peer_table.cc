#include "currantstack/decisions/peer_table.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace currantstack
{

auto PeerTable::mergeListed(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now) -> void
{
    if (vm == m_self) {
        return;
    }
    auto &peer = m_peers.try_emplace(std::string(vm), Peer{{}, {}, now, {}, {}}).first->second;
    peer.place = place;
    peer.address = address;
    peer.listedAt = now;
}

auto PeerTable::merge(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now) -> bool
{
    if (vm == m_self) {
        return false;
    }
    const auto [found, isNew] = m_peers.try_emplace(std::string(vm), Peer{{}, {}, now, {}, {}});
    auto &peer = found->second;
    peer.place = place;
    peer.address = address;
    peer.receivedAt = now;
    return isNew;
}

auto PeerTable::expire(TimePoint now) -> void
{
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.receivedAt > UnlistedLifetime && now - entry.second.listedAt > ListedLifetime;
    });
}

auto PeerTable::neighbours() const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> result;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.place == m_place) {
            result.push_back(peer.address);
        }
    }
    return result;
}

auto PeerTable::reportTargets() const -> std::vector<SocketAddress>
{
    if (!isSmall()) {
        return neighbours();
    }
    std::vector<SocketAddress> result;
    for (const auto &[vm, peer] : m_peers) {
        result.push_back(peer.address);
    }
    return result;
}

auto PeerTable::relayTargets(std::uint64_t sequence) const -> std::vector<SocketAddress>
{
    std::map<std::string_view, std::vector<const Peer *>> places;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.place != m_place) {
            places[peer.place].push_back(&peer);
        }
    }
    std::vector<SocketAddress> result;
    for (const auto &[place, peers] : places) {
        result.push_back(peers[sequence % peers.size()]->address);
    }
    return result;
}

auto PeerTable::sample(std::size_t count, Random &random) const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> all;
    for (const auto &[vm, peer] : m_peers) {
        all.push_back(peer.address);
    }
    std::vector<SocketAddress> result;
    std::sample(all.begin(), all.end(), std::back_inserter(result), count, random);
    return result;
}

auto PeerTable::holders(std::uint64_t key, std::size_t count) const -> std::vector<SocketAddress>
{
    std::vector<std::pair<std::uint64_t, const SocketAddress *>> ranked;
    ranked.reserve(m_peers.size());
    for (const auto &[vm, peer] : m_peers) {
        ranked.emplace_back(hash64(vm, key), &peer.address);
    }
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<SocketAddress> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(*ranked[index].second);
    }
    return result;
}

auto PeerTable::hearsNoPeer(TimePoint now) const -> bool
{
    const auto isHeard = [now](const auto &entry) {
        return now - std::max(entry.second.receivedAt, entry.second.knownSince) < ReportLifetime;
    };
    return !m_peers.empty() && std::none_of(m_peers.begin(), m_peers.end(), isHeard);
}

auto PeerTable::reportingVms(TimePoint now) const -> std::size_t
{
    std::size_t reporting = 0;
    std::size_t neighbourCount = 0;
    for (const auto &[vm, peer] : m_peers) {
        reporting += now - peer.receivedAt < ReportLifetime ? 1 : 0;
        neighbourCount += peer.place == m_place ? 1 : 0;
    }
    return !isSmall() && 2 * reporting >= neighbourCount && reporting > 0 ? m_peers.size() + 1 : reporting + 1;
}

auto PeerTable::isAggregator(TimePoint now) const -> bool
{
    for (const auto &[vm, peer] : m_peers) {
        if (peer.place == m_place && vm < m_self && now - peer.receivedAt < ReportLifetime) {
            return false;
        }
    }
    return true;
}

} // namespace currantstack
