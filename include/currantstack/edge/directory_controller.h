// Updates the route table and the directory of upstreams from the store.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/load_message.h"
#include "currantstack/edge/store_follower.h"
#include "currantstack/edge/unreadable_entries.h"

namespace currantstack
{

/// Applies the store's records to the route table in force and to the directory of upstreams.
class DirectoryController
{
public:
    /// An upstream that is removed within this time after the store became reachable again may merely have an expired entry.
    static constexpr Duration ExpiryWindow = milliseconds(2500);

    /// After its start, a VM waits this long at most for the configuration that a peer has.
    static constexpr Duration LongestCatchUp = seconds(10);

    /// Live upstreams have written their entries again this long after the store returned from an older copy, and the entries of
    /// others have expired.
    static constexpr Duration RewriteTime = seconds(6);

    /// Runs when a table of routes comes into force.
    using RoutesHook = std::function<void(const RouteTable &routeTable)>;

    DirectoryController(EdgeContext &context, const StoreCodec &codec, Store &store, RoutesHook onRoutesInForce);

    auto start() -> void
    {
        m_routes.start();
        m_upstreams.start();
    }

    /// Records which store revisions another VM has observed.
    auto observeRevisions(const StoreRevisions &revisions) -> void;

    auto revisions() const -> StoreRevisions;

    /// Returns whether routes and upstreams have both been read at least once. A VM that has just started is not complete while a peer
    /// has a newer configuration: the store may have returned from a copy, and the operator not have written again.
    auto isComplete() const -> bool;

private:
    auto onRoutes(std::span<const StoreValue> values) -> void;
    auto onUpstreams(const StoreRange &range, const StoreFollower::Interruption &interruption) -> void;
    auto confirmUpstreams() -> void;
    auto onUpstreamEvents(std::span<const StoreEvent> events) -> void;
    auto applyRoutes(const StoreValue &value) -> void;
    auto applyUpstream(const StoreValue &value, bool isFromCopy, TimePoint writtenAfter) -> void;
    auto observeVersion(const Upstream &upstream) -> void;
    auto ignoreUpstream(const StoreValue &value, const Error &error) -> void;
    auto onDeleted(const std::string &id) -> void;
    auto removeUpstream(const std::string &id, bool mayHaveExpired) -> UpstreamChange;
    auto removeLimit(const Upstream &upstream) -> void;
    auto removeExpired() -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    RoutesHook m_onRoutesInForce;
    StoreFollower m_routes;
    StoreFollower m_upstreams;
    UnreadableEntries m_unreadableRoutes;
    UnreadableEntries m_unreadableUpstreams;
    std::unique_ptr<Timer> m_routesTimer; // expiry of replaced routes
    std::unique_ptr<Timer> m_expiryTimer;
    std::unique_ptr<Timer> m_rereadTimer;
    TimePoint m_startedAt;
    std::optional<TimePoint> m_routesBehindSince; // when a peer first had a newer configuration than this VM
    MemoryGrant m_routesMemory; // of the table in force
    TimePoint m_reachableSince;
    bool m_mayHaveExpired = false; // the store was unreachable, so entries may have expired meanwhile
    bool m_upstreamsRead = false;
};

} // namespace currantstack
