// The prefix cache of an engine: an LRU cache of prompt blocks.
#pragma once

#include "currantstack/codec.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standin
{

/// An LRU cache of prompt blocks, each identified by the hash of the prompt up to its end.
class PrefixCache
{
public:
    static constexpr std::size_t BlockBytes = 256;

    /// The capacity is in blocks.
    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Returns the share of the prompt (0 to 1) that the cache holds from its start, and inserts the whole prompt.
    auto lookupAndInsert(std::string_view prompt) -> double
    {
        std::uint64_t prefixHash = 0;
        std::size_t hits = 0;
        std::size_t blocks = 0;
        bool matching = true;
        for (std::size_t begin = 0; begin + BlockBytes <= prompt.size(); begin += BlockBytes) {
            prefixHash = currantstack::hash64(prompt.substr(begin, BlockBytes), prefixHash);
            ++blocks;
            matching = touch(prefixHash) && matching;
            hits += matching ? 1 : 0;
        }
        return blocks == 0 ? 0.0 : static_cast<double>(hits * BlockBytes) / static_cast<double>(prompt.size());
    }

    /// Returns the hash of the prompt's first block, 0 for a prompt shorter than a block.
    static auto firstBlockHash(std::string_view prompt) -> std::uint64_t
    {
        return prompt.size() < BlockBytes ? 0 : currantstack::hash64(prompt.substr(0, BlockBytes), 0);
    }

    auto clear() -> void
    {
        m_lru.clear();
        m_positions.clear();
    }

private:
    /// Moves the block to the front, inserting it if needed; returns whether the cache held it.
    auto touch(std::uint64_t key) -> bool
    {
        const auto found = m_positions.find(key);
        if (found != m_positions.end()) {
            m_lru.splice(m_lru.begin(), m_lru, found->second);
            return true;
        }
        m_lru.push_front(key);
        m_positions[key] = m_lru.begin();
        if (m_lru.size() > m_capacity) {
            m_positions.erase(m_lru.back());
            m_lru.pop_back();
        }
        return false;
    }

    std::size_t m_capacity;
    std::list<std::uint64_t> m_lru; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

} // namespace standin
