// Orders that set an engine's role, model or version. Only the engine's owner sends them, with a fencing token from the store.
#pragma once

#include "currantstack/context.h"
#include "currantstack/engine_api.h"

#include <map>

namespace currantstack
{

/// Sends orders to the engines that this VM owns, and forwards other orders to the owners.
class OrderService
{
public:
    using Done = std::function<void(Result<std::int64_t> fencingToken)>;

    static constexpr Duration SendTimeout = milliseconds(1000); // limit for the read that confirms the token, and for the order itself
    static constexpr Duration OldOrderLifetime = milliseconds(2500); // after which no order of the previous owner can arrive any more
    static constexpr int MaxWeightAttempts = 8; // requests to the weight store for one model load

    explicit OrderService(Context &context);

    /// Sends an order to the engine, directly or through its owner. The result is the fencing token of the order.
    auto order(const std::string &engine, const std::string &kind, const std::string &value, Done done) -> void;

    /// Drops all fencing tokens, because other VMs may have acquired higher ones.
    auto onOwnershipLost() -> void;

private:
    struct FencingToken
    {
        std::int64_t value = 0;
        TimePoint acquiredAt;
    };

    /// An order that is not sent yet.
    struct PendingOrder
    {
        Engine engine;
        EngineOrder order;
        Done done;
        int attempts = 0; // to load the weights
    };

    /// Writes a new, higher fencing token to the store, unless this VM already has one for the engine.
    auto acquireToken(const std::shared_ptr<PendingOrder> &pending) -> void;
    auto loadWeights(const std::shared_ptr<PendingOrder> &pending) -> void;
    /// For an engine that does not check fencing tokens, reads from the store that this VM still has the highest one.
    auto confirmToken(const std::shared_ptr<PendingOrder> &pending) -> void;
    auto send(const std::shared_ptr<PendingOrder> &pending) -> void;

    Context &m_context;
    std::map<std::string, FencingToken> m_tokens; // by engine
};

} // namespace currantstack
