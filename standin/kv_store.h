// The state of the stand-in key-value service: keys with revisions, leases and the history that watches read.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/store.h"

#include <deque>
#include <map>
#include <set>

namespace standin
{

using namespace currantstack;

/// Keys, revisions and leases; no sockets and no clock of its own.
class KvStore
{
public:
    struct Entry
    {
        std::string value;
        std::int64_t modRevision = 0;
        std::int64_t lease = 0;
    };

    struct Change
    {
        std::int64_t revision = 0;
        StoreEvent event;
    };

    auto revision() const -> std::int64_t
    {
        return m_revision;
    }

    /// Returns the values of the range; an empty `end` means the one key.
    auto range(const std::string &key, const std::string &end) const -> std::vector<StoreValue>;

    /// Applies the transaction where its compares hold; returns whether they did.
    auto commit(const StoreTransaction &transaction) -> bool;

    auto grantLease(std::int64_t ttlSeconds, TimePoint now) -> std::int64_t;

    /// Returns the lease's time to live in seconds, 0 where it has lapsed.
    auto keepLease(std::int64_t lease, TimePoint now) -> std::int64_t;
    auto revokeLease(std::int64_t lease) -> void;
    auto expireLeases(TimePoint now) -> void;

    /// Returns the changes from the revision on.
    auto changesFrom(std::int64_t revision) const -> std::vector<Change>;

private:
    struct Lease
    {
        std::int64_t ttlSeconds = 0;
        TimePoint expires;
    };

    auto put(const std::string &key, const std::string &value, std::int64_t lease) -> void;
    auto erase(const std::string &key) -> void;

    std::map<std::string, Entry> m_entries;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<Change> m_changes;
    std::int64_t m_revision = 1;
    std::int64_t m_nextLease = 1000;
};

} // namespace standin
