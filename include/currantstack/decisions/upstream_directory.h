// The upstreams that register themselves: who is there, in which role, and who is leaving.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
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

/// One registered upstream, as it last described itself.
struct Upstream
{
    std::string id; // of this incarnation in most cases; see `startedAtMs`
    std::string service;
    std::string address; // "IP:port"
    std::string place;
    EngineRole role = EngineRole::None;
    std::int64_t slots = 1; // requests that it runs at once
    std::int64_t startedAtMs = 0; // Unix milliseconds; a new value under the same id is a new incarnation
    std::int64_t modelVersion = 0;
    std::int64_t orderCount = 0; // orders that it has accepted since its start
    bool draining = false;
    bool busyWithOrder = false;
    std::int64_t revision = 0; // of the store, at which this was written
};

/// What a change of an entry means for the work under way.
enum class UpstreamChange
{
    None,
    Joined, // new or again usable
    Updated,
    Restarted, // what the former incarnation held is gone
    Draining, // gets no new work
    Removed,
};

/// All registered upstreams of one VM's view.
class UpstreamDirectory
{
public:
    /// How long an upstream that vanished from the store while that was away is still used. The entries of live ones are back
    /// within about two seconds; the bound for work sent to a leaving one is 2.5 s.
    static constexpr Duration ExpiryGrace = milliseconds(2000);

    /// Takes in a registration.
    auto apply(Upstream upstream) -> UpstreamChange;

    /// Takes in that the entry is gone. With `lapsed`, it may have expired for want of a renewal, and the upstream stays usable
    /// until `ExpiryGrace` after `now`.
    auto remove(std::string_view id, bool lapsed, TimePoint now) -> UpstreamChange;

    /// Removes the lapsed entries whose grace is over, and returns their ids.
    auto expire(TimePoint now) -> std::vector<std::string>;

    /// Returns all ids that are known.
    auto ids() const -> std::vector<std::string>;

    auto find(std::string_view id) const -> const Upstream *;

    /// Returns the upstreams of the service that may get new work, in the order of their ids. Of several at one address only the
    /// newest counts.
    auto usable(std::string_view service) const -> std::vector<const Upstream *>;

    auto size() const -> std::size_t
    {
        return m_entries.size();
    }

private:
    struct Entry
    {
        Upstream upstream;
        bool lapsed = false;
        TimePoint lapsedAt;
    };

    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace currantstack
