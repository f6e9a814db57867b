// Tells the crash of an upstream from a connection that broke for another reason.
#pragma once

#include "currantstack/decisions/quarantine.h"
#include "currantstack/decisions/upstream_directory.h"

#include <functional>

namespace currantstack
{

/// Returns the name of one start of the upstream, under which its crash is reported.
auto incarnationOf(const Upstream &upstream) -> std::string;

/// An upstream has crashed if it closed the connection of a running request and then proves to be gone: another one answers at its
/// address, its host refuses connections of several VMs, or its directory entry is removed or replaced. A connection that is merely reset,
/// an upstream that cannot be reached and one that left after a drain do not count.
class CrashDetector
{
public:
    /// A closed connection is forgotten if the end of its upstream is not proved in this time: until its entry in the store expires and
    /// the removal reaches this VM.
    static constexpr Duration ProofTimeout = seconds(6);
    static constexpr Duration ProofPeriod = seconds(1); // between two requests for a proof about the same incarnation
    static constexpr std::size_t MaxIncarnations = 512;

    struct Hooks
    {
        /// `at` is when the first connection was closed.
        std::function<void(const std::string &incarnation, std::vector<Traits> requests, TimePoint at)> onCrash = [](const auto &,
                                                                                                                     const auto &, auto) {};
        std::function<void(const Upstream &upstream)> onProofNeeded = [](const auto &) {}; // at most once per `ProofPeriod`
    };

    auto setHooks(Hooks hooks) -> void
    {
        m_hooks = std::move(hooks);
    }

    /// Records that the upstream closed the connection of a request before its answer was complete.
    auto onConnectionClosed(const Upstream &upstream, Traits traits, TimePoint now) -> void;

    /// Records that the upstream has proved to be gone.
    auto onEndProved(const std::string &incarnation, TimePoint now) -> void;

    /// Records that the directory entry was removed or replaced. This proves the end only of an upstream that closed connections before:
    /// one that leaves as planned may lose its entry while it still runs requests.
    auto onRemoved(const std::string &incarnation, TimePoint now) -> void;

    /// Records that the upstream still accepts connections, so that it did not crash.
    auto onAlive(const std::string &incarnation) -> void;

private:
    struct Incarnation
    {
        TimePoint since;
        TimePoint closedAt; // first closed connection
        TimePoint askedAt; // last request for a proof
        bool ended = false;
        std::vector<Traits> requests; // whose connection was closed, until the end is proved
    };

    auto expire(TimePoint now) -> void;
    auto confirm(const std::string &incarnation, Incarnation &entry, TimePoint now) -> void;

    Hooks m_hooks;
    std::map<std::string, Incarnation, std::less<>> m_incarnations;
};

} // namespace currantstack
