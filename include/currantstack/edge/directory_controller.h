// Keeps routes, upstreams and VMs as the store tells them.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/store_follower.h"

namespace currantstack
{

/// The live VMs of the edge, by their entries in the store.
using VmRecords = std::map<std::string, VmRecord, std::less<>>;

/// Turns the store's keys into the routes in force, the directory of upstreams and the list of VMs.
class DirectoryController
{
public:
    /// How long after the store's return a removed upstream may only have lapsed.
    static constexpr Duration LapseWindow = milliseconds(2500);

    /// `onVms` runs after the list of VMs has changed.
    DirectoryController(EdgeContext &context, const StoreCodec &codec, Store &store, std::function<void()> onVms);

    auto start() -> void
    {
        m_follower.start();
    }

    auto stop() -> void
    {
        m_follower.stop();
    }

    /// Returns whether all keys were read at least once.
    auto isComplete() const -> bool
    {
        return m_complete;
    }

    auto vms() const -> const VmRecords &
    {
        return m_vms;
    }

private:
    auto onSnapshot(const StoreRange &range, bool wasAway) -> void;
    auto onEvents(std::span<const StoreEvent> events) -> void;
    auto applyValue(const StoreValue &value) -> void;
    auto applyRoutes(const StoreValue &value) -> void;
    auto applyUpstream(const StoreValue &value) -> void;
    auto applyVm(const StoreValue &value) -> void;
    auto removeKey(const std::string &key) -> void;
    auto removeUpstream(const std::string &id) -> void;
    auto expireLapsed() -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    std::function<void()> m_onVms;
    StoreFollower m_follower;
    std::unique_ptr<Timer> m_lapseTimer;
    VmRecords m_vms;
    TimePoint m_regainedAt;
    bool m_lapsePossible = false;
    bool m_complete = false;
};

} // namespace currantstack
