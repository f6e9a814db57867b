#include "currantstack/context.h"

#include "currantstack/rendezvous.h"

namespace currantstack
{

auto Context::ownerOf(const Engine &engine) const -> std::string
{
    if (owners.version != membership.version() || owners.revision != config->revision) {
        owners = {membership.version(), config->revision, {}};
    }
    const auto cached = owners.owners.find(engine.name);
    if (cached != owners.owners.end()) {
        return cached->second;
    }
    auto candidates = membership.liveInPlace(engine.place);
    if (candidates.empty()) {
        candidates = membership.liveInRegion(config->regionOf(engine.place));
    }
    if (candidates.empty()) {
        candidates = membership.live();
    }
    return owners.owners[engine.name] = std::string(rendezvousOwner(candidates, engine.name));
}

} // namespace currantstack
