// Slots over all VMs: asks the owner of a pool's engines, and serves the engines that this VM owns.
#pragma once

#include "currantstack/announcer.h"
#include "currantstack/health.h"
#include "currantstack/request_canceller.h"
#include "currantstack/slot_messages.h"

#include <map>
#include <set>

namespace currantstack
{

/// A slot that was granted.
struct SlotGrant
{
    std::string requestId;
    std::string engine;
    std::string owner;
    TimePoint usableUntil; // a dispatch must begin before
};

/// Asks for slots and grants those of owned engines.
class SlotService
{
public:
    using Done = std::function<void(Result<SlotGrant>)>;

    static constexpr Duration GrantLife = milliseconds(1000); // within which a granted slot must be used
    static constexpr Duration Patience = milliseconds(80); // at one owner, before another is looked for
    static constexpr Duration MoveMargin = milliseconds(250); // that another owner must be sooner
    static constexpr int MaxMoves = 6; // of one ask between owners
    static constexpr Duration DecidePeriod = milliseconds(10);
    static constexpr Duration ListPeriod = seconds(2); // between readings of an engine's own list
    static constexpr Duration UnknownVmAge = seconds(20);

    SlotService(Context &context, Announcer &announcer, RequestCanceller &cancels);

    auto start() -> void;

    /// Asks an owner of the pool for a slot. `prefillMs` weighs prefix affinity. The result comes before the request's deadline.
    auto requestSlot(SlotRequest request, Role role, double prefillMs, Done done) -> void;

    /// Forgets an ask; its hook does not run afterwards.
    auto abandon(const std::string &requestId) -> void;

    /// Gives a slot back to the engine's owner.
    auto release(const std::string &engine, const std::string &requestId, const SlotObservation &seen) -> void;

    /// Records how fast an engine is, as seen by this VM, and tells its owner when it is slow.
    auto observe(const std::string &engine, const SlotObservation &seen) -> void;

    /// Returns the shortest wait for a slot of the pool that is expected anywhere.
    auto shortestWait(std::string_view pool, Role role, double prefillMs) -> Duration;

    /// Takes over a new configuration or a new list of live VMs.
    auto reconsider() -> void;

    /// Gives up all engines, because others own them by now.
    auto onOwnershipLost() -> void;

    auto ledger() const -> const SlotLedger &
    {
        return m_ledger;
    }

    auto health() -> HealthTracker &
    {
        return m_health;
    }

private:
    struct PeerViews
    {
        std::map<std::string, PoolView, std::less<>> pools;
        TimePoint heardAt;
        std::map<std::string, int, std::less<>> pending; // own asks since
    };

    struct Ask
    {
        SlotRequest request;
        Role role = Role::Decode;
        double prefillMs = 0;
        Done done;
        std::string owner;
        HttpClient::CallId call = 0;
        int tries = 0;
        int moves = 0;
        TimePoint askedAt; // at the present owner
        std::set<std::string> refusedBy;
    };

    struct RemoteAsk
    {
        PeerRouter::Reply reply;
    };

    auto ownerViews(std::string_view pool, const Ask &ask) -> std::vector<OwnerView>;
    auto place(const std::string &requestId) -> void;
    auto askOwner(Ask &ask, const std::string &owner) -> void;
    auto askPeer(Ask &ask) -> void;
    auto moveWaiting() -> void;
    auto sendAbandon(const Ask &ask) -> void;
    auto finish(const std::string &requestId, Result<SlotGrant> result) -> void;
    auto processQueues() -> void;
    auto deliver(const SlotDecision &decision) -> void;
    auto handleAsk(const std::string &sender, const Json &body, const PeerRouter::Reply &reply) -> void;
    auto takeBack(const std::string &requestId) -> void;
    auto handleRelease(const Json &body) -> void;
    auto releaseLocal(const std::string &engine, const std::string &requestId, const SlotObservation &seen) -> void;
    auto noteLocal(const std::string &engine, const SlotObservation &seen) -> void;
    auto applyWeights() -> void;
    auto listEngine(const std::string &engine) -> void;
    auto listAll() -> void;
    auto dropOrphans(const Engine &engine, std::span<const RunningRequest> running) -> void;
    auto isGone(const RunningRequest &request) const -> bool;
    auto produceViews() -> Json;
    auto takeViews(const std::string &vm, const Json &section) -> void;
    auto distanceTo(std::string_view vm) const -> Duration;
    auto flushReleases() -> void;

    Context &m_context;
    RequestCanceller &m_cancels;
    SlotLedger m_ledger;
    HealthTracker m_health;
    std::map<std::string, PeerViews, std::less<>> m_views;
    std::map<std::string, Ask> m_asks;
    std::map<std::string, RemoteAsk> m_remote;
    std::map<std::string, Json> m_releases; // by owner, to be sent together
    std::map<std::string, TimePoint> m_toldSlow;
    std::set<std::string> m_unread; // adopted engines whose list was not read yet
    std::unique_ptr<Timer> m_decider;
    std::unique_ptr<Timer> m_lister;
    std::unique_ptr<Timer> m_mover;
    bool m_flushScheduled = false;
    bool m_decideScheduled = false;
};

} // namespace currantstack
