#include "currantstack/decisions/relay_choice.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr double RequestMs = 2; // delay expected from each request that the VM has in flight
constexpr double JitterMs = 1; // spreads the first requests over VMs at the same distance

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
        if (best == nullptr || (candidate.reports && !best->reports) || (candidate.reports == best->reports && ms < bestMs)) {
            best = &candidate;
            bestMs = ms;
        }
    }
    return best;
}

} // namespace currantstack
