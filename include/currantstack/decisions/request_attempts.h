// One request's sends: what became of each, whether it may be sent again, and what its caller may be told.
#pragma once

#include "currantstack/decisions/route_table.h"

namespace currantstack
{

/// What is known of one send.
enum class AttemptOutcome
{
    NotSent, // no byte of the request left
    NotRun, // the upstream promised that it did not and will not run it
    Answered, // a whole answer that belongs to this request
    Unknown, // it may have run
};

/// What the caller is told where no upstream's answer can be passed on.
enum class ErrorAnswer
{
    Refused, // 503: not run and never will be
    BadGateway, // 502: may have run
    TimedOut, // 504: may have run
};

/// The state of one request of a caller. It decides from facts alone, so that the promise of a refusal is always true.
class RequestAttempts
{
public:
    RequestAttempts(RouteKind kind, bool resumable, int maxSends)
        : m_repeatable(kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable))
        , m_maxSends(maxSends)
    { }

    /// Notes that the request goes to an upstream.
    auto onAttempt() -> void
    {
        ++m_sends;
        ++m_open;
    }

    /// Notes what became of one open send. One that never reached its upstream does not count as a send.
    auto onOutcome(AttemptOutcome outcome) -> void;

    /// Returns whether the request may go to one more upstream.
    auto mayRetry() const -> bool
    {
        return m_sends < m_maxSends && mayRepeat();
    }

    /// Returns whether the request may go again to the upstream that has just refused it.
    auto mayRepeat() const -> bool
    {
        return m_repeatable || (m_open == 0 && !m_mayHaveRun);
    }

    /// Returns the answer for a request that is given up now.
    auto errorAnswer(bool timedOut) const -> ErrorAnswer
    {
        if (m_open == 0 && !m_mayHaveRun) {
            return ErrorAnswer::Refused;
        }
        return timedOut ? ErrorAnswer::TimedOut : ErrorAnswer::BadGateway;
    }

    auto count() const -> int
    {
        return m_sends;
    }

private:
    bool m_repeatable;
    int m_maxSends;
    int m_sends = 0;
    int m_open = 0;
    bool m_mayHaveRun = false;
};

} // namespace currantstack
