// Routes that were replaced lately, for streams that began under them at other VMs.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/route_table.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace currantstack
{

class RouteHistory
{
public:
    static constexpr Duration Lifetime = seconds(15); // of a replaced table; few streams last longer
    static constexpr std::size_t MaxTables = 8;
    static constexpr std::size_t MaxRoutes = 2000; // of all tables, which bounds their memory to a few megabytes

    /// Keeps a table that was replaced now, and drops the oldest ones beyond the limits.
    auto add(std::shared_ptr<const RouteTable> replaced, TimePoint now) -> void;

    /// Drops tables after their lifetime.
    auto expire(TimePoint now) -> void;

    /// Returns the table with this version, or null.
    auto find(std::int64_t version) const -> std::shared_ptr<const RouteTable>;

private:
    struct Entry
    {
        std::shared_ptr<const RouteTable> table;
        TimePoint replacedAt;
    };

    std::deque<Entry> m_entries; // newest last
    std::size_t m_routes = 0; // of all tables
};

} // namespace currantstack
