// The prefix cache of an engine: blocks of a prompt, least recently used first out.
#pragma once

#include "currantstack/codec.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace standin
{

/// Remembers chains of prompt blocks by their hash.
class PrefixCache
{
public:
    static constexpr std::size_t BlockBytes = 256;

    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    { }

    /// Returns the share of the prompt (0 to 1) that lies in the cache, then adds the whole prompt.
    auto use(std::string_view prompt) -> double
    {
        std::uint64_t chain = 0;
        std::size_t hits = 0;
        std::size_t blocks = 0;
        bool matching = true;
        for (std::size_t begin = 0; begin + BlockBytes <= prompt.size(); begin += BlockBytes) {
            chain = currantstack::hash64(prompt.substr(begin, BlockBytes), chain);
            ++blocks;
            matching = touch(chain) && matching;
            hits += matching ? 1 : 0;
        }
        return blocks == 0 ? 0.0 : static_cast<double>(hits * BlockBytes) / static_cast<double>(prompt.size());
    }

    /// Returns the hash that names the prompt's first block, 0 for a shorter prompt.
    static auto headOf(std::string_view prompt) -> std::uint64_t
    {
        return prompt.size() < BlockBytes ? 0 : currantstack::hash64(prompt.substr(0, BlockBytes), 0);
    }

    auto clear() -> void
    {
        m_order.clear();
        m_places.clear();
    }

private:
    auto touch(std::uint64_t key) -> bool
    {
        const auto found = m_places.find(key);
        if (found != m_places.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            return true;
        }
        m_order.push_front(key);
        m_places[key] = m_order.begin();
        if (m_order.size() > m_capacity) {
            m_places.erase(m_order.back());
            m_order.pop_back();
        }
        return false;
    }

    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace standin
