#include "currantstack/decisions/counted_calls.h"

#include <algorithm>

namespace currantstack
{

auto CountedCalls::onSent() -> void
{
    ++sent;
}

auto CountedCalls::onNotSent() -> void
{
    --sent;
}

auto CountedCalls::onPrefillSent() -> void
{
    sent += prefilled ? 1 : 0;
}

auto CountedCalls::onPrefillDone(AttemptOutcome outcome) -> void
{
    switch (outcome) {
    case AttemptOutcome::NotSent:
        sent -= prefilled ? 1 : 0;
        return;
    case AttemptOutcome::NotRun:
    case AttemptOutcome::Misdirected:
        sent += prefilled ? 0 : 1; // only an accepted prefill is free
        return;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Unknown:
        prefilled = true;
        return;
    }
}

auto CountedCalls::onForwarded() -> void
{
    ++sent; // the other VM acquires retries for further calls
    prefilled = true;
}

auto CountedCalls::onReported(const CountedCalls &reported) -> void
{
    sent = std::max(sent, reported.sent);
    acquired = std::max(acquired, reported.acquired);
    prefilled = prefilled || reported.prefilled;
}

auto CountedCalls::missingRetries(bool withPrefill) const -> int
{
    const int extra = sent + (withPrefill && prefilled ? 1 : 0);
    return std::max(0, extra - acquired);
}

} // namespace currantstack
