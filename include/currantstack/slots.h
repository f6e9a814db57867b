// Allocation of engine slots at the VM that owns the engines: current allocations and the queue of slot requests.
#pragma once

#include "currantstack/config.h"
#include "currantstack/engine_api.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantstack
{

/// A request for one slot on any engine of a pool.
struct SlotRequest
{
    std::string requestId;
    std::string vm; // requester
    std::string pool;
    std::string member;
    double share = 1; // weight of the member in fair sharing
    int priority = 0;
    std::int64_t tokens = 0; // prompt tokens to prefill; 0 for a decode slot
    TimePoint deadline; // latest time of a useful grant
    std::string preferred; // engine that probably caches the prompt's prefix; empty: none
    std::int64_t cachedTokens = 0; // part of `tokens` that the preferred engine probably has in its cache
    std::vector<std::string> excludedEngines; // engines on which this request failed
    bool sticky = false; // sent to the owner of the preferred engine regardless of its backlog
    bool suspect = false; // ran on an upstream when that crashed; never shares an engine with another suspect
};

enum class SlotRefusal
{
    None,
    QueueFull,
    DeadlinePassed,
    NoEngine, // the owner has no eligible engine in the pool
};

auto name(SlotRefusal reason) -> std::string_view;

/// The grant or refusal of one slot request.
struct SlotDecision
{
    std::string requestId;
    std::string vm;
    bool granted = false;
    std::string engine;
    SlotRefusal reason = SlotRefusal::None;
};

/// Load of one pool's engines at one owner, as announced to peers.
struct PoolView
{
    std::string pool;
    int capacity = 0; // slots of healthy engines
    int free = 0; // slots
    int queued = 0; // slot requests
    double backlogMs = 0; // mean queued and in-flight work per engine of a prefill pool
    double grantsPerSecond = 0; // recent rate
};

/// Allocates the slots of the engines that this VM owns. Does no I/O and reads no clock: the caller passes the time.
class SlotLedger
{
public:
    SlotLedger() = default;

    /// Adds an engine that this VM now owns. It gets no grant before `earliestGrant`, when grants of the previous owner have expired.
    auto addEngine(const Engine &engine, TimePoint earliestGrant) -> void;
    auto removeEngine(std::string_view engine) -> void;

    /// Replaces the configuration of an owned engine, such as its role or that it is draining.
    auto updateEngine(const Engine &engine) -> void;
    auto setLimits(std::int64_t maxQueuedRequests, std::int64_t maxQueuedTokens) -> void;
    auto owns(std::string_view engine) const -> bool;
    auto ownedEngines() const -> std::vector<std::string>;

    /// Grants, refuses or queues a request. Returns nothing if the request was queued; `processQueues` decides on it later.
    /// With a full queue the decision may concern another, displaced request.
    auto requestSlot(SlotRequest request, TimePoint now) -> std::optional<SlotDecision>;

    /// Grants free slots to queued requests in order of priority, fair share and deadline, and refuses those past their deadline or
    /// without an eligible engine.
    auto processQueues(TimePoint now) -> std::vector<SlotDecision>;

    /// Frees the slot of a request. Returns whether it was allocated.
    auto release(std::string_view engine, std::string_view requestId, TimePoint now) -> bool;

    /// Removes a queued request that its requester abandoned.
    auto abandon(std::string_view requestId) -> void;

    /// Frees the slot of a request that its requester abandoned before the grant arrived.
    auto releaseUnused(std::string_view requestId, TimePoint now) -> void;

    /// Sets the weight of an engine, from 0 to 1; below 1 it gets fewer requests, at 0 none.
    auto setWeight(std::string_view engine, double weight) -> void;

    /// Updates the engine's cost per prefill token with a measured value.
    auto observePrefillCost(std::string_view engine, double microsPerToken) -> void;

    /// Synchronizes the allocations with the requests that the engine lists. Listed requests without an allocation get one;
    /// allocations that the engine has not listed for `UnlistedGrace` end. Returns the request ids of those that ended.
    auto reconcile(std::string_view engine, std::span<const RunningRequest> running, TimePoint now) -> std::vector<std::string>;

    struct AllocationId
    {
        std::string engine;
        std::string requestId;
    };
    /// Removes the queued requests of a dead VM. Returns its allocations, which stay until they are released or time out.
    auto dropVm(std::string_view vm) -> std::vector<AllocationId>;

    auto view(std::string_view pool, TimePoint now) const -> PoolView;
    auto views(TimePoint now) const -> std::vector<PoolView>;
    auto allocatedSlots(std::string_view engine) const -> int;
    auto isQueued(std::string_view requestId) const -> bool;

    static constexpr Duration UnlistedGrace = seconds(2); // until an allocation that the engine does not list ends
    static constexpr Duration MaxPrefillBacklog = milliseconds(15); // above which a prefill engine gets no further request
    static constexpr int MaxPrefillRequests = 3; // per prefill engine

private:
    struct Allocation
    {
        std::string vm;
        std::string member;
        TimePoint grantedAt;
        std::int64_t tokens = 0;
        bool suspect = false;
        TimePoint listedAt; // last time that the engine listed the request
    };

    struct OwnedEngine
    {
        Engine config;
        TimePoint earliestGrant;
        double weight = 1;
        double microsPerToken = 30;
        TimePoint busyUntil; // expected end of the granted prefills
        std::unordered_map<std::string, Allocation> allocations;
    };

    auto capacityOf(const OwnedEngine &engine) const -> int;
    static auto prefillTime(const OwnedEngine &engine, const SlotRequest &request) -> Duration;
    auto hasCapacityFor(const OwnedEngine &engine, const SlotRequest &request, TimePoint now) const -> bool;
    auto cheapestEngine(const SlotRequest &request, TimePoint now) -> OwnedEngine *;
    auto grant(OwnedEngine &engine, const SlotRequest &request, TimePoint now) -> SlotDecision;
    auto slotsInUse(const std::string &pool, const std::string &member) const -> int;
    auto comesBefore(const SlotRequest &left, const SlotRequest &right) const -> bool;
    auto hasEligibleEngine(const SlotRequest &request) const -> bool;
    auto endAllocation(OwnedEngine &engine, const std::string &requestId, TimePoint now) -> void;

    std::map<std::string, OwnedEngine, std::less<>> m_engines;
    std::map<std::string, std::vector<SlotRequest>, std::less<>> m_queues; // by pool
    std::map<std::string, std::unordered_map<std::string, int>, std::less<>> m_usage; // by pool and member
    std::map<std::string, std::pair<TimePoint, double>, std::less<>> m_rates; // by pool
    std::int64_t m_maxQueuedRequests = 400;
    std::int64_t m_maxQueuedTokens = 2000000;
};

} // namespace currantstack
