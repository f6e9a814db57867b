#include "currantstack/prefix_map.h"

#include "currantstack/codec.h"

namespace currantstack
{

auto PrefixMap::hashPrefix(std::string_view prompt) -> std::uint64_t
{
    return prompt.size() < BlockBytes ? 0 : hash64(prompt.substr(0, BlockBytes));
}

auto PrefixMap::insert(std::string_view prompt, std::string_view engine) -> void
{
    if (const auto hash = hashPrefix(prompt); hash != 0) {
        insertHash(hash, engine);
    }
}

auto PrefixMap::insertHash(std::uint64_t hash, std::string_view engine) -> void
{
    const auto found = m_entries.find(hash);
    if (found != m_entries.end()) {
        m_recency.splice(m_recency.begin(), m_recency, found->second.position);
        found->second.engine.assign(engine);
        return;
    }
    m_recency.push_front(hash);
    m_entries[hash] = {std::string(engine), m_recency.begin()};
    if (m_entries.size() > Capacity) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
}

auto PrefixMap::find(std::string_view prompt) -> std::string_view
{
    const auto found = m_entries.find(hashPrefix(prompt));
    return found == m_entries.end() ? std::string_view() : std::string_view(found->second.engine);
}

auto PrefixMap::removeEngine(std::string_view engine) -> void
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.engine == engine) {
            m_recency.erase(entry->second.position);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace currantstack
