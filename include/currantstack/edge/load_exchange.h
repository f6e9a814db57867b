// VMs tell one another in datagrams what they have under way at each upstream.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/directory_controller.h"

#include <ev.h>
#include <span>

namespace currantstack
{

/// One VM's word on its own work.
struct LoadMessage
{
    std::string vm;
    std::uint64_t sequence = 0;
    std::vector<UpstreamWork> works;
};

auto encodeLoad(const LoadMessage &message) -> std::string;
auto decodeLoad(std::string_view bytes) -> Result<LoadMessage>;

/// Sends this VM's work to the others when it has changed, and takes in theirs. A datagram that is lost is made good by the next.
class LoadExchange
{
public:
    static constexpr Duration Period = milliseconds(60); // between messages while work changes: well under one prefill's time
    static constexpr Duration IdlePeriod = milliseconds(600); // while nothing changes; under half of a peer's life in the table

    explicit LoadExchange(EdgeContext &context);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    auto operator=(const LoadExchange &) -> LoadExchange & = delete;

    /// Opens the socket and begins to send.
    auto start() -> Result<void>;

    auto setPeers(const VmRecords &vms) -> void;

private:
    static auto onReadable(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    auto receive() -> void;
    auto tell() -> void;

    EdgeContext &m_context;
    std::unique_ptr<Timer> m_timer;
    std::vector<SocketAddress> m_peers;
    std::string m_lastBody;
    TimePoint m_toldAt;
    std::uint64_t m_sequence;
    ev_io m_io{};
    int m_socket = -1;
};

} // namespace currantstack
