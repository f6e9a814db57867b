// Decides which VMs exchange load reports, so that the number of messages does not grow with the square of the number of VMs.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/peer_protocol.h"
#include "currantstack/decisions/relay_choice.h"
#include "currantstack/placement.h"
#include "currantstack/socket_address.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The other VMs, known from the store's list and from their datagrams.
class PeerTable
{
public:
    /// In a fleet up to this size, every VM reports to every other. In a larger one, VMs report to their own place, and an aggregator
    /// of each place sends the aggregate to the other places.
    static constexpr std::size_t SmallFleet = 16;
    /// A VM that is not in the store's list is dropped after this time without a datagram.
    static constexpr Duration UnlistedLifetime = seconds(10);
    /// A listed VM is retained for longer, as the list is read only from time to time.
    static constexpr Duration ListedLifetime = seconds(40);
    /// A VM counts as reporting for this time after its last datagram.
    static constexpr Duration ReportLifetime = milliseconds(1500);
    /// A VM that reports for this time without its protocol is of a build that does not report it.
    static constexpr Duration ProtocolLifetime = seconds(2);
    /// A VM of a build that does not report whether it takes requests of other VMs is not asked for this time after it refused a
    /// connection.
    static constexpr Duration RefusalLifetime = seconds(10);

    static constexpr std::int64_t VerifyingProtocol = 2;
    static constexpr std::int64_t TenantProtocol = 4; // from which on VMs take requests whose keys another VM has verified
    static constexpr std::int64_t SilenceProtocol = 3; // from which on VMs know notices of silent upstreams
    static constexpr std::int64_t RecordProtocol = 5; // from which on VMs rely on the store's record of software versions alone

    PeerTable(std::string self, std::string place)
        : m_self(std::move(self))
        , m_place(std::move(place))
    { }

    /// Adds or updates a VM from the store's list, which says what the VM could do when it registered.
    auto mergeListed(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now,
                     const PeerProtocol &protocol = {}) -> void;

    /// Adds or updates a VM from which a datagram was received. Returns true if it was not known.
    auto merge(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now) -> bool;

    /// Records what the VM reports of its build; not every report says it. Returns what is known now, or nothing if the VM has not been
    /// known for long enough.
    auto setProtocol(std::string_view vm, const std::optional<PeerProtocol> &reported, TimePoint now) -> std::optional<PeerProtocol>;

    /// Records that nothing listens where the VM would take requests of other VMs.
    auto onRelayConnectionRefused(std::string_view vm, TimePoint now) -> void;

    /// Returns whether no VM is known to have a lower protocol.
    auto allHaveProtocol(std::int64_t number) const -> bool;

    /// Returns the number of other VMs by the number of their protocol.
    auto countByProtocol() const -> std::map<std::int64_t, std::size_t>;

    /// Records the services from whose upstreams the VM reports to be cut off.
    auto setCutOff(std::string_view vm, std::vector<std::string> services) -> void;

    /// Records the services from whose upstreams most VMs of another place are cut off.
    auto setPlaceCutOff(std::string_view place, std::vector<std::string> services, TimePoint now) -> void;

    /// Returns the services from whose upstreams most VMs of this VM's place are cut off; `own` are those of this VM.
    auto placeCutOff(std::span<const std::string> own, TimePoint now) const -> std::vector<std::string>;

    /// Returns the VMs that may forward a request for the service: those not known to be cut off from it, or
    /// to take no requests.
    auto relayCandidates(std::string_view service, const PlaceMap &places, TimePoint now) const -> std::vector<RelayCandidate>;

    /// Returns whether a VM has this address.
    auto hasAddress(std::string_view ip) const -> bool;

    /// Drops the VMs that are neither listed nor send datagrams.
    auto expire(TimePoint now) -> void;

    /// Returns the VMs to which this VM reports each change of its own work.
    auto reportTargets() const -> std::vector<SocketAddress>;

    /// Returns the other VMs of this VM's place.
    auto neighbours() const -> std::vector<SocketAddress>;

    /// Returns one VM of each other place, which relays a message within its place. Successive sequence numbers select different VMs.
    auto relayTargets(std::uint64_t sequence) const -> std::vector<SocketAddress>;

    /// Returns up to `count` VMs of all places, chosen at random.
    auto sample(std::size_t count, Random &random) const -> std::vector<SocketAddress>;

    /// Returns the `count` VMs that rendezvous hashing assigns to the key. VMs that know the same peers compute the same.
    auto holders(std::uint64_t key, std::size_t count) const -> std::vector<SocketAddress>;

    /// Returns whether rendezvous hashing assigns the key to this VM as one of `count`, among itself and the VMs that report to it.
    auto isHolder(std::uint64_t key, std::size_t count, TimePoint now) const -> bool;

    /// Returns the time since which most VMs of the fleet, this one included, have sent a datagram. In a large fleet, these are most VMs of
    /// this place, and aggregates of most places. That a VM has become known proves no contact.
    auto mostHeardAt(TimePoint now) const -> TimePoint;

    /// Returns whether the VM's notice confirms the end of an upstream that this VM does not reach. VMs of one place may have lost the
    /// same links, so only those of other places count if any reports to this VM. VMs of builds before `VerifyingProtocol` repeat
    /// notices of others as their own.
    auto isWitness(std::string_view vm, TimePoint now) const -> bool;

    /// Returns whether this VM sends the aggregate of its place: the first by name among the VMs of the place that report.
    auto isAggregator(TimePoint now) const -> bool;

    /// Returns the number of VMs, including this one, whose reports reach this VM, directly or in aggregates. In a small fleet, these
    /// are the VMs that report. In a large fleet, VMs of other places do not report to this VM, but the neighbours relay the
    /// aggregates: if the VMs that report are at least half as many as the neighbours, all VMs count.
    auto reportingVms(TimePoint now) const -> std::size_t;

    auto isSmall() const -> bool
    {
        return m_peers.size() < SmallFleet;
    }

    auto knows(std::string_view vm) const -> bool
    {
        return m_peers.contains(vm);
    }

    auto size() const -> std::size_t
    {
        return m_peers.size();
    }

private:
    struct Peer
    {
        std::string place;
        SocketAddress address;
        TimePoint knownSince;
        TimePoint receivedAt; // last datagram
        TimePoint listedAt;
        std::vector<std::string> cutOff = {}; // services, as last reported
        PeerProtocol protocol = {}; // as last reported, or as listed
        TimePoint protocolAt = {}; // last report of it
        TimePoint relayRefusedAt = {};
    };

    static auto mayTakeRelays(const Peer &peer, TimePoint now) -> bool;

    struct PlaceReport
    {
        std::vector<std::string> cutOff; // services
        TimePoint at;
    };

    std::string m_self;
    std::string m_place;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::map<std::string, PlaceReport, std::less<>> m_placeReports; // of other places in a large fleet
};

} // namespace currantstack
