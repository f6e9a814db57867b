// The platform's key-value service: compare-and-swap, leases and watches.
#pragma once

#include "currantstack/counters.h"
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

/// Holds where the key was last changed at the revision; 0 means that it does not exist.
struct StoreCompare
{
    std::string key;
    std::int64_t modRevision = 0;
};

struct StorePut
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; // 0: none
};

/// Takes effect whole when all compares hold; otherwise reads the compared keys.
struct StoreTransaction
{
    std::vector<StoreCompare> compares;
    std::vector<StorePut> puts;
    std::vector<std::string> deletes;
};

struct StoreOutcome
{
    bool applied = false;
    std::int64_t revision = 0;
    std::vector<StoreValue> current; // the compared keys, where it was not applied
};

struct StoreRange
{
    std::int64_t revision = 0; // of the store when it was read
    std::vector<StoreValue> values;
};

struct StoreEvent
{
    StoreValue value;
    bool deleted = false;
};

/// Receives changes in order, and the revision up to which the watch is current. There may be no change.
using WatchHook = std::function<void(std::span<const StoreEvent> events, std::int64_t revision)>;

/// Asynchronous access to the service. An `Unreachable` error proves that a write did not take effect; other errors leave it open.
class Store
{
public:
    virtual ~Store() = default;

    /// Reads all keys that begin with the prefix, or the one key where `exact`.
    virtual auto read(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> void = 0;

    /// Reads all keys that begin with the prefix, at a lower price; what it returns may be seconds old.
    virtual auto readStale(std::string_view prefix, std::function<void(Result<StoreRange>)> done) -> void
    {
        read(prefix, false, std::move(done));
    }

    /// Sets how long a watch may wait for a change before it asks anew. A store whose watches tell their progress needs none.
    virtual auto setWatchPollTimeout(Duration /*wait*/) -> void
    { }

    virtual auto commit(StoreTransaction transaction, std::function<void(Result<StoreOutcome>)> done) -> void = 0;
    virtual auto grantLease(seconds ttl, std::function<void(Result<std::int64_t>)> done) -> void = 0;
    virtual auto renewLease(std::int64_t lease, std::function<void(Result<bool>)> done) -> void = 0;

    /// Follows the keys of a prefix from the revision on. `onEvents` receives changes in order; `onEnd` runs when the watch breaks.
    /// Returns what ends the watch; `onEnd` does not run then.
    virtual auto watch(std::string_view prefix, std::int64_t fromRevision, WatchHook onEvents, std::function<void(Error)> onEnd)
        -> std::function<void()> = 0;
};

/// The service by its published JSON gateway (etcd v3).
class EtcdStore : public Store
{
public:
    /// `counters` receives the numbers of reads and writes. `idleTimeout` bounds a watch that hears nothing.
    EtcdStore(HttpClient &client, Counters &counters, std::vector<std::string> addresses, Duration timeout, Duration idleTimeout);

    auto read(std::string_view key, bool exact, std::function<void(Result<StoreRange>)> done) -> void override;
    auto commit(StoreTransaction transaction, std::function<void(Result<StoreOutcome>)> done) -> void override;
    auto grantLease(seconds ttl, std::function<void(Result<std::int64_t>)> done) -> void override;
    auto renewLease(std::int64_t lease, std::function<void(Result<bool>)> done) -> void override;
    auto watch(std::string_view prefix, std::int64_t fromRevision, WatchHook onEvents, std::function<void(Error)> onEnd)
        -> std::function<void()> override;

private:
    auto call(std::string_view path, const Json &body, std::string_view step, std::function<void(Result<Json>)> done) -> void;

    HttpClient &m_client;
    Counters &m_counters;
    std::vector<std::string> m_addresses;
    std::size_t m_address = 0;
    Duration m_timeout;
    Duration m_idleTimeout;
};

namespace detail
{
/// Returns the first key after all keys that begin with the prefix.
auto prefixEnd(std::string_view prefix) -> std::string;
auto gatewayNumber(const Json &object, const char *key) -> std::int64_t;
auto gatewayValue(const Json &object) -> StoreValue;
} // namespace detail

} // namespace currantstack
