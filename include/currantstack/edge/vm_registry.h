// This VM's own entry in the store, which lives as long as its lease.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/store.h"

namespace currantstack
{

/// Keeps the entry by which other VMs find this one.
class VmRegistry
{
public:
    static constexpr seconds LeaseTtl{9}; // a VM that died is forgotten after it; its datagrams count no more long before
    static constexpr Duration KeepPeriod = seconds(3);
    static constexpr Duration RetryPause = milliseconds(1000);

    VmRegistry(EdgeContext &context, const StoreCodec &codec, Store &store);

    auto start() -> void;

    /// Keeps the lease no longer.
    auto stop() -> void;

private:
    auto grant() -> void;
    auto put(std::int64_t lease) -> void;
    auto keep() -> void;
    auto retry(std::string_view step, const Error &error) -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    std::unique_ptr<Timer> m_timer;
    std::int64_t m_lease = 0; // 0: none
    bool m_written = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
