// Registered upstreams, with their roles and states.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

enum class EngineRole
{
    None, // a plain service
    Prefill,
    Decode,
};

/// Returns "none", "prefill" or "decode".
auto name(EngineRole role) -> std::string_view;

/// One upstream, as registered in the store.
struct Upstream
{
    std::string id; // usually new with each restart; see `startedAtMs`
    std::string service;
    std::string address; // "IP:port"
    std::string place;
    EngineRole role = EngineRole::None;
    std::int64_t slots = 1; // requests that it runs concurrently
    std::int64_t startedAtMs = 0; // Unix time in milliseconds; a new value under the same id means a restart
    std::int64_t modelVersion = 0; // of the weights
    std::string softwareVersion; // of the upstream's program, such as "v1.1"
    std::int64_t orderCount = 0; // orders accepted since its start
    bool draining = false;
    bool busyWithOrder = false; // is carrying out an order
    std::int64_t revision = 0; // store revision of the entry
};

/// What a change of an entry means for in-flight work.
enum class UpstreamChange
{
    None,
    Joined, // new, or usable again
    Updated,
    Restarted, // at another time or with another software version: in-flight work and KV caches are lost
    Draining, // gets no new work
    Removed,
};

/// The registered upstreams, as known to one VM.
class UpstreamDirectory
{
public:
    /// How long an upstream is still used after its entry expired while the store was unreachable. Live upstreams register again within
    /// about two seconds. A draining upstream must get no new work after 2.5 s.
    static constexpr Duration ExpiryGrace = milliseconds(2000);

    /// How long a removed upstream is remembered, for entries that come back with an older copy of the store.
    static constexpr Duration RemovedLifetime = seconds(60);

    using Recognizer = std::function<bool(const Upstream &upstream)>;

    /// Sets which entries name an upstream of the configuration in force; without it, all do.
    auto setRecognizer(Recognizer recognizes) -> void;

    /// Adds or updates an entry, which was not written before `writtenAfter`; without it, that is not known.
    auto apply(Upstream upstream, TimePoint writtenAfter = {}) -> UpstreamChange;

    /// Adds or updates an entry of a store that has returned from an older copy. An upstream of the same start that is known to drain or
    /// to be removed stays so, because the entry may be from before.
    auto applyFromCopy(Upstream upstream, TimePoint now) -> UpstreamChange;

    /// Removes an entry that is no longer in the store. If `mayHaveExpired`, the upstream may be alive but unable to renew its entry,
    /// and stays usable until `ExpiryGrace` after `now`.
    auto remove(std::string_view id, bool mayHaveExpired, TimePoint now) -> UpstreamChange;

    /// Returns the expired entries whose grace period is over.
    auto expired(TimePoint now) const -> std::vector<Upstream>;

    /// Removes the expired entries whose grace period is over, and returns their ids.
    auto expire(TimePoint now) -> std::vector<std::string>;

    /// Returns the ids of all entries.
    auto ids() const -> std::vector<std::string>;

    /// Calls the visitor with each entry.
    auto forEach(const std::function<void(const Upstream &upstream)> &visitor) const -> void
    {
        for (const auto &[id, entry] : m_entries) {
            visitor(entry.upstream);
        }
    }

    auto find(std::string_view id) const -> const Upstream *;

    /// Returns whether the upstream's process has written its entry at or after this time. No other process names its start.
    auto hasWritten(const Upstream &upstream, TimePoint since) const -> bool;

    /// Returns whether the entry names an upstream of the configuration in force, and not something of another writer.
    auto isRecognized(const Upstream &upstream) const -> bool
    {
        return !m_recognizes || m_recognizes(upstream);
    }

    /// Returns the upstreams of the service that may get new work, ordered by id. An entry is left out if a newer recognized one has the
    /// same address.
    auto usable(std::string_view service) const -> std::vector<const Upstream *>;

    auto size() const -> std::size_t
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Upstream upstream;
        bool isRecognized = true;
        bool expired = false;
        TimePoint expiredAt;
        TimePoint writtenAfter; // a time before the last known write by the process
    };

    struct Removed
    {
        std::int64_t startedAtMs = 0;
        TimePoint at;
    };

    auto rememberRemoved(const Upstream &upstream, TimePoint now) -> void;

    Recognizer m_recognizes;
    std::map<std::string, Entry, std::less<>> m_entries;
    std::map<std::string, Removed, std::less<>> m_removed; // by id
};

} // namespace currantstack
