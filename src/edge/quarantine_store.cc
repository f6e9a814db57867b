#include "currantstack/edge/quarantine_store.h"

#include "currantstack/codec.h"
#include "currantstack/edge/quarantine_message.h"

namespace currantstack
{

QuarantineStore::QuarantineStore(EdgeContext &context, const StoreCodec &codec, Store &store,
                                 std::function<void(const QuarantineEntry &)> onEntry)
    : m_context(context)
    , m_codec(codec)
    , m_store(store)
    , m_onEntry(std::move(onEntry))
    , m_follower(context.loop, context.clock, context.random, store, context.log, codec.quarantinePrefix(),
                 {[this](const StoreRange &range, const StoreFollower::Interruption & /*interruption*/) { onSnapshot(range); },
                  [this](std::span<const StoreEvent> events) { onEvents(events); }})
{ }

auto QuarantineStore::keyOf(const QuarantineEntry &entry) const -> std::string
{
    Fingerprint hash = 0;
    for (const auto &text : fingerprintTexts(entry.traits)) {
        hash = hash64(text, hash);
    }
    return m_codec.quarantinePrefix() + fingerprintText(hash);
}

auto QuarantineStore::onSnapshot(const StoreRange &range) -> void
{
    m_stored.clear();
    for (const auto &value : range.values) {
        onValue(value);
    }
    m_unreadable.retain(range.values);
}

auto QuarantineStore::onEvents(std::span<const StoreEvent> events) -> void
{
    for (const auto &event : events) {
        if (event.deleted) {
            m_stored.erase(event.value.key);
            m_unreadable.remove(event.value.key);
        } else {
            onValue(event.value);
        }
    }
}

auto QuarantineStore::onValue(const StoreValue &value) -> void
{
    const auto entry = decodeStoredEntry(value.value, m_context.clock.wall());
    if (!entry) {
        m_stored.erase(value.key); // it may be of a later build, so it is left to its lease
        if (m_unreadable.add(value)) {
            m_context.log.write("quarantine", "entry_ignored",
                                {{"key", excerpt(value.key)}, {"revision", value.modRevision}, {"error", describe(entry.error())}});
        }
        return;
    }
    m_stored.insert(value.key);
    m_unreadable.remove(value.key);
    m_onEntry(*entry);
}

auto QuarantineStore::isDue(const std::string &key, TimePoint now) -> bool
{
    const auto [found, isNew] = m_dueAt.try_emplace(key);
    if (isNew) {
        std::uniform_real_distribution<double> delayMs(0, toMilliseconds(LongestWriteDelay));
        found->second = now + fromMilliseconds(delayMs(m_context.random));
    }
    if (now < found->second) {
        return false;
    }
    found->second = now + RetryDelay;
    return true;
}

auto QuarantineStore::synchronize(std::span<const QuarantineEntry> entries, TimePoint now) -> void
{
    std::set<std::string> inForce;
    for (const auto &entry : entries) {
        const auto key = keyOf(entry);
        inForce.insert(key);
        if (!m_stored.contains(key) && entry.remaining > ShortestLease && isDue(key, now)) {
            write(key, entry);
        }
    }
    for (const auto &key : m_stored) {
        if (!inForce.contains(key) && isDue(key, now)) {
            remove(key);
        }
    }
    std::erase_if(m_dueAt, [&](const auto &due) { return inForce.contains(due.first) == m_stored.contains(due.first); });
}

auto QuarantineStore::write(const std::string &key, const QuarantineEntry &entry) -> void
{
    const auto ttl = std::chrono::duration_cast<seconds>(entry.remaining);
    m_store.grantLease(ttl, [this, alive = m_alive, key, entry](const Result<std::int64_t> &lease) {
        if (!*alive) {
            return;
        }
        if (!lease) {
            logFailure("grant", key, lease.error());
            return;
        }
        StoreTransaction transaction;
        transaction.compares.push_back({key, 0});
        transaction.puts.push_back({key, encodeStoredEntry(entry, m_context.clock.wall()), *lease});
        m_store.commit(std::move(transaction), [this, alive, key](const Result<StoreOutcome> &outcome) {
            if (!*alive) {
                return;
            }
            if (!outcome) {
                logFailure("write", key, outcome.error());
                return;
            }
            m_context.log.write("quarantine", "entry_stored",
                                {{"key", excerpt(key)}, {"written", outcome->applied}, {"revision", outcome->revision}});
        });
    });
}

auto QuarantineStore::remove(const std::string &key) -> void
{
    StoreTransaction transaction;
    transaction.deletes.push_back(key);
    m_store.commit(std::move(transaction), [this, alive = m_alive, key](const Result<StoreOutcome> &outcome) {
        if (!*alive) {
            return;
        }
        if (!outcome) {
            logFailure("delete", key, outcome.error());
            return;
        }
        m_context.log.write("quarantine", "entry_deleted", {{"key", excerpt(key)}, {"revision", outcome->revision}});
    });
}

auto QuarantineStore::logFailure(std::string_view step, const std::string &key, const Error &error) -> void
{
    m_context.log.write("quarantine", "store_call_failed", {{"step", step}, {"key", excerpt(key)}, {"error", describe(error)}});
}

} // namespace currantstack
