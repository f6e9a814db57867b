// Orders to engines: given by the owner alone, with a fencing number from the store.
#pragma once

#include "currantstack/context.h"
#include "currantstack/engine_api.h"

#include <map>

namespace currantstack
{

/// Gives orders to the engines that this VM owns, and passes others on to their owners.
class OrderService
{
public:
    using Done = std::function<void(Result<std::int64_t> fencingToken)>;

    static constexpr Duration SendLimit = milliseconds(1000); // within which an order is sent after its number was read
    static constexpr Duration OldOrderLife = milliseconds(2500); // after which an old owner's order has arrived or never will
    static constexpr int WeightTries = 8;

    explicit OrderService(Context &context);

    /// Orders the engine; the result is the fencing number that the order carried.
    auto order(const std::string &engine, const std::string &kind, const std::string &value, Done done) -> void;

    /// Forgets all fencing numbers, because other VMs may have taken higher ones.
    auto onOwnershipLost() -> void;

private:
    struct Fence
    {
        std::int64_t number = 0;
        TimePoint takenAt;
    };

    struct Pending
    {
        Engine engine;
        EngineOrder order;
        Done done;
        int tries = 0;
    };

    auto takeFence(const std::shared_ptr<Pending> &pending) -> void;
    auto loadWeights(const std::shared_ptr<Pending> &pending) -> void;
    auto confirmFence(const std::shared_ptr<Pending> &pending) -> void;
    auto send(const std::shared_ptr<Pending> &pending) -> void;

    Context &m_context;
    std::map<std::string, Fence> m_fences;
};

} // namespace currantstack
