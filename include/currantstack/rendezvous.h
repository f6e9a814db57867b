// Rendezvous (highest random weight) hashing: VMs with the same list of names compute the same owner of a key.
#pragma once

#include "currantstack/codec.h"

#include <span>
#include <string>
#include <string_view>

namespace currantstack
{

/// Returns the name whose hash with the key is highest; an equal hash goes to the lesser name. Empty if `names` is empty.
inline auto rendezvousOwner(std::span<const std::string> names, std::string_view key) -> std::string_view
{
    std::string_view best;
    std::uint64_t bestWeight = 0;
    const auto seed = hash64(key);
    for (const auto &name : names) {
        const auto weight = hash64(name, seed);
        if (best.empty() || weight > bestWeight || (weight == bestWeight && name < best)) {
            best = name;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace currantstack
