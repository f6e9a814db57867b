// Rendezvous hashing: every VM computes the same owner of a key from the same list of VMs.
#pragma once

#include "currantstack/codec.h"

#include <span>
#include <string>
#include <string_view>

namespace currantstack
{

/// Returns the name with the highest hash together with the key, or an empty view of an empty list.
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
