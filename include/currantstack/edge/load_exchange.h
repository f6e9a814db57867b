// VMs tell one another in datagrams what they have under way at each upstream.
#pragma once

#include "currantstack/decisions/peer_table.h"
#include "currantstack/edge/context.h"
#include "currantstack/edge/directory_controller.h"
#include "currantstack/edge/load_message.h"
#include "currantstack/edge/vm_registry.h"

#include <ev.h>

namespace currantstack
{

/// Sends this VM's work to the others when it has changed, and takes in theirs. In a large fleet the VMs of a place tell one
/// another everything, and one of them tells the other places the sum. A datagram that is lost is made good by the next.
class LoadExchange
{
public:
    static constexpr Duration Period = milliseconds(60); // between messages while work changes: well under one prefill's time
    static constexpr Duration IdlePeriod = milliseconds(600); // while nothing changes; under half of a peer's life in the table
    static constexpr Duration AggregatePeriod = milliseconds(300); // between sums to other places, whose bytes are dear
    static constexpr std::size_t RowsPerDatagram = 36; // of about 35 bytes, under the usual path MTU

    LoadExchange(EdgeContext &context, DirectoryController &directory);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    auto operator=(const LoadExchange &) -> LoadExchange & = delete;

    /// Opens the socket and begins to send.
    auto start() -> Result<void>;

    /// Takes in the store's list of VMs.
    auto setPeers(const VmRecords &vms) -> void;

    /// Returns how many VMs, this one included, tell it of changes that they know.
    auto reportingVms() const -> std::size_t
    {
        return m_peers.reach(m_context.clock.now());
    }

private:
    static auto onReadable(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    auto receive() -> void;
    auto onMessage(LoadMessage message, const SocketAddress &from) -> void;
    auto sendLocalLoads() -> void;
    auto meanPlaceCosts() const -> std::vector<ServiceCost>;
    auto sendAggregate() -> void;
    auto send(LoadMessage message, std::span<const SocketAddress> peers) -> void;
    auto sendBytes(std::string_view bytes, std::span<const SocketAddress> peers) -> void;

    EdgeContext &m_context;
    DirectoryController &m_directory;
    PeerTable m_peers;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_aggregateTimer;
    std::string m_lastLoads;
    TimePoint m_sentAt;
    std::uint64_t m_sequence;
    int m_localParts = 0; // datagrams that the last message took
    int m_aggregateParts = 0;
    ev_io m_io{};
    int m_socket = -1;
};

} // namespace currantstack
