#include "currantstack/prefix_map.h"

#include "currantstack/codec.h"

namespace currantstack
{

auto PrefixMap::headOf(std::string_view prompt) -> std::uint64_t
{
    return prompt.size() < BlockBytes ? 0 : hash64(prompt.substr(0, BlockBytes));
}

auto PrefixMap::learn(std::string_view prompt, std::string_view engine) -> void
{
    if (const auto head = headOf(prompt); head != 0) {
        insertHash(head, engine);
    }
}

auto PrefixMap::insertHash(std::uint64_t head, std::string_view engine) -> void
{
    const auto found = m_entries.find(head);
    if (found != m_entries.end()) {
        m_order.splice(m_order.begin(), m_order, found->second.place);
        found->second.engine.assign(engine);
        return;
    }
    m_order.push_front(head);
    m_entries[head] = {std::string(engine), m_order.begin()};
    if (m_entries.size() > Capacity) {
        m_entries.erase(m_order.back());
        m_order.pop_back();
    }
}

auto PrefixMap::find(std::string_view prompt) -> std::string_view
{
    const auto found = m_entries.find(headOf(prompt));
    return found == m_entries.end() ? std::string_view() : std::string_view(found->second.engine);
}

auto PrefixMap::forgetEngine(std::string_view engine) -> void
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.engine == engine) {
            m_order.erase(entry->second.place);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace currantstack
