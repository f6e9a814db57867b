// State of the stand-in key-value service: keys with revisions, leases, and the change history for watches.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/store.h"

#include <deque>
#include <map>
#include <set>

namespace standin
{

using namespace currantstack;

/// Keys, revisions and leases. Callers pass the time; there is no I/O.
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

    /// Returns the values in [key, end), or of `key` alone if `end` is empty.
    auto range(const std::string &key, const std::string &end) const -> std::vector<StoreValue>;

    /// Applies the transaction if all its compares hold; returns whether they did.
    auto commit(const StoreTransaction &transaction) -> bool;

    /// Returns the id of the new lease.
    auto grantLease(std::int64_t ttlSeconds, TimePoint now) -> std::int64_t;

    /// Returns the lease's time to live in seconds, 0 if it has expired.
    auto renewLease(std::int64_t lease, TimePoint now) -> std::int64_t;
    /// Ends the lease and deletes its keys.
    auto revokeLease(std::int64_t lease) -> void;
    auto expireLeases(TimePoint now) -> void;

    /// Returns the retained changes with this revision or a later one.
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
