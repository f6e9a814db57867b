// Decides whether an answer without a length or chunks is complete: the end of its connection may be that of its upstream's process.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_silence.h"
#include "currantstack/http.h"

#include <optional>
#include <string_view>

namespace currantstack
{

/// What a connection showed that was opened after the end of an answer.
enum class ConnectionTrial
{
    Answered, // a probe, by the upstream itself
    Unidentified, // a probe was answered, but not by what is known to be the upstream
    Open, // accepted, and left open; no probe was sent
    Closed, // accepted, and closed or reset at once: by a process at its limit of connections, or by a relay whose upstream has ended
    Refused, // nothing listens at the upstream's address
    NoAnswer,
};

/// What is known of an upstream once it has closed the connection of its answer.
struct AnswerEndEvidence
{
    std::optional<EntryState> entry = EntryState::Present; // of the process that answered; without one, only connections are known
    bool servedSince = false; // it has answered another request that was sent since, or sent more of an answer later than in flight
    std::optional<ConnectionTrial> connection; // of the last trial
    int trials = 0;
    bool isStream = false;
    bool mayRepeat = true; // elsewhere; otherwise the caller loses a whole answer if its upstream only stands still
    bool runsStill = false; // by the last report of its engine
    bool wasClosed = false; // in an earlier trial
    bool hadNoAnswer = false; // in an earlier trial, so that a process which answers now may be a new one
    bool wasUnidentified = false; // in an earlier trial
    bool hasWritten = false; // the process that answered has written its entry since
    bool hasOutlived = false; // it has begun later to answer a request that was in flight at the end
    bool readsEntries = false; // this VM has not found the store unreachable
    bool hasReadEntries = false; // all entries, in a read that was begun when that of a new process was due
    Duration sinceEnd = Duration::zero();
    Duration sinceAnswer = Duration::zero(); // since the first probe that was answered after the last one that was not
};

enum class AnswerEnd
{
    Complete, // the process outlived its answer, so it ended the answer itself
    Undecided, // a connection is to be tried
    Doubtful, // the process ended, or cannot be reached
};

/// A process that ends closes its connections and stops listening at almost the same time. What it shows later than this is certain.
inline constexpr Duration EndSettleTime = milliseconds(30);

/// Bytes of another answer prove that the upstream lives if they arrive this long after the end. Sooner ones may have been sent before.
inline constexpr Duration LateByteTime = milliseconds(100);

/// An upstream that leaves may end its answers in the ordinary way before it exits. It has stopped listening this long after them.
inline constexpr Duration ExitTime = milliseconds(300);

/// Connections that are tried before the end counts as doubtful, and the pause between them.
inline constexpr int MaxEndTrials = 2;
inline constexpr Duration EndTrialPause = milliseconds(200);

/// A run that has ended may be in its engine's report for this time, because reports are some hundred milliseconds old.
inline constexpr Duration ReportAge = milliseconds(800);
inline constexpr Duration ReportPause = milliseconds(400); // between two reports

/// Time in which an answer that cannot be repeated stays undecided while its upstream answers no probe. Sound upstreams are silent for up
/// to two seconds, and callers leave later than this.
inline constexpr Duration SilentEndTime = milliseconds(2500);

/// A write that a process has sent before its end may take effect for this long. What it writes later than this is certain.
inline constexpr Duration EntrySettleTime = milliseconds(300);

/// Time in which a plain upstream that may have restarted, and has not, writes its entry again: its heartbeat, at once after a silence.
inline constexpr Duration HeartbeatPatience = SilentEndTime;
inline constexpr Duration RepeatPatience = milliseconds(1500); // if the request may be repeated, and no probe is answered

/// Time in which the store's watch brings the entry of a new process. Until then, such a process may have answered a probe.
inline constexpr Duration NewEntryTime = milliseconds(1000);

/// Time after it in which a store that can be reached has answered a read.
inline constexpr Duration EntryReadPatience = milliseconds(500);

/// Returns what the result of a `connectOnlyCall` shows, or the error of a probe.
auto trialOf(const Result<HttpResponse> &result) -> ConnectionTrial;

/// Returns whether a trial has failed, so that what is shown later may be shown by a new process under the upstream's id. The health path
/// of a plain upstream names no start; only an entry does that was written since.
auto mayHaveRestarted(const AnswerEndEvidence &evidence) -> bool;

/// Judges the end of an answer that only its connection marks. A doubtful answer must not look complete to its caller. A connection that
/// is merely accepted proves nothing once a probe was sent: a front process, a relay or the system accepts it as well.
auto judgeAnswerEnd(const AnswerEndEvidence &evidence) -> AnswerEnd;

/// Return the names in logs.
auto name(AnswerEnd end) -> std::string_view;
auto name(ConnectionTrial trial) -> std::string_view;

} // namespace currantstack
