#include "currantstack/decisions/peer_table.h"

#include "currantstack/codec.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace currantstack
{

namespace
{

/// Returns how many others are, together with one VM, most of all.
auto neededForMost(std::size_t others) -> std::size_t
{
    return (others + 1) / 2;
}

/// Returns the time since which as many were heard as are needed.
auto heardSince(std::vector<TimePoint> heardAt, std::size_t needed, TimePoint now) -> TimePoint
{
    if (needed == 0) {
        return now;
    }
    const auto last = heardAt.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(heardAt.begin(), last, heardAt.end(), std::greater<>());
    return *last;
}

auto contains(std::span<const std::string> services, std::string_view service) -> bool
{
    return std::find(services.begin(), services.end(), service) != services.end();
}

} // namespace

auto PeerTable::mergeListed(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now,
                            const PeerProtocol &protocol) -> void
{
    if (vm == m_self) {
        return;
    }
    auto &peer = m_peers.try_emplace(std::string(vm), Peer{{}, {}, now, {}, {}}).first->second;
    peer.place = place;
    peer.address = address;
    peer.listedAt = now;
    if (now - peer.receivedAt >= ReportLifetime) {
        peer.protocol = protocol; // the VM's own reports are newer than the list
    }
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

auto PeerTable::setProtocol(std::string_view vm, const std::optional<PeerProtocol> &reported, TimePoint now) -> std::optional<PeerProtocol>
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    auto &peer = found->second;
    if (reported) {
        peer.protocol = *reported;
        peer.protocolAt = now;
    } else if (now - std::max(peer.protocolAt, peer.knownSince) >= ProtocolLifetime) {
        peer.protocol = {};
    } else if (peer.protocolAt == TimePoint{}) {
        return std::nullopt;
    }
    return peer.protocol;
}

auto PeerTable::onRelayConnectionRefused(std::string_view vm, TimePoint now) -> void
{
    if (const auto found = m_peers.find(vm); found != m_peers.end()) {
        found->second.relayRefusedAt = now;
    }
}

auto PeerTable::mayTakeRelays(const Peer &peer, TimePoint now) -> bool
{
    return peer.protocol.isReported() ? peer.protocol.takesRelays : now - peer.relayRefusedAt >= RefusalLifetime;
}

auto PeerTable::countByProtocol() const -> std::map<std::int64_t, std::size_t>
{
    std::map<std::int64_t, std::size_t> result;
    for (const auto &[vm, peer] : m_peers) {
        ++result[peer.protocol.number];
    }
    return result;
}

auto PeerTable::setCutOff(std::string_view vm, std::vector<std::string> services) -> void
{
    if (const auto found = m_peers.find(vm); found != m_peers.end()) {
        found->second.cutOff = std::move(services);
    }
}

auto PeerTable::setPlaceCutOff(std::string_view place, std::vector<std::string> services, TimePoint now) -> void
{
    if (place != m_place) {
        m_placeReports.insert_or_assign(std::string(place), PlaceReport{std::move(services), now});
    }
}

auto PeerTable::placeCutOff(std::span<const std::string> own, TimePoint now) const -> std::vector<std::string>
{
    std::size_t reporting = 1;
    std::map<std::string, std::size_t> cutOff; // VMs by service
    const auto count = [&cutOff](std::span<const std::string> services) {
        for (const auto &service : services) {
            ++cutOff[service];
        }
    };
    count(own);
    for (const auto &[vm, peer] : m_peers) {
        if (peer.place == m_place && now - peer.receivedAt < ReportLifetime) {
            ++reporting;
            count(peer.cutOff);
        }
    }
    std::vector<std::string> result;
    for (const auto &[service, vms] : cutOff) {
        if (2 * vms > reporting) {
            result.push_back(service);
        }
    }
    return result;
}

auto PeerTable::relayCandidates(std::string_view service, const PlaceMap &places, TimePoint now) const -> std::vector<RelayCandidate>
{
    std::vector<RelayCandidate> result;
    for (const auto &[vm, peer] : m_peers) {
        const bool reports = now - peer.receivedAt < ReportLifetime;
        const auto place = m_placeReports.find(peer.place);
        const bool isPlaceCutOff =
            place != m_placeReports.end() && now - place->second.at < ReportLifetime && contains(place->second.cutOff, service);
        const bool isCutOff = reports ? contains(peer.cutOff, service) : isPlaceCutOff;
        const bool isSilent = !reports && (isSmall() || peer.place == m_place); // it would report if it ran
        if (!isCutOff && !isSilent && mayTakeRelays(peer, now)) {
            result.push_back(
                {vm, peer.address, places.distance(m_place, peer.place), reports, 0, peer.protocol.takesRelays, peer.protocol.number});
        }
    }
    return result;
}

auto PeerTable::hasAddress(std::string_view ip) const -> bool
{
    return std::any_of(m_peers.begin(), m_peers.end(), [ip](const auto &entry) { return entry.second.address.ip == ip; });
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

auto PeerTable::allHaveProtocol(std::int64_t number) const -> bool
{
    return std::all_of(m_peers.begin(), m_peers.end(), [number](const auto &entry) { return entry.second.protocol.number >= number; });
}

auto PeerTable::isHolder(std::uint64_t key, std::size_t count, TimePoint now) const -> bool
{
    const auto own = hash64(m_self, key);
    const auto before = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return now - entry.second.receivedAt < ReportLifetime && hash64(entry.first, key) > own;
    });
    return static_cast<std::size_t>(before) < count;
}

auto PeerTable::mostHeardAt(TimePoint now) const -> TimePoint
{
    std::vector<TimePoint> vms;
    std::map<std::string_view, TimePoint> places;
    for (const auto &[vm, peer] : m_peers) {
        if (isSmall() || peer.place == m_place) {
            vms.push_back(peer.receivedAt);
        } else {
            const auto report = m_placeReports.find(peer.place);
            const auto reportedAt = report == m_placeReports.end() ? TimePoint() : report->second.at;
            places[peer.place] = std::max(places[peer.place], reportedAt);
        }
    }
    std::vector<TimePoint> ofPlaces;
    std::transform(places.begin(), places.end(), std::back_inserter(ofPlaces), [](const auto &place) { return place.second; });
    const auto neededVms = neededForMost(vms.size());
    const auto neededPlaces = neededForMost(ofPlaces.size());
    return std::min(heardSince(std::move(vms), neededVms, now), heardSince(std::move(ofPlaces), neededPlaces, now));
}

auto PeerTable::isWitness(std::string_view vm, TimePoint now) const -> bool
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end() || found->second.protocol.number < VerifyingProtocol) {
        return false;
    }
    return found->second.place != m_place || std::none_of(m_peers.begin(), m_peers.end(), [this, now](const auto &entry) {
               return entry.second.place != m_place && now - entry.second.receivedAt < ReportLifetime;
           });
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
