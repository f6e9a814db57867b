#include "currantstack/decisions/role_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace currantstack
{

namespace
{

// Prefill engines queue prompts of uneven length, so they need more headroom than decode engines, which interleave their streams.
constexpr double PrefillHeadroom = 1.25;

/// Returns the place where the role has the largest share of the engines.
auto placeWithLargestShare(std::span<const Upstream *const> engines, EngineRole role) -> std::string_view
{
    std::map<std::string_view, std::pair<double, double>> places; // engines of the role, all engines
    for (const auto *engine : engines) {
        auto &[ofRole, all] = places[engine->place];
        ofRole += engine->role == role ? 1 : 0;
        all += 1;
    }
    std::string_view best;
    double bestShare = -1;
    for (const auto &[place, counts] : places) {
        const double share = counts.first / counts.second;
        if (share > bestShare) {
            best = place;
            bestShare = share;
        }
    }
    return best;
}

} // namespace

auto balancedPrefillEngines(const RequestCost &cost, const EngineSpec &spec, std::size_t engines) -> double
{
    const double fittingStreams = static_cast<double>(spec.kvTokens) / std::max(1.0, cost.kvTokens);
    const double concurrentStreams = std::max(1.0, std::min(fittingStreams, static_cast<double>(spec.slots)));
    const double prefillLoad = PrefillHeadroom * cost.prefillMs;
    const double decodeLoad = cost.streamMs / concurrentStreams;
    const auto count = static_cast<double>(engines);
    if (prefillLoad + decodeLoad <= 0 || engines < 2) {
        return count / 2;
    }
    return std::clamp(count * prefillLoad / (prefillLoad + decodeLoad), 1.0, count - 1);
}

auto RolePlanner::isCoolingDown(const Upstream &engine, TimePoint now) const -> bool
{
    const auto ordered = m_orders.find(engine.id);
    return ordered != m_orders.end() && now - ordered->second.at < OrderCooldown;
}

auto RolePlanner::targetRole(const Upstream &engine, TimePoint now) const -> EngineRole
{
    return isCoolingDown(engine, now) ? m_orders.find(engine.id)->second.role : engine.role;
}

auto RolePlanner::propose(std::span<const Upstream *const> engines, double targetPrefill, Duration streamDuration, TimePoint now)
    -> std::vector<RoleChange>
{
    const auto observed = now - m_firstProposeAt.value_or(now);
    m_firstProposeAt = m_firstProposeAt.value_or(now);
    const auto count = static_cast<double>(engines.size());
    const auto prefill =
        std::count_if(engines.begin(), engines.end(), [&](const auto *engine) { return targetRole(*engine, now) == EngineRole::Prefill; });
    const double excess = static_cast<double>(prefill) - targetPrefill;
    const int sign = std::abs(excess) < std::max(Hysteresis, HysteresisShare * count) ? 0 : (excess > 0 ? 1 : -1);
    if (sign != m_deviation.sign) {
        m_deviation = {sign, now};
    }
    const bool settled = toMilliseconds(observed) >= SettlingStreamDurations * toMilliseconds(streamDuration);
    if (sign == 0 || (sign < 0 && !settled) || now - m_deviation.since < MinDeviationTime) {
        return {};
    }
    const auto from = sign > 0 ? EngineRole::Prefill : EngineRole::Decode;
    const auto to = sign > 0 ? EngineRole::Decode : EngineRole::Prefill;
    const auto pending =
        std::count_if(engines.begin(), engines.end(), [&](const auto *engine) { return targetRole(*engine, now) != engine->role; });
    const auto limit = std::max(1.0, std::floor(MaxChangingShare * count));
    const auto allowed = std::min(std::round(std::abs(excess)), limit - static_cast<double>(pending));
    std::vector<const Upstream *> candidates;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(candidates),
                 [&](const auto *engine) { return !isCoolingDown(*engine, now); });
    std::vector<RoleChange> changes;
    while (static_cast<double>(changes.size()) < allowed) {
        const auto place = placeWithLargestShare(candidates, from);
        const auto found = std::find_if(candidates.begin(), candidates.end(),
                                        [&](const auto *engine) { return engine->role == from && engine->place == place; });
        if (found == candidates.end()) {
            break;
        }
        changes.push_back({*found, to});
        candidates.erase(found);
    }
    return changes;
}

auto RolePlanner::onOrdered(std::string_view engine, EngineRole role, TimePoint now) -> void
{
    m_orders.insert_or_assign(std::string(engine), Order{role, now});
}

} // namespace currantstack
