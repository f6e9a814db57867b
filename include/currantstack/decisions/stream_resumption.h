// Decides what becomes of a stream whose engine is silent or whose call has broken.
#pragma once

#include "currantstack/clock.h"

#include <string_view>

namespace currantstack
{

/// What is known when a stream may need another engine.
struct ResumptionState
{
    bool hasBegun = false; // the caller has received events
    bool hasCall = false; // the call to its engine is still open, and the engine may go on
    bool mayRetry = false; // the route allows another attempt
    bool hasRetryBudget = true; // allows a send now; otherwise later
    bool isInTime = false; // neither the deadline nor the end of this VM comes first
    bool isQuarantined = false;
    bool isVersionCertain = true; // false: the engine's process was replaced, and either may have sent the events
    bool awaitsEntry = false; // which tells whether the events are those of the replaced process
    bool isPositionKnown = true; // false: the last event had no id, so that no run can be asked for what follows it
    bool isCutOff = false; // this VM, from the engines
    bool hasOtherVm = false; // that may forward the request
    bool hasOtherEngine = false; // that may go on with the stream once it has capacity
    bool hasCapacity = false; // at such an engine, as far as this VM knows
};

enum class ResumptionStep
{
    KeepCall, // the engine may go on
    Reserve, // capacity at another engine, which takes over if it grants that
    HandOver, // to another VM
    Wait, // for capacity, for the end of the cut, or for an entry
    GiveUp,
};

/// Returns the next step. An open call is kept unless there is a better way, and a stream that has begun waits for capacity as long as any
/// engine may have some.
auto nextStep(const ResumptionState &state) -> ResumptionStep;

/// Returns why a stream is given up.
auto giveUpReason(const ResumptionState &state) -> std::string_view;

/// Time without an event after which a stream looks for another engine. It is shorter than the time after which callers disconnect, and
/// longer than the gaps between events of an engine that is merely busy.
inline constexpr Duration StallTimeout = milliseconds(900);

/// Time in which the entry of a process arrives that has restarted under its id. A process registers when it starts.
inline constexpr Duration NewEntryPatience = milliseconds(2500);

/// Returns how long a stream waits for its next event before it looks for another engine. `hasEvents`: of the engine that runs it now,
/// which otherwise reads the prompt first.
auto eventTimeout(bool hasEvents, bool hasBegun, Duration expectedFirstEvent) -> Duration;

/// Returns the name in logs.
auto name(ResumptionStep step) -> std::string_view;

} // namespace currantstack
