#include "currantstack/decisions/relay_choice.h"

#include <algorithm>
#include <random>
#include <utility>

namespace currantstack
{

namespace
{

constexpr double RequestMs = 2; // delay expected from each request that the VM has in flight
constexpr double JitterMs = 1; // spreads the first requests over VMs at the same distance

auto rankOf(const RelayCandidate &candidate) -> int
{
    return (candidate.takesRelays ? 2 : 0) + (candidate.reports ? 1 : 0);
}

} // namespace

auto chooseRelay(std::span<const RelayCandidate> candidates, std::span<const std::string> tried, Random &random) -> const RelayCandidate *
{
    std::uniform_real_distribution<double> jitter(0, JitterMs);
    const RelayCandidate *best = nullptr;
    double bestMs = 0;
    for (const auto &candidate : candidates) {
        if (std::find(tried.begin(), tried.end(), candidate.vm) != tried.end()) {
            continue;
        }
        const double ms = toMilliseconds(roundTripTime(candidate.distance)) + RequestMs * candidate.inFlight + jitter(random);
        if (best == nullptr || std::pair(-rankOf(candidate), ms) < std::pair(-rankOf(*best), bestMs)) {
            best = &candidate;
            bestMs = ms;
        }
    }
    return best;
}

} // namespace currantstack
