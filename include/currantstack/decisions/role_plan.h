// How many engines of a service should read prompts, and how many make tokens.
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

/// Returns the number of prefill engines with which both roles run full at the same rate of requests. The result does not depend
/// on the rate, so it can be told before a crest.
auto balancedPrefillEngines(const RequestCost &cost, const EngineSpec &model, std::size_t engines) -> double;

/// One engine that should change its role.
struct RoleChange
{
    const Upstream *engine = nullptr;
    EngineRole role = EngineRole::None;
};

/// Proposes role changes, slowly: a change costs an engine some seconds.
class RolePlanner
{
public:
    /// A change is proposed once the number of engines is off by more than this, or by this part of a large fleet: the balance is
    /// an estimate, and an engine that changes is away for seconds.
    static constexpr double Hysteresis = 0.75;
    static constexpr double HysteresisShare = 0.04;
    /// The balance must have asked for the same direction for so long.
    static constexpr Duration Persistence = seconds(2);
    /// Part of a service's engines that may be away for a change at once, one at least.
    static constexpr double AwayShare = 0.15;
    /// An engine that was ordered is left alone for so long, whatever became of the order.
    static constexpr Duration OrderCooldown = seconds(15);

    /// The lengths of streams are known once this many of them could have ended one after the other.
    static constexpr double SettledStreams = 3;

    /// Returns the changes to order now. `wanted` is the balanced number of prefill engines, `streamDuration` what it was derived
    /// from. The streams that end first are the short ones, so that the balance leans to prefill at first; engines are
    /// ordered that way only when it has settled.
    auto propose(std::span<const Upstream *const> engines, double wanted, Duration streamDuration, TimePoint now)
        -> std::vector<RoleChange>;

    /// Notes that the engine was ordered. Until its entry shows the role, or `OrderCooldown` is over, it counts as changed.
    auto onOrdered(std::string_view engine, EngineRole role, TimePoint now) -> void;

private:
    struct Direction
    {
        int sign = 0;
        TimePoint since;
    };

    struct Order
    {
        EngineRole role = EngineRole::None;
        TimePoint at;
    };

    auto isCoolingDown(const Upstream &engine, TimePoint now) const -> bool;
    auto targetRole(const Upstream &engine, TimePoint now) const -> EngineRole;

    Direction m_direction;
    std::optional<TimePoint> m_firstAsked;
    std::map<std::string, Order, std::less<>> m_ordered;
};

} // namespace currantstack
