#include "currantstack/context.h"

#include "currantstack/rendezvous.h"

namespace currantstack
{

auto Context::ownerOf(const Engine &engine) const -> std::string
{
    auto candidates = membership.livePlace(engine.place);
    if (candidates.empty()) {
        candidates = membership.liveRegion(config->regionOf(engine.place));
    }
    if (candidates.empty()) {
        candidates = membership.live();
    }
    return std::string(rendezvousOwner(candidates, engine.name));
}

} // namespace currantstack
