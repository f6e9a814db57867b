#include "currantstack/edge/unreadable_entries.h"

#include <set>

namespace currantstack
{

auto UnreadableEntries::add(const StoreValue &value) -> bool
{
    const auto [found, isNew] = m_revisions.try_emplace(value.key, value.modRevision);
    return std::exchange(found->second, value.modRevision) != value.modRevision || isNew;
}

auto UnreadableEntries::remove(std::string_view key) -> void
{
    if (const auto found = m_revisions.find(key); found != m_revisions.end()) {
        m_revisions.erase(found);
    }
}

auto UnreadableEntries::retain(std::span<const StoreValue> values) -> void
{
    if (m_revisions.empty()) {
        return;
    }
    std::set<std::string_view> keys;
    for (const auto &value : values) {
        keys.insert(value.key);
    }
    std::erase_if(m_revisions, [&keys](const auto &entry) { return !keys.contains(entry.first); });
}

} // namespace currantstack
