// Balances the numbers of prefill and decode engines of a service.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/engine_placement.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace currantstack
{

/// Returns the number of prefill engines at which both roles reach their capacity at the same request rate. The result does not
/// depend on that rate, so it is known before a peak load.
auto balancedPrefillEngines(const RequestCost &cost, const EngineSpec &spec, std::size_t engines) -> double;

/// A proposed order: the engine should change to the role.
struct RoleChange
{
    const Upstream *engine = nullptr;
    EngineRole role = EngineRole::None;
};

/// Proposes role changes. It reacts slowly, as a change makes an engine unavailable for some seconds.
class RolePlanner
{
public:
    /// Deviation from the target, in engines and as a share of all engines, below which nothing changes; the larger one applies. The
    /// target is an estimate, and a change makes an engine unavailable for seconds.
    static constexpr double Hysteresis = 0.75;
    static constexpr double HysteresisShare = 0.04;
    /// The deviation must keep its direction for this time before changes are proposed.
    static constexpr Duration MinDeviationTime = seconds(2);
    /// Largest share of a service's engines that may change at once, at least one engine.
    static constexpr double MaxChangingShare = 0.15;
    /// An engine gets no further order for this time, regardless of the outcome of the last one.
    static constexpr Duration OrderCooldown = seconds(15);

    /// The mean stream duration has settled after this many mean durations of observation.
    static constexpr double SettlingStreamDurations = 3;

    /// Returns the changes to order now. `targetPrefill` is the balanced number of prefill engines and `streamDuration` the mean from
    /// which it was derived. Short streams end first, so the target is too high at first: changes to prefill are proposed only once
    /// the mean has settled.
    auto propose(std::span<const Upstream *const> engines, double targetPrefill, Duration streamDuration, TimePoint now)
        -> std::vector<RoleChange>;

    /// Records that the engine was ordered to change. It counts as having the new role for `OrderCooldown`, as
    /// its store entry changes only later.
    auto onOrdered(std::string_view engine, EngineRole role, TimePoint now) -> void;

private:
    struct Deviation
    {
        int sign = 0; // 1: too many prefill engines, -1: too few
        TimePoint since;
    };

    struct Order
    {
        EngineRole role = EngineRole::None;
        TimePoint at;
    };

    auto isCoolingDown(const Upstream &engine, TimePoint now) const -> bool;
    /// Returns the ordered role during the cooldown, else the registered one.
    auto targetRole(const Upstream &engine, TimePoint now) const -> EngineRole;

    Deviation m_deviation;
    std::optional<TimePoint> m_firstProposeAt;
    std::map<std::string, Order, std::less<>> m_orders; // last one by engine id
};

} // namespace currantstack
