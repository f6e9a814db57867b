// Exchange of load reports between VMs: each VM's requests in flight at every upstream, in UDP datagrams.
#pragma once

#include "currantstack/decisions/peer_table.h"
#include "currantstack/edge/context.h"
#include "currantstack/edge/directory_controller.h"
#include "currantstack/edge/load_message.h"
#include "currantstack/edge/origin_message.h"
#include "currantstack/edge/quarantine_message.h"
#include "currantstack/edge/vm_registry.h"

#include <ev.h>
#include <set>

namespace currantstack
{

/// Reports this VM's load to its peers when it or the excluded upstreams have changed, and merges theirs. In a large fleet a VM reports to
/// the VMs of its place only, and one VM of each place, the aggregator, sends the place's aggregate to the other places. Each message
/// replaces the previous one of its source, so a lost datagram needs no retransmission.
class LoadExchange
{
public:
    static constexpr Duration Period = milliseconds(60); // between reports while the load changes; well under the duration of a prefill
    static constexpr Duration IdlePeriod = milliseconds(300); // while nothing changes
    static constexpr Duration AggregatePeriod = milliseconds(300); // between aggregates to other places; that traffic is expensive
    /// Between reports of software versions, while a service has several and none has appeared.
    static constexpr Duration VersionsPeriod = milliseconds(500);
    static constexpr Duration ProtocolPeriod = milliseconds(500); // between reports of this VM's protocol; a quarter of its lifetime
    static constexpr std::size_t RowsPerDatagram = 36; // of about 35 bytes each, so that a datagram fits the usual path MTU

    LoadExchange(EdgeContext &context, DirectoryController &directory);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    auto operator=(const LoadExchange &) -> LoadExchange & = delete;

    /// Opens the socket and starts to send.
    auto start() -> Result<void>;

    /// Updates the peers from the store's list of VMs.
    auto setPeers(const VmRecords &vms) -> void;

    /// Returns whether the store's list of VMs has been read.
    auto knowsPeers() const -> bool
    {
        return m_peersListed;
    }

    /// Sets the receiver of the datagrams that begin with `QuarantineMagic`.
    auto setReportHandler(std::function<void(std::string_view bytes)> handler) -> void
    {
        m_onReport = std::move(handler);
    }

    /// Sets the receiver of other VMs' notices that an upstream's entry is outdated, or that it is silent. `isWitness` says whether the
    /// notice confirms what this VM has found.
    auto setEndNoticeHandler(std::function<void(const ExclusionNotice &notice, bool isWitness)> handler) -> void
    {
        m_onEndNotice = std::move(handler);
    }

    /// Returns whether rendezvous hashing assigns the key to this VM as one of `count`, among the VMs that it hears.
    auto isHolder(std::uint64_t key, std::size_t count) const -> bool
    {
        return m_peers.isHolder(key, count, m_context.clock.now());
    }

    /// Returns the addresses of all other VMs in a small fleet, and none in a large one.
    auto smallFleet() const -> std::vector<SocketAddress>
    {
        return m_peers.isSmall() ? m_peers.reportTargets() : std::vector<SocketAddress>();
    }

    /// Returns the number of known VMs, this one included.
    auto vms() const -> std::size_t
    {
        return m_peers.size() + 1;
    }

    /// Returns whether no VM is known to have a lower protocol.
    auto allHaveProtocol(std::int64_t number) const -> bool
    {
        return m_peers.allHaveProtocol(number);
    }

    /// Returns whether the store's list names no other VM, and none has been heard.
    auto isAlone() const -> bool
    {
        return m_peersListed && m_peers.size() == 0;
    }

    /// Returns whether there may be other VMs that find the end of an upstream as well. VMs that this one does not hear count, because
    /// its links to them may be lost together with those to upstreams.
    auto mayHaveWitnesses() const -> bool
    {
        return !isAlone();
    }

    /// Sets the receiver of the datagrams that begin with `OriginMagic`.
    auto setOriginHandler(std::function<void(std::string_view bytes, const SocketAddress &from)> handler) -> void
    {
        m_onOrigins = std::move(handler);
    }

