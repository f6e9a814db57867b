#include "currantstack/decisions/role_plan.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace currantstack
{

namespace
{

// Prefill engines queue prompts of uneven length, so they need more headroom than decode engines, whose streams overlap.
constexpr double PrefillHeadroom = 1.25;

/// Returns the place where the role has most engines for each engine of the other role.
auto fullestPlace(std::span<const Upstream *const> engines, EngineRole role) -> std::string_view
{
    std::map<std::string_view, std::pair<double, double>> places; // of the role, of all
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

auto balancedPrefillEngines(const RequestCost &cost, const EngineSpec &model, std::size_t engines) -> double
{
    const double byMemory = static_cast<double>(model.kvTokens) / std::max(1.0, cost.kvTokens);
    const double atOnce = std::max(1.0, std::min(byMemory, static_cast<double>(model.slots)));
    const double readShare = PrefillHeadroom * cost.prefillMs;
    const double streamShare = cost.streamMs / atOnce;
    const auto count = static_cast<double>(engines);
    if (readShare + streamShare <= 0 || engines < 2) {
        return count / 2;
    }
    return std::clamp(count * readShare / (readShare + streamShare), 1.0, count - 1);
}

auto RolePlanner::isCoolingDown(const Upstream &engine, TimePoint now) const -> bool
{
    const auto ordered = m_ordered.find(engine.id);
    return ordered != m_ordered.end() && now - ordered->second.at < OrderCooldown;
}

auto RolePlanner::targetRole(const Upstream &engine, TimePoint now) const -> EngineRole
{
    return isCoolingDown(engine, now) ? m_ordered.find(engine.id)->second.role : engine.role;
}

auto RolePlanner::propose(std::span<const Upstream *const> engines, double wanted, Duration streamDuration, TimePoint now)
    -> std::vector<RoleChange>
{
    const auto observed = now - m_firstAsked.value_or(now);
    m_firstAsked = m_firstAsked.value_or(now);
    const auto count = static_cast<double>(engines.size());
    const auto prefill =
        std::count_if(engines.begin(), engines.end(), [&](const auto *engine) { return targetRole(*engine, now) == EngineRole::Prefill; });
    const double excess = static_cast<double>(prefill) - wanted;
    const int sign = std::abs(excess) < std::max(Hysteresis, HysteresisShare * count) ? 0 : (excess > 0 ? 1 : -1);
    if (sign != m_direction.sign) {
        m_direction = {sign, now};
    }
    const bool settled = toMilliseconds(observed) >= SettledStreams * toMilliseconds(streamDuration);
    if (sign == 0 || (sign < 0 && !settled) || now - m_direction.since < Persistence) {
        return {};
    }
    const auto from = sign > 0 ? EngineRole::Prefill : EngineRole::Decode;
    const auto to = sign > 0 ? EngineRole::Decode : EngineRole::Prefill;
    const auto away =
        std::count_if(engines.begin(), engines.end(), [&](const auto *engine) { return targetRole(*engine, now) != engine->role; });
    const auto limit = std::max(1.0, std::floor(AwayShare * count));
    const auto changing = std::min(std::round(std::abs(excess)), limit - static_cast<double>(away));
    std::vector<const Upstream *> rest;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(rest),
                 [&](const auto *engine) { return !isCoolingDown(*engine, now); });
    std::vector<RoleChange> changes;
    while (static_cast<double>(changes.size()) < changing) {
        const auto place = fullestPlace(rest, from);
        const auto found =
            std::find_if(rest.begin(), rest.end(), [&](const auto *engine) { return engine->role == from && engine->place == place; });
        if (found == rest.end()) {
            break;
        }
        changes.push_back({*found, to});
        rest.erase(found);
    }
    return changes;
}

auto RolePlanner::onOrdered(std::string_view engine, EngineRole role, TimePoint now) -> void
{
    m_ordered.insert_or_assign(std::string(engine), Order{role, now});
}

} // namespace currantstack
