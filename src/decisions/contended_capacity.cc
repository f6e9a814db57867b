#include "currantstack/decisions/contended_capacity.h"

#include "currantstack/codec.h"

#include <algorithm>

namespace currantstack
{

auto mayTakeCapacity(std::string_view engine, double freeStreams, std::string_view self, std::span<const std::string_view> waitingVms)
    -> bool
{
    const auto seed = hash64(engine);
    const auto own = hash64(self, seed);
    const auto before = std::count_if(waitingVms.begin(), waitingVms.end(), [&](std::string_view vm) { return hash64(vm, seed) > own; });
    return static_cast<double>(before) < freeStreams;
}

auto RemoteRefusals::onRefused(std::string_view place, TimePoint now) -> void
{
    m_refusedAt.insert_or_assign(std::string(place), now);
}

auto RemoteRefusals::mayTry(std::string_view place, TimePoint now) const -> bool
{
    const auto found = m_refusedAt.find(place);
    return found == m_refusedAt.end() || now - found->second >= Lifetime;
}

} // namespace currantstack
