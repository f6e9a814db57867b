// Which engine probably holds a prompt's prefix. The map is a hint: cache events are late and have gaps.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace currantstack
{

/// Remembers for the first block of a prompt the engine that last computed it, least recently used first out.
class PrefixMap
{
public:
    static constexpr std::size_t BlockBytes = 256;
    static constexpr std::size_t Capacity = 50000; // about 6 MB

    auto learn(std::string_view prompt, std::string_view engine) -> void;
    auto insertHash(std::uint64_t head, std::string_view engine) -> void;

    /// Returns the engine, or an empty view.
    auto find(std::string_view prompt) -> std::string_view;

    /// Drops what points to an engine that has lost its cache.
    auto forgetEngine(std::string_view engine) -> void;

    static auto headOf(std::string_view prompt) -> std::uint64_t;

private:
    struct Entry
    {
        std::string engine;
        std::list<std::uint64_t>::iterator place;
    };

    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace currantstack
