#include "kv_store.h"

namespace standin
{

namespace
{

constexpr std::size_t MaxChanges = 20000;

} // namespace

auto KvStore::range(const std::string &key, const std::string &end) const -> std::vector<StoreValue>
{
    std::vector<StoreValue> values;
    const auto first = m_entries.lower_bound(key);
    const auto last = end.empty() ? m_entries.upper_bound(key) : m_entries.lower_bound(end);
    for (auto entry = first; entry != last; ++entry) {
        values.push_back({entry->first, entry->second.value, entry->second.modRevision});
    }
    return values;
}

auto KvStore::commit(const StoreTransaction &transaction) -> bool
{
    for (const auto &compare : transaction.compares) {
        const auto found = m_entries.find(compare.key);
        if ((found == m_entries.end() ? 0 : found->second.modRevision) != compare.modRevision) {
            return false;
        }
    }
    if (!transaction.puts.empty() || !transaction.deletes.empty()) {
        ++m_revision;
    }
    for (const auto &change : transaction.puts) {
        put(change.key, change.value, change.lease);
    }
    for (const auto &key : transaction.deletes) {
        erase(key);
    }
    return true;
}

auto KvStore::put(const std::string &key, const std::string &value, std::int64_t lease) -> void
{
    m_entries[key] = {value, m_revision, lease};
    m_changes.push_back({m_revision, {{key, value, m_revision}, false}});
    if (m_changes.size() > MaxChanges) {
        m_changes.pop_front();
    }
}

auto KvStore::erase(const std::string &key) -> void
{
    if (m_entries.erase(key) > 0) {
        m_changes.push_back({m_revision, {{key, "", m_revision}, true}});
    }
}

auto KvStore::grantLease(std::int64_t ttlSeconds, TimePoint now) -> std::int64_t
{
    const auto id = m_nextLease++;
    m_leases[id] = {ttlSeconds, now + seconds(ttlSeconds)};
    return id;
}

auto KvStore::renewLease(std::int64_t lease, TimePoint now) -> std::int64_t
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return 0;
    }
    found->second.expires = now + seconds(found->second.ttlSeconds);
    return found->second.ttlSeconds;
}

auto KvStore::revokeLease(std::int64_t lease) -> void
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, entry] : m_entries) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const auto &key : keys) {
        erase(key);
    }
}

auto KvStore::expireLeases(TimePoint now) -> void
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expires < now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        revokeLease(id);
    }
}

auto KvStore::changesFrom(std::int64_t revision) const -> std::vector<Change>
{
    std::vector<Change> changes;
    for (const auto &change : m_changes) {
        if (change.revision >= revision) {
            changes.push_back(change);
        }
    }
    return changes;
}

} // namespace standin
