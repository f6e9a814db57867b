#include "currantstack/decisions/service_placement.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double MinHealth = 0.05; // an upstream with less is used only if all have less
constexpr double JitterMs = 1; // keeps VMs with the same view of the load from choosing the same upstream

/// Returns the expected response time in milliseconds.
auto expectedMs(const ServiceView &view, double serviceMs) -> double
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, view.upstream->slots));
    const double rounds = 1 + std::max(0.0, view.work.requests + 1 - slots) / slots;
    // Opening a connection takes a round trip as well.
    // An upstream near its rate limit gets requests when the others take up to twice as long.
    const double scarcity = 2 - std::clamp(view.headroom, 0.0, 1.0);
    return scarcity * rounds * serviceMs / std::max(MinHealth, view.health) + 2 * toMilliseconds(roundTripTime(view.distance));
}

} // namespace

auto chooseUpstream(std::span<const ServiceView> views, Duration serviceTime, std::string_view excluded, Random &random) -> const Upstream *
{
    const bool anyHealthy = std::any_of(
        views.begin(), views.end(), [&excluded](const auto &view) { return view.health >= MinHealth && view.upstream->id != excluded; });
    std::uniform_real_distribution<double> jitter(0, JitterMs);
    const Upstream *best = nullptr;
    double bestMs = 0;
    for (const auto &view : views) {
        if (view.upstream->id == excluded || (anyHealthy && view.health < MinHealth)) {
            continue;
        }
        const double ms = expectedMs(view, toMilliseconds(serviceTime)) + jitter(random);
        if (best == nullptr || ms < bestMs) {
            best = view.upstream;
            bestMs = ms;
        }
    }
    return best;
}

} // namespace currantstack
