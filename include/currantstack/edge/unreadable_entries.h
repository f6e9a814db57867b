// Store entries that cannot be read, so that each of their revisions is logged once.
#pragma once

#include "currantstack/store.h"

#include <map>

namespace currantstack
{

/// Remembers the revision at which each unreadable entry was reported.
class UnreadableEntries
{
public:
    /// Returns whether this revision of the entry has not been added yet.
    auto add(const StoreValue &value) -> bool;

    /// Removes an entry that was deleted or can be read again.
    auto remove(std::string_view key) -> void;

    /// Removes the entries that a complete read does not contain.
    auto retain(std::span<const StoreValue> values) -> void;

    auto contains(std::string_view key) const -> bool
    {
        return m_revisions.contains(key);
    }

private:
    std::map<std::string, std::int64_t, std::less<>> m_revisions;
};

} // namespace currantstack
