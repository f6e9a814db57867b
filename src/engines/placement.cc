#include "currantstack/placement.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double UtilizationCostMs = 8; // cost of a full pool over an empty one
constexpr double RemoteCostMs = 1.5; // of asking another VM
constexpr double NoiseMs = 2; // spreads VMs that see the same views
constexpr double CachedPrefillShare = 0.25; // of the prefill that remains where the prefix is held
constexpr double UnknownRate = 2; // grants a second, where none was seen

} // namespace

auto expectedWait(const OwnerView &view, Role role, double prefillMs) -> Duration
{
    if (role == Role::Prefill) {
        return fromMilliseconds(view.pool.backlogMs
                                + view.pending * prefillMs / std::max(1, view.pool.capacity / SlotLedger::PrefillDepth));
    }
    const int ahead = view.pool.queued + view.pending - view.pool.free;
    if (ahead < 0) {
        return Duration::zero();
    }
    return fromMilliseconds(1000.0 * (ahead + 1) / std::max(UnknownRate, view.pool.grantsPerSecond));
}

auto chooseOwner(std::span<const OwnerView> owners, Role role, double prefillMs, Random &random) -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    std::uniform_real_distribution<double> noise(0, NoiseMs);
    for (std::size_t index = 0; index < owners.size(); ++index) {
        const auto &view = owners[index];
        if (view.pool.capacity <= 0) {
            continue;
        }
        double cost = toMilliseconds(expectedWait(view, role, prefillMs));
        cost += role == Role::Prefill ? prefillMs * (view.holdsPrefix ? CachedPrefillShare : 1.0) : 0.0;
        const double used = view.pool.capacity - view.pool.free + view.pending + view.pool.queued;
        cost += UtilizationCostMs * used / view.pool.capacity;
        cost += (view.isSelf ? 0.0 : RemoteCostMs) + 2 * toMilliseconds(view.distance) + noise(random);
        if (!best || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

auto findSooner(std::span<const OwnerView> owners, std::size_t current, Role role, double prefillMs, Duration margin)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    auto shortestWait = expectedWait(owners[current], role, prefillMs) - margin;
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (index == current || owners[index].pool.capacity <= 0) {
            continue;
        }
        const auto wait = expectedWait(owners[index], role, prefillMs) + 2 * owners[index].distance;
        if (wait < shortestWait) {
            best = index;
            shortestWait = wait;
        }
    }
    return best;
}

auto chooseEngine(PolicyKind policy, std::span<const EngineLoad> engines, std::size_t turn, Random &random) -> std::optional<std::size_t>
{
    if (engines.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, engines.size() - 1);
    if (policy == PolicyKind::RoundRobin) {
        return turn % engines.size();
    }
    if (policy == PolicyKind::LeastLoad) {
        const auto least = std::min_element(engines.begin(), engines.end(),
                                            [](const EngineLoad &left, const EngineLoad &right) { return left.load < right.load; });
        return static_cast<std::size_t>(least - engines.begin());
    }
    if (policy == PolicyKind::TwoChoices) {
        const auto first = any(random);
        const auto second = any(random);
        return engines[first].load <= engines[second].load ? first : second;
    }
    return any(random);
}

} // namespace currantstack
