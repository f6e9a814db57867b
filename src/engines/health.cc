#include "currantstack/health.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace currantstack
{

namespace
{

constexpr Duration MinFallInterval = milliseconds(40); // counts all streams that one slow decode step delays as one observation
constexpr Duration SlowConfirmWindow = milliseconds(400); // within which a second slow step confirms the first
constexpr double FailureFactor = 0.3; // applied to the weight for a failure

} // namespace

auto HealthTracker::weight(std::string_view upstream, TimePoint now) const -> double
{
    const auto found = m_states.find(upstream);
    if (found == m_states.end()) {
        return 1;
    }
    return std::min(1.0, found->second.weight + RisePerSecond * toSeconds(now - found->second.setAt));
}

auto HealthTracker::lower(std::string_view upstream, double factor, TimePoint now) -> void
{
    auto &state = m_states[std::string(upstream)];
    if (now - state.lastFall < MinFallInterval) {
        return;
    }
    state.weight = weight(upstream, now) * factor;
    state.setAt = now;
    state.lastFall = now;
}

auto HealthTracker::observe(std::string_view upstream, double ratio, TimePoint now) -> void
{
    if (ratio < SlowRatio) {
        return;
    }
    auto &state = m_states[std::string(upstream)];
    const auto sinceSlow = now - std::exchange(state.lastSlow, now);
    // A single slow step is too weak a signal; only a further one within the window lowers the weight.
    if (sinceSlow >= MinFallInterval && sinceSlow < SlowConfirmWindow) {
        lower(upstream, FallFactor, now);
    }
}

auto HealthTracker::observeFailure(std::string_view upstream, TimePoint now) -> void
{
    lower(upstream, FailureFactor, now);
}

auto HealthTracker::weights(std::span<const std::string> pool, double maxEjectedShare, TimePoint now) const -> std::map<std::string, double>
{
    std::map<std::string, double> result;
    std::vector<std::string> ejected;
    for (const auto &upstream : pool) {
        result[upstream] = weight(upstream, now);
        if (result[upstream] < EjectionThreshold) {
            ejected.push_back(upstream);
        }
    }
    const auto allowed = static_cast<std::size_t>(std::floor(maxEjectedShare * static_cast<double>(pool.size())));
    std::sort(ejected.begin(), ejected.end(), [&result](const auto &left, const auto &right) { return result[left] < result[right]; });
    for (std::size_t index = allowed; index < ejected.size(); ++index) {
        result[ejected[index]] = EjectionThreshold;
    }
    return result;
}

auto HealthTracker::reset(std::string_view upstream) -> void
{
    const auto found = m_states.find(upstream);
    if (found != m_states.end()) {
        m_states.erase(found);
    }
}

} // namespace currantstack