    /// Returns the `count` VMs that rendezvous hashing assigns to the key.
    auto holders(std::uint64_t key, std::size_t count) const -> std::vector<SocketAddress>
    {
        return m_peers.holders(key, count);
    }

    /// Sends the datagram to the holders of the key; returns their number.
    auto sendToHolders(std::string_view bytes, std::uint64_t key, std::size_t count) -> std::size_t;

    auto sendTo(std::string_view bytes, const SocketAddress &target) -> void
    {
        sendBytes(bytes, {&target, 1});
    }

    /// Returns the time since which most VMs have been heard.
    auto mostHeardAt() const -> TimePoint
    {
        return m_peers.mostHeardAt(m_context.clock.now());
    }

    /// Sends the datagram to the VMs that receive this VM's loads, and to one VM of each other place in a large fleet.
    auto sendToAll(std::string_view bytes) -> void;

    /// Sends the datagram to the other VMs of this place.
    auto sendToPlace(std::string_view bytes) -> void;

    /// Sends the datagram to `count` VMs chosen at random.
    auto sendToSome(std::string_view bytes, std::size_t count) -> void;

    /// Returns the VMs that may forward a request for the service; see `PeerTable::relayCandidates`.
    auto relayCandidates(std::string_view service) const -> std::vector<RelayCandidate>
    {
        return m_peers.relayCandidates(service, m_context.settings.places, m_context.clock.now());
    }

    /// See `PeerTable::onRelayConnectionRefused`.
    auto onRelayConnectionRefused(std::string_view vm) -> void
    {
        m_peers.onRelayConnectionRefused(vm, m_context.clock.now());
    }

    /// Returns whether another VM has this address.
    auto isPeer(std::string_view ip) const -> bool
    {
        return m_peers.hasAddress(ip);
    }

    /// Returns the number of VMs, including this one, whose store revisions reach this VM.
    auto reportingVms() const -> std::size_t
    {
        return m_peers.reportingVms(m_context.clock.now());
    }

private:
    static auto onReadable(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    auto receive() -> void;
    auto onMessage(const LoadMessage &message, const SocketAddress &from) -> void;
    auto observeProtocol(const LoadMessage &message) -> void;
    auto countProtocols() -> void;
    auto mergeLimits(const LoadMessage &message) -> void;
    auto understood(std::vector<ExclusionNotice> notices) const -> std::vector<ExclusionNotice>;
    auto sendLocalLoads() -> void;
    auto meanPlaceCosts() const -> std::vector<ServiceCost>;
    auto sendAggregate() -> void;
    auto send(LoadMessage message, std::span<const SocketAddress> targets) -> void;
    auto sendBytes(std::string_view bytes, std::span<const SocketAddress> targets) -> void;

    EdgeContext &m_context;
    DirectoryController &m_directory;
    PeerTable m_peers;
    bool m_peersListed = false;
    std::map<std::string, std::int64_t, std::less<>> m_protocolsHeard; // number of the protocol that each VM reported last
    std::set<std::int64_t> m_protocolsCounted; // numbers that have a gauge
    std::function<void(std::string_view bytes)> m_onReport;
    std::function<void(const ExclusionNotice &notice, bool isWitness)> m_onEndNotice;
    std::function<void(std::string_view bytes, const SocketAddress &from)> m_onOrigins;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_aggregateTimer;
    std::string m_lastLoads; // last report, encoded
    std::set<std::string, std::less<>> m_lastExcluded; // upstreams of the notices in the last report
    std::int64_t m_routesVersionSent = 0;
    TimePoint m_sentAt;
    TimePoint m_versionsSentAt;
    std::uint64_t m_versionsSent = 0; // generation of the versions in the last report of them
    TimePoint m_protocolSentAt;
    PeerProtocol m_protocolSent;
    std::uint64_t m_sequence;
    int m_localParts = 0; // datagrams of the last report
    int m_aggregateParts = 0; // datagrams of the last aggregate
    ev_io m_io{};
    int m_socket = -1;
};

} // namespace currantstack
