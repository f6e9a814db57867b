// Quarantine entries in the store, from which VMs learn them that no peer can tell: after the whole fleet restarted, or across a cut.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/store_follower.h"
#include "currantstack/edge/unreadable_entries.h"

#include <set>

namespace currantstack
{

/// Follows the stored entries, and writes those that are missing under a lease that ends with the quarantine.
class QuarantineStore
{
public:
    /// An entry is written after a random part of this time unless another VM has written it by then.
    static constexpr Duration LongestWriteDelay = milliseconds(1500);
    static constexpr Duration RetryDelay = seconds(2);
    static constexpr seconds ShortestLease{2};

    /// `onEntry` receives the entries that other VMs wrote.
    QuarantineStore(EdgeContext &context, const StoreCodec &codec, Store &store, std::function<void(const QuarantineEntry &)> onEntry);

    auto start() -> void
    {
        m_follower.start();
    }

    /// Writes the entries that are missing in the store and deletes those that are not in force any more.
    auto synchronize(std::span<const QuarantineEntry> entries, TimePoint now) -> void;

    auto isEmpty() const -> bool
    {
        return m_stored.empty() && m_dueAt.empty();
    }

private:
    auto keyOf(const QuarantineEntry &entry) const -> std::string;
    auto onValue(const StoreValue &value) -> void;
    auto onSnapshot(const StoreRange &range) -> void;
    auto onEvents(std::span<const StoreEvent> events) -> void;
    auto isDue(const std::string &key, TimePoint now) -> bool;
    auto write(const std::string &key, const QuarantineEntry &entry) -> void;
    auto remove(const std::string &key) -> void;
    auto logFailure(std::string_view step, const std::string &key, const Error &error) -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    std::function<void(const QuarantineEntry &)> m_onEntry;
    StoreFollower m_follower;
    UnreadableEntries m_unreadable;
    std::set<std::string> m_stored; // keys
    std::map<std::string, TimePoint> m_dueAt; // of the next write or deletion of a key
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
