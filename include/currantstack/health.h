// Straggler detection: weights of upstreams, from observations of this VM.
#pragma once

#include "currantstack/clock.h"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace currantstack
{

/// Keeps a weight from 0 to 1 for each upstream. Slow responses and failures lower it quickly; it recovers over time.
class HealthTracker
{
public:
    /// Records the ratio of an observed to the expected time. Only repeated ratios of at least `SlowRatio` lower the weight.
    auto observe(std::string_view upstream, double ratio, TimePoint now) -> void;

    /// Records a failure or a timeout.
    auto observeFailure(std::string_view upstream, TimePoint now) -> void;

    auto weight(std::string_view upstream, TimePoint now) const -> double;

    /// Returns the weights of a pool's upstreams. At most the share `maxEjectedShare` of them, those with the lowest weights, are below
    /// `EjectionThreshold`; others are raised to it.
    auto weights(std::span<const std::string> pool, double maxEjectedShare, TimePoint now) const -> std::map<std::string, double>;

    auto reset(std::string_view upstream) -> void;

    static constexpr double SlowRatio = 1.8; // observed to expected time, from which a response counts as slow
    static constexpr double FallFactor = 0.4; // applied to the weight for a confirmed slow response
    static constexpr double RisePerSecond = 0.25; // recovery of the weight
    static constexpr double EjectionThreshold = 0.05; // weight below which an upstream gets no work

private:
    struct State
    {
        double weight = 1;
        TimePoint setAt; // last change of `weight`
        TimePoint lastFall;
        TimePoint lastSlow; // last slow response
    };

    auto lower(std::string_view upstream, double factor, TimePoint now) -> void;

    std::map<std::string, State, std::less<>> m_states;
};

} // namespace currantstack
