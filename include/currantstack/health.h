// Stragglers: weights of upstreams from what this VM sees itself.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace currantstack
{

/// Keeps a weight from 0 to 1 for each upstream. Weights fall fast and rise slowly.
class HealthTracker
{
public:
    /// Records an observation as the ratio of the seen to the expected time; 1 is as expected.
    auto observe(std::string_view upstream, double ratio, TimePoint now) -> void;

    /// Records a failure or a wait that ran into its limit.
    auto observeFailure(std::string_view upstream, TimePoint now) -> void;

    auto weight(std::string_view upstream, TimePoint now) const -> double;

    /// Returns the weights of a pool's upstreams. At most the share `maxEjected` of them is under the bar for work; the best of
    /// the others are lifted over it.
    auto weights(std::span<const std::string> pool, double maxEjected, TimePoint now) const -> std::map<std::string, double>;

    auto forget(std::string_view upstream) -> void;

    static constexpr double SlowRatio = 1.8; // from which an observation lowers the weight
    static constexpr double FallFactor = 0.4; // of the weight, for each slow observation
    static constexpr double RisePerSecond = 0.25;
    static constexpr double EjectedBelow = 0.05;

private:
    struct State
    {
        double weight = 1;
        TimePoint since; // when the weight was last set
        TimePoint lastFall;
        TimePoint lastSlow;
    };

    auto lower(std::string_view upstream, double factor, TimePoint now) -> void;

    std::map<std::string, State, std::less<>> m_states;
};

} // namespace currantstack
