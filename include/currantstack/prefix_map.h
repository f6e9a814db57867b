// Guess of the engine that caches a prompt's prefix. The map is a hint only, because cache events are delayed and have gaps.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace currantstack
{

/// Maps the hash of a prompt's first block to the engine that computed it last. Evicts the least recently updated entry.
class PrefixMap
{
public:
    static constexpr std::size_t BlockBytes = 256; // prompt bytes that are hashed
    static constexpr std::size_t Capacity = 50000; // entries, about 6 MB

    auto insert(std::string_view prompt, std::string_view engine) -> void;
    auto insertHash(std::uint64_t hash, std::string_view engine) -> void;

    /// Returns the engine, or an empty view if none is known.
    auto find(std::string_view prompt) -> std::string_view;

    /// Removes the entries of an engine that has lost its cache.
    auto removeEngine(std::string_view engine) -> void;

    /// Returns the hash of the first block, or 0 for a prompt that is shorter than a block.
    static auto hashPrefix(std::string_view prompt) -> std::uint64_t;

private:
    struct Entry
    {
        std::string engine;
        std::list<std::uint64_t>::iterator position;
    };

    std::list<std::uint64_t> m_recency; // hashes, most recently updated first
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace currantstack
