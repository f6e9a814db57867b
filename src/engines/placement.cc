#include "currantstack/placement.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double UtilizationCostMs = 8; // of a fully used pool compared to an idle one
constexpr double RemoteCostMs = 1.5; // of a request to another VM
constexpr double NoiseMs = 2; // keeps VMs with equal views from choosing the same owner at once
constexpr double UncachedPrefillShare = 0.25; // of the prefill time, left if the prefix is cached
constexpr double MinGrantRate = 2; // grants per second, assumed if fewer were observed

} // namespace

auto expectedWait(const OwnerView &view, Role role, double prefillMs) -> Duration
{
    if (role == Role::Prefill) {
        return fromMilliseconds(view.pool.backlogMs
                                + view.sentSinceReport * prefillMs / std::max(1, view.pool.capacity / SlotLedger::MaxPrefillRequests));
    }
    const int ahead = view.pool.queued + view.sentSinceReport - view.pool.free;
    if (ahead < 0) {
        return Duration::zero();
    }
    return fromMilliseconds(1000.0 * (ahead + 1) / std::max(MinGrantRate, view.pool.grantsPerSecond));
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
        cost += role == Role::Prefill ? prefillMs * (view.holdsPrefix ? UncachedPrefillShare : 1.0) : 0.0;
        const double used = view.pool.capacity - view.pool.free + view.sentSinceReport + view.pool.queued;
        cost += UtilizationCostMs * used / view.pool.capacity;
        cost += (view.isSelf ? 0.0 : RemoteCostMs) + 2 * toMilliseconds(view.latency) + noise(random);
        if (!best || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

auto findFasterOwner(std::span<const OwnerView> owners, std::size_t current, Role role, double prefillMs, Duration margin)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    auto shortestWait = expectedWait(owners[current], role, prefillMs) - margin;
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (index == current || owners[index].pool.capacity <= 0) {
            continue;
        }
        const auto wait = expectedWait(owners[index], role, prefillMs) + 2 * owners[index].latency;
        if (wait < shortestWait) {
            best = index;
            shortestWait = wait;
        }
    }
    return best;
}

auto chooseBaselineEngine(PolicyKind policy, std::span<const EngineLoad> engines, std::size_t sequence, Random &random)
    -> std::optional<std::size_t>
{
    if (engines.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, engines.size() - 1);
    if (policy == PolicyKind::RoundRobin) {
        return sequence % engines.size();
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
