// Tells an upstream that is gone without a word from one that is slow, so that its streams end in bounded time.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// What the directory says about the process that runs a stream.
enum class EntryState
{
    Present,
    Removed, // the process has ended, or leaves without having announced it and still serves
    Replaced, // the process has ended: another one runs under its id or at its address
};

/// Why a stream without events is given up.
enum class EndReason
{
    None, // it goes on
    Replaced, // the process that ran it has ended
    Removed, // the entry is gone, and the upstream answers nobody
    Silent, // the entry is there, but several probes of this VM and another VM got no answer
};

/// Collects when this VM heard each upstream last, and which of its calls the upstream has left unanswered since. A single stream without
/// events proves nothing: its engine may be slow.
class UpstreamSilence
{
public:
    /// An upstream that a stream waits for is probed after this silence. Sound engines pause for less between two events.
    static constexpr Duration ProbeAfter = milliseconds(900);
    static constexpr Duration ProbePeriod = milliseconds(700); // between two probes of an upstream
    /// Silence after which an upstream whose entry another process has is gone. It covers what was sent before and is still under way.
    static constexpr Duration ReplacedAfter = milliseconds(1500);
    /// Silence after which an upstream without an entry is gone. One that leaves without having announced it serves on for a while, and a
    /// sound upstream may be silent for two seconds.
    static constexpr Duration GoneAfter = milliseconds(2200);
    /// Silence after which an upstream is gone although its entry is there. The store removes the entries of ended upstreams sooner, so
    /// this counts only while the store is away.
    static constexpr Duration DarkAfter = seconds(6);
    static constexpr int ProbesUntilDark = 3;
    /// An upstream is suspected for this time after a call without an answer, and gets probes instead of requests.
    static constexpr Duration SuspicionLifetime = seconds(2);
    /// Time for which another VM's notice of the silence counts.
    static constexpr Duration WitnessLifetime = seconds(3);
    static constexpr Duration RecordLifetime = seconds(60);

    /// Records that the upstream has sent anything.
    auto onHeard(std::string_view upstream, TimePoint now) -> void;

    /// Records that the upstream left a call of this VM unanswered that was sent at `sentAt`. Returns whether it is suspected now: it
    /// has not been heard since.
    auto onUnanswered(const Upstream &upstream, TimePoint sentAt, TimePoint now) -> bool;

    /// Records that another VM has found the upstream silent.
    auto onWitness(std::string_view upstream, TimePoint now) -> void;

    /// Records that a stream waits for the upstream, which has sent it nothing since `since`.
    auto onAwaited(const Upstream &upstream, TimePoint since, TimePoint now) -> void;

    /// Returns why a stream that has been without events since `since` is given up.
    auto endReason(const Upstream &upstream, EntryState entry, TimePoint since, TimePoint now) const -> EndReason;

    /// Returns the upstreams to probe now, and records that their probes begin.
    auto takeDueProbes(TimePoint now) -> std::vector<Upstream>;

    /// Returns the number of calls that the upstream has left unanswered since it was heard last.
    auto unanswered(std::string_view upstream) const -> int;

    /// Returns whether the upstream has been heard at or after this time.
    auto hasHeard(std::string_view upstream, TimePoint since) const -> bool;

    /// Forgets an upstream that has started anew under its id.
    auto reset(std::string_view upstream) -> void;

private:
    struct Record
    {
        std::optional<Upstream> upstream; // set while it is awaited or suspected
        TimePoint heardAt;
        TimePoint awaitedSince; // by the stream that waits longest
        TimePoint awaitedUntil; // streams that still wait repeat `onAwaited`
        TimePoint suspectedUntil;
        TimePoint probedAt;
        TimePoint witnessedAt;
        TimePoint touchedAt;
        int unanswered = 0; // calls sent since `heardAt`
    };

    auto record(std::string_view upstream, TimePoint now) -> Record &;

    std::map<std::string, Record, std::less<>> m_records; // by upstream
};

/// Return the names in logs.
auto name(EndReason reason) -> std::string_view;
auto name(EntryState state) -> std::string_view;

} // namespace currantstack
