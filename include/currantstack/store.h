// Client of the platform's key-value store: compare-and-swap transactions, leases and watches.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/decisions/answer_progress.h"
#include "currantstack/http_client.h"
#include "currantstack/json.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace currantstack
{

struct StoreValue
{
    std::string key;
    std::string value;
    std::int64_t modRevision = 0; // 0: the key does not exist
};

/// Condition that the key was last modified at the revision; 0 means that it does not exist.
struct StoreCompare
{
    std::string key;
    std::int64_t modRevision = 0;
};

struct StorePut
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; // id of the lease that the key expires with; 0 for none
};

/// Atomically applies the puts and deletes if all compares hold; otherwise reads the compared keys.
struct StoreTransaction
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
};

struct StoreOutcome
{
    bool applied = false;
    std::int64_t revision = 0; // of the store after the transaction
    std::vector<StoreValue> current; // values of the compared keys if it was not applied
};

struct StoreRange
{
    std::int64_t revision = 0; // of the store at the time of the read
    std::vector<StoreValue> values;
};

struct StoreEvent
{
    StoreValue value;
    bool deleted = false;
};

/// Receives changes in order and the revision up to which the watch has reported all changes. `events` may be empty.
using WatchHook = std::function<void(std::span<const StoreEvent> events, std::int64_t revision)>;

/// Controls a read or a watch that has begun.
struct StoreCallHandle
{
    std::function<void()> cancel = nullptr; // ends it; none of its hooks run afterwards
    std::function<AnswerProgress()> progress = nullptr;
};

/// Asynchronous access to the store. All revisions that it returns and takes rise over the store's whole life, also if it can return
/// from an older copy and gives its own revisions out again. A compare with a revision of a former history never holds. After an
/// `Unreachable` error a write has not taken effect; after other errors it may have.
class Store
{
public:
    virtual ~Store() = default;

    /// Reads all keys that begin with `key`, or just that key if `exact`.
    virtual auto read(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> void = 0;

    /// Reads all keys that begin with the prefix, and waits long for a slow store; the caller judges by the progress when to ask once
    /// more.
    virtual auto readPatiently(std::string_view prefix, std::function<void(Result<StoreRange>)> done) -> StoreCallHandle = 0;

    /// Returns in which time answers of the store have begun lately.
    virtual auto answerTime() const -> Duration
    {
        return Duration::zero();
    }

    /// Reads all keys that begin with the prefix, at lower cost; the result may be seconds old.
    virtual auto readStale(std::string_view prefix, std::function<void(Result<StoreRange>)> done) -> void
    {
        read(prefix, false, std::move(done));
    }

    /// Returns how many calls besides watches the store has left unanswered or turned away so far.
    virtual auto failedCalls() const -> std::int64_t
    {
        return 0;
    }

    /// Sets how long one poll of a long-polling watch waits for a change on average. No effect on stores with streaming watches.
    virtual auto setPollWait(Duration /*wait*/) -> void
    { }

    /// Adds a hook that runs when the store is found to have returned from an older copy: acknowledged writes and leases may be lost.
    /// All watches have ended with `Conflict` before. No effect on stores that never lose what they acknowledged.
    virtual auto onReturnedFromCopy(std::function<void()> /*hook*/) -> void
    { }

    virtual auto commit(StoreTransaction transaction, std::function<void(Result<StoreOutcome>)> done) -> void = 0;
    virtual auto grantLease(seconds ttl, std::function<void(Result<std::int64_t>)> done) -> void = 0;
    virtual auto renewLease(std::int64_t lease, std::function<void(Result<bool>)> done) -> void = 0;

    /// Watches the keys of a prefix from the revision on. `onEvents` receives changes in order; `onEnd` runs when the watch fails. A
    /// long-polling store runs `onEvents` at once also if nothing has changed, which shows that it answers.
    virtual auto watch(std::string_view prefix, std::int64_t fromRevision, WatchHook onEvents, std::function<void(Error)> onEnd)
        -> StoreCallHandle = 0;
};

/// Accesses an etcd v3 store through its JSON gateway.
class EtcdStore : public Store
{
public:
    /// `counters` counts reads, writes and errors. `timeout` bounds the time until an answer begins; a watch fails after `idleTimeout`
    /// without data.
    EtcdStore(HttpClient &client, Counters &counters, std::vector<std::string> addresses, Duration timeout, Duration idleTimeout);

    auto read(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> void override;
    auto readPatiently(std::string_view prefix, std::function<void(Result<StoreRange>)> done) -> StoreCallHandle override;
    auto commit(StoreTransaction transaction, std::function<void(Result<StoreOutcome>)> done) -> void override;
    auto grantLease(seconds ttl, std::function<void(Result<std::int64_t>)> done) -> void override;
    auto renewLease(std::int64_t lease, std::function<void(Result<bool>)> done) -> void override;
    auto watch(std::string_view prefix, std::int64_t fromRevision, WatchHook onEvents, std::function<void(Error)> onEnd)
        -> StoreCallHandle override;

private:
    auto call(std::string_view path, const Json &body, std::string_view step, std::function<void(Result<Json>)> done) -> HttpClient::CallId;
    auto startRead(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> HttpClient::CallId;

    HttpClient &m_client;
    Counters &m_counters;
    std::vector<std::string> m_addresses;
    std::size_t m_address = 0;
    Duration m_timeout;
    Duration m_idleTimeout;
};

/// Returns the progress of a watch whose call has this progress; without a call it is paused.
auto progressOf(const std::optional<CallProgress> &call) -> AnswerProgress;

namespace detail
{
/// Returns the first key after all keys that begin with the prefix.
auto prefixEnd(std::string_view prefix) -> std::string;

/// Returns a field of a reply of the JSON gateway, which encodes 64-bit integers as strings; 0 if it is missing or malformed.
auto gatewayNumber(const Json &object, const char *key) -> std::int64_t;

/// Decodes a key-value pair, whose key and value the JSON gateway encodes in base64.
auto gatewayValue(const Json &object) -> StoreValue;
} // namespace detail

} // namespace currantstack
