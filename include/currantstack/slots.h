// The ledger of an engine owner: who holds which slot, and who is next.
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

/// A wish for one slot on any engine of a pool.
struct SlotRequest
{
    std::string requestId;
    std::string vm; // that asks
    std::string pool;
    std::string member;
    double share = 1; // of the member
    int priority = 0;
    std::int64_t tokens = 0; // work expected of a prefill engine
    TimePoint deadline; // latest time at which a grant is of use
    std::string preferred; // engine that holds the prefix; empty: none
    std::int64_t cachedTokens = 0; // of `tokens`, expected in the cache of the preferred engine
    std::vector<std::string> avoid; // engines that failed this request
    bool sticky = false; // asked of the preferred engine's owner first, whatever its backlog
    bool suspect = false; // was there when an upstream died; gets an engine without another suspect
};

enum class SlotRefusal
{
    None,
    QueueFull,
    DeadlinePassed,
    NoEngine, // the owner has no engine of the pool that may take work
};

auto name(SlotRefusal reason) -> std::string_view;

/// The ledger's word on one request.
struct SlotDecision
{
    std::string requestId;
    std::string vm;
    bool granted = false;
    std::string engine;
    SlotRefusal reason = SlotRefusal::None;
};

/// The state of one pool at one owner, as it is announced to peers.
struct PoolView
{
    std::string pool;
    int capacity = 0; // slots of healthy engines
    int free = 0;
    int queued = 0;
    double backlogMs = 0; // of work in the queue and under way, for one engine of a prefill pool
    double grantsPerSecond = 0; // that were possible lately
};

/// Holds the slots of the engines that this VM owns. Time is passed in; nothing is sent.
class SlotLedger
{
public:
    SlotLedger() = default;

    /// Takes an engine over. No grant is made before `openAt`, by when the old owner's grants have run out.
    auto addEngine(const Engine &engine, TimePoint openAt) -> void;
    auto disown(std::string_view engine) -> void;

    /// Takes over changed facts of an owned engine, such as that it is leaving.
    auto update(const Engine &engine) -> void;
    auto setLimits(std::int64_t maxQueuedRequests, std::int64_t maxQueuedTokens) -> void;
    auto owns(std::string_view engine) const -> bool;
    auto ownedEngines() const -> std::vector<std::string>;

    /// Queues a request; `processQueues` says what became of it.
    auto requestSlot(SlotRequest request, TimePoint now) -> std::optional<SlotDecision>;

    /// Grants free slots in order of priority, then fairness, then deadline, and refuses what is too late.
    auto processQueues(TimePoint now) -> std::vector<SlotDecision>;

    /// Ends a holding. Returns whether it existed.
    auto release(std::string_view engine, std::string_view requestId, TimePoint now) -> bool;

    /// Forgets a queued request whose asker gave up.
    auto abandon(std::string_view requestId) -> void;

    /// Ends the holding of a request whose asker gave up before it heard of the grant.
    auto releaseUnused(std::string_view requestId, TimePoint now) -> void;

    /// Sets the weight (0 to 1) of an engine; below 1 it gets fewer requests, at 0 none.
    auto setWeight(std::string_view engine, double weight) -> void;

    /// Takes in an observed cost of a prefill token on the engine.
    auto observePrefillCost(std::string_view engine, double microsPerToken) -> void;

    /// Compares the ledger with the engine's own list. Unknown requests become holdings; holdings that the engine
    /// has not listed for `Grace` end. Returns the ids that ended.
    auto reconcile(std::string_view engine, std::span<const RunningRequest> running, TimePoint now) -> std::vector<std::string>;

    /// Ends all holdings and queued requests of a VM that died. Returns the holdings as (engine, request id).
    struct Holder
    {
        std::string engine;
        std::string requestId;
    };
    auto dropVm(std::string_view vm) -> std::vector<Holder>;

    auto view(std::string_view pool, TimePoint now) const -> PoolView;
    auto views(TimePoint now) const -> std::vector<PoolView>;
    auto allocatedSlots(std::string_view engine) const -> int;
    auto isQueued(std::string_view requestId) const -> bool;

    static constexpr Duration Grace = seconds(2); // until an unlisted holding ends
    static constexpr Duration PrefillSlack = milliseconds(15); // of work that may wait at a prefill engine
    static constexpr int PrefillDepth = 3; // requests that one prefill engine is given at most

private:
    struct Holding
    {
        std::string vm;
        std::string member;
        TimePoint since;
        std::int64_t tokens = 0;
        bool suspect = false;
        TimePoint listedAt; // when the engine last listed it
    };

    struct OwnedEngine
    {
        Engine info;
        TimePoint openAt;
        double weight = 1;
        double microsPerToken = 30;
        TimePoint busyUntil;
        std::unordered_map<std::string, Holding> holdings;
    };

    auto capacityOf(const OwnedEngine &engine) const -> int;
    static auto workOf(const OwnedEngine &engine, const SlotRequest &request) -> Duration;
    auto canTake(const OwnedEngine &engine, const SlotRequest &request, TimePoint now) const -> bool;
    auto bestEngine(const SlotRequest &request, TimePoint now) -> OwnedEngine *;
    auto grant(OwnedEngine &engine, const SlotRequest &request, TimePoint now) -> SlotDecision;
    auto usageOf(const std::string &pool, const std::string &member) const -> int;
    auto comesBefore(const SlotRequest &left, const SlotRequest &right) const -> bool;
    auto hasEngine(const SlotRequest &request) const -> bool;
    auto endHolding(OwnedEngine &engine, const std::string &requestId, TimePoint now) -> void;

    std::map<std::string, OwnedEngine, std::less<>> m_engines;
    std::map<std::string, std::vector<SlotRequest>, std::less<>> m_queues; // by pool
    std::map<std::string, std::unordered_map<std::string, int>, std::less<>> m_usage; // by pool and member
    std::map<std::string, std::pair<TimePoint, double>, std::less<>> m_rates; // by pool
    std::int64_t m_maxQueuedRequests = 400;
    std::int64_t m_maxQueuedTokens = 2000000;
};

} // namespace currantstack
