// Requests slots from the VMs that own the engines of a pool, and allocates the slots of the engines that this VM owns.
#pragma once

#include "currantstack/announcer.h"
#include "currantstack/health.h"
#include "currantstack/request_canceller.h"
#include "currantstack/slot_messages.h"

#include <map>
#include <set>

namespace currantstack
{

/// A granted slot.
struct SlotGrant
{
    std::string requestId;
    std::string engine;
    std::string owner; // VM
    TimePoint usableUntil; // latest start of a dispatch
};

/// Requester and owner side of slot allocation.
class SlotService
{
public:
    using Done = std::function<void(Result<SlotGrant>)>;

    static constexpr Duration GrantLifetime = milliseconds(1000); // to use a grant; a new owner waits as long before its first grant
    static constexpr Duration MoveDelay = milliseconds(80); // time in one owner's queue before a move to another is considered
    static constexpr Duration MinMoveGain = milliseconds(250); // expected reduction of the wait that justifies a move
    static constexpr int MaxMoves = 6; // of one slot request between owners
    static constexpr Duration QueuePeriod = milliseconds(10); // between passes over the queues of owned engines
    static constexpr Duration ReconcilePeriod = seconds(2); // between reads of an engine's request list
    static constexpr Duration UnknownVmGrace = seconds(20); // age from which a request of an unknown VM is an orphan

    SlotService(Context &context, Announcer &announcer, RequestCanceller &canceller);

    auto start() -> void;

    /// Requests a slot from an owner of the pool. `prefillMs`, the time of the prefill without a cached prefix, weighs prefix affinity
    /// against load. `done` runs once, soon after the request's deadline at the latest, unless the request is abandoned.
    auto requestSlot(SlotRequest request, Role role, double prefillMs, Done done) -> void;

    /// Abandons a slot request; its `done` does not run afterwards.
    auto abandon(const std::string &requestId) -> void;

    /// Returns a slot to the engine's owner, with what the request observed of the engine.
    auto release(const std::string &engine, const std::string &requestId, const SlotObservation &observation) -> void;

    /// Records the speed of an engine as observed by this VM, and reports a slow or failed engine to its owner.
    auto observe(const std::string &engine, const SlotObservation &observation) -> void;

    /// Returns the shortest expected wait for a slot of the pool over all owners; the maximum duration if none has capacity.
    auto shortestWait(std::string_view pool, Role role, double prefillMs) -> Duration;

    /// Updates the set of owned engines after a change of the configuration or of the live VMs.
    auto updateOwnedEngines() -> void;

    /// Drops the allocations of all engines, because other VMs may have owned them meanwhile, and adds the owned engines again.
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
    /// The last report of a peer about the pools in which it owns engines.
    struct PeerViews
    {
        std::map<std::string, PoolView, std::less<>> pools;
        TimePoint receivedAt;
        std::map<std::string, int, std::less<>> sentSinceReport; // slot requests sent since the report, by pool
    };

    /// A slot request of this VM that has neither been granted nor failed.
    struct PendingRequest
    {
        SlotRequest request;
        Role role = Role::Decode;
        double prefillMs = 0;
        Done done;
        std::string owner; // that the request was last sent to
        HttpClient::CallId call = 0; // to a remote owner; 0: none
        int attempts = 0; // owners chosen so far, without moves
        int moves = 0;
        TimePoint requestedAt; // last time that the request was sent or a move was considered
        std::set<std::string> refusedBy;
    };

    /// A peer's slot request that this VM has not answered yet.
    struct RemoteRequest
    {
        PeerRouter::Reply reply;
    };

    auto ownerViews(std::string_view pool, const PendingRequest &pending) -> std::vector<OwnerView>;
    /// Chooses an owner and sends the pending request to it, or fails the request.
    auto dispatch(const std::string &requestId) -> void;
    auto sendToOwner(PendingRequest &pending, const std::string &owner) -> void;
    auto sendToPeer(PendingRequest &pending) -> void;
    /// Moves pending requests that wait longer than `MoveDelay` to an owner with a shorter expected wait.
    auto moveQueued() -> void;
    auto sendAbandon(const PendingRequest &pending) -> void;
    auto finish(const std::string &requestId, Result<SlotGrant> result) -> void;
    auto processQueues() -> void;
    /// Passes a decision of the ledger to the local or remote requester.
    auto deliver(const SlotDecision &decision) -> void;
    auto handleSlotRequest(const std::string &sender, const Json &body, const PeerRouter::Reply &reply) -> void;
    /// Drops a peer's slot request that it abandoned, and frees the slot if it was granted.
    auto withdraw(const std::string &requestId) -> void;
    auto handleRelease(const Json &body) -> void;
    auto releaseLocal(const std::string &engine, const std::string &requestId, const SlotObservation &observation) -> void;
    auto recordObservation(const std::string &engine, const SlotObservation &observation) -> void;
    auto applyWeights() -> void;
    auto reconcileEngine(const std::string &engine) -> void;
    auto reconcileAll() -> void;
    auto cancelOrphans(const Engine &engine, std::span<const RunningRequest> running) -> void;
    /// Returns whether the VM that sent the request is dead, has restarted or is unknown.
    auto isOrphan(const RunningRequest &request) const -> bool;
    auto localViews() -> Json;
    auto mergeViews(const std::string &vm, const Json &section) -> void;
    auto latencyTo(std::string_view vm) const -> Duration;
    auto flushReleases() -> void;

    Context &m_context;
    RequestCanceller &m_canceller;
    SlotLedger m_ledger;
    HealthTracker m_health;
    std::map<std::string, PeerViews, std::less<>> m_views; // by VM
    std::map<std::string, PendingRequest> m_pending; // by request id
    std::map<std::string, RemoteRequest> m_remoteRequests; // by request id
    std::map<std::string, Json> m_pendingReleases; // by owner, sent in one batch
    std::map<std::string, TimePoint> m_slowReportedAt; // by engine
    std::set<std::string> m_unreconciled; // newly owned engines whose request list has not been read yet
    std::unique_ptr<Timer> m_queueTimer;
    std::unique_ptr<Timer> m_reconcileTimer;
    std::unique_ptr<Timer> m_moveTimer;
    bool m_flushScheduled = false;
    bool m_queueScheduled = false;
};

} // namespace currantstack
