#include "currantstack/decisions/stream_resumption.h"

#include <algorithm>

namespace currantstack
{

namespace
{

// The timeout for the first event of an engine is the expected time multiplied by this factor, plus this margin.
constexpr int FirstEventTimeoutFactor = 2;
constexpr Duration FirstEventTimeoutMargin = milliseconds(700);

} // namespace

auto nextStep(const ResumptionState &state) -> ResumptionStep
{
    const auto otherwise = state.hasCall ? ResumptionStep::KeepCall : ResumptionStep::GiveUp;
    if (!state.mayRetry || !state.isInTime || state.isQuarantined || !state.isPositionKnown) {
        return otherwise;
    }
    const bool waits = state.hasBegun && !state.hasCall;
    if (!state.isVersionCertain) {
        return waits && state.awaitsEntry ? ResumptionStep::Wait : otherwise;
    }
    if (!state.hasRetryBudget) {
        return waits && state.hasOtherEngine ? ResumptionStep::Wait : otherwise;
    }
    if (state.isCutOff) {
        if (state.hasOtherVm) {
            return ResumptionStep::HandOver;
        }
        return waits ? ResumptionStep::Wait : otherwise;
    }
    if (state.hasCapacity) {
        return ResumptionStep::Reserve;
    }
    return waits && state.hasOtherEngine ? ResumptionStep::Wait : otherwise;
}

auto giveUpReason(const ResumptionState &state) -> std::string_view
{
    if (!state.mayRetry) {
        return "no attempt is left";
    }
    if (!state.isInTime) {
        return "no time is left";
    }
    if (state.isQuarantined) {
        return "the request is quarantined";
    }
    if (!state.isVersionCertain) {
        return "the software version of its events is uncertain";
    }
    if (!state.isPositionKnown) {
        return "its last event has no id";
    }
    if (!state.hasRetryBudget) {
        return "the retry budget is empty";
    }
    if (state.isCutOff) {
        return "no VM reaches the engines of the service";
    }
    return state.hasOtherEngine ? "no engine has capacity" : "no engine of its software version is left";
}

auto eventTimeout(bool hasEvents, bool hasBegun, Duration expectedFirstEvent) -> Duration
{
    if (hasEvents) {
        return StallTimeout;
    }
    const Duration firstEvent = FirstEventTimeoutFactor * expectedFirstEvent + FirstEventTimeoutMargin;
    return hasBegun ? std::max(StallTimeout, firstEvent) : firstEvent;
}

auto name(ResumptionStep step) -> std::string_view
{
    switch (step) {
    case ResumptionStep::KeepCall:
        return "keep_call";
    case ResumptionStep::Reserve:
        return "reserve";
    case ResumptionStep::HandOver:
        return "hand_over";
    case ResumptionStep::Wait:
        return "wait";
    case ResumptionStep::GiveUp:
        break;
    }
    return "give_up";
}

} // namespace currantstack
