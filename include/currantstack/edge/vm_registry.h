// This VM's own entry in the store, which lives as long as its lease, and those of the others.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/store.h"

namespace currantstack
{

/// The VMs of the edge, by their entries in the store.
using VmRecords = std::map<std::string, VmRecord, std::less<>>;

/// Keeps the entry by which other VMs find this one, and reads theirs from time to time. It needs no watch: a VM that has just
/// started reads the list and makes itself known to the others in its first datagram.
class VmRegistry
{
public:
    static constexpr seconds LeaseTtl{9}; // a VM that died is forgotten after it; its datagrams count no more long before
    static constexpr Duration RenewPeriod = seconds(3);
    static constexpr Duration RetryDelay = milliseconds(1000);
    static constexpr Duration FirstReadDelay = milliseconds(2000); // stale reads lag; a whole fleet that starts is listed by then
    static constexpr Duration ReadPeriod = seconds(15);

    /// `onVms` receives the list each time that it was read.
    VmRegistry(EdgeContext &context, const StoreCodec &codec, Store &store, std::function<void(const VmRecords &)> onVms);

    auto start() -> void;

    /// Keeps the lease no longer.
    auto stop() -> void;

private:
    auto grant() -> void;
    auto put(std::int64_t lease) -> void;
    auto renew() -> void;
    auto readOthers() -> void;
    auto retry(std::string_view step, const Error &error) -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    std::function<void(const VmRecords &)> m_onVms;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_readTimer;
    std::int64_t m_lease = 0; // 0: none
    bool m_registered = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
