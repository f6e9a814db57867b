// Registration of this VM in the store, under a lease, and discovery of the other VMs.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/unreadable_entries.h"

namespace currantstack
{

/// Store entries of all edge VMs, by name.
using VmRecords = std::map<std::string, VmRecord, std::less<>>;

/// Keeps the entry by which other VMs discover this one, and reads theirs periodically. No watch is needed, because a joining VM reads
/// the list and announces itself to the others with its first datagram.
class VmRegistry
{
public:
    static constexpr seconds LeaseTtl{9}; // after which the entry of a dead VM expires; its load reports expire much earlier
    static constexpr Duration RenewPeriod = seconds(3);
    static constexpr Duration RetryDelay = milliseconds(1000);
    /// Spreads the writes of all VMs after the store has returned from an older copy.
    static constexpr Duration LongestReturnDelay = seconds(3);
    /// Stale reads lag behind; after this delay they list all VMs of a fleet that starts at once.
    static constexpr Duration FirstReadDelay = milliseconds(2000);
    static constexpr Duration ReadPeriod = seconds(15);

    /// `onVms` receives the list after each read.
    VmRegistry(EdgeContext &context, const StoreCodec &codec, Store &store, std::function<void(const VmRecords &)> onVms);

    auto start() -> void;

    /// Reads the list now, and again after `FirstReadDelay`.
    auto readNow() -> void;

    /// Stops renewing the lease, so that the entry expires.
    auto stop() -> void;

private:
    auto registerAgain() -> void;
    auto requestLease() -> void;
    auto writeEntry(std::int64_t lease) -> void;
    auto renew() -> void;
    auto readOthers() -> void;
    auto decode(std::span<const StoreValue> values) -> VmRecords;
    auto retry(std::string_view step, const Error &error) -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    std::function<void(const VmRecords &)> m_onVms;
    UnreadableEntries m_unreadable;
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_readTimer;
    Duration m_readPeriod = ReadPeriod; // until the next read
    std::int64_t m_leaseId = 0; // 0: none
    bool m_registered = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
