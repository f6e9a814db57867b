// Counts the calls of one request that reach upstreams, as the bound on a service's retries does.
#pragma once

#include "currantstack/decisions/request_attempts.h"

namespace currantstack
{

/// The calls of one request at all VMs, and the retries that were acquired for them. All calls count as retries but the first one, and the
/// first prefill that an engine accepts.
struct CountedCalls
{
    int sent = 0; // calls that may have reached an upstream, without a first prefill that was accepted
    int acquired = 0; // retries, from the budgets of the VMs
    bool prefilled = false; // an engine may have accepted a prefill, so that further ones count

    /// Records a call that runs the request.
    auto onSent() -> void;

    /// Records that no byte of a call that runs the request was sent.
    auto onNotSent() -> void;

    auto onPrefillSent() -> void;

    /// Records the outcome of what `onPrefillSent` recorded; `Answered`: the engine has accepted it.
    auto onPrefillDone(AttemptOutcome outcome) -> void;

    /// Records that another VM has forwarded the request, and that it is not known how.
    auto onForwarded() -> void;

    /// Records what another VM has told of the request, which never undoes what is known here.
    auto onReported(const CountedCalls &reported) -> void;

    /// Returns the retries that must be acquired before the request is run, and before that is prefilled if `withPrefill`.
    auto missingRetries(bool withPrefill) const -> int;

    auto operator==(const CountedCalls &other) const -> bool = default;
};

} // namespace currantstack
