#include "currantstack/decisions/service_placement.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double MinHealth = 0.05; // an upstream below is used only where all are
constexpr double JitterMs = 1; // breaks ties between VMs that see the same load

auto expectedMs(const ServiceView &view, double workMs) -> double
{
    const auto slots = static_cast<double>(std::max<std::int64_t>(1, view.upstream->slots));
    const double rounds = 1 + std::max(0.0, view.work.requests + 1 - slots) / slots;
    // A connection is opened first, so the way counts twice.
    return rounds * workMs / std::max(MinHealth, view.health) + 2 * toMilliseconds(roundTripTime(view.distance));
}

} // namespace

auto chooseUpstream(std::span<const ServiceView> views, Duration workTime, std::string_view avoid, Random &random) -> const Upstream *
{
    const bool sound = std::any_of(views.begin(), views.end(),
                                   [&avoid](const auto &view) { return view.health >= MinHealth && view.upstream->id != avoid; });
    std::uniform_real_distribution<double> jitter(0, JitterMs);
    const Upstream *best = nullptr;
    double bestMs = 0;
    for (const auto &view : views) {
        if (view.upstream->id == avoid || (sound && view.health < MinHealth)) {
            continue;
        }
        const double ms = expectedMs(view, toMilliseconds(workTime)) + jitter(random);
        if (best == nullptr || ms < bestMs) {
            best = view.upstream;
            bestMs = ms;
        }
    }
    return best;
}

} // namespace currantstack
