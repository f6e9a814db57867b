// Tracks the attempts of one request: the outcome of each, whether another is allowed, and which error the caller gets.
#pragma once

#include "currantstack/decisions/route_table.h"

namespace currantstack
{

/// The known outcome of one attempt.
enum class AttemptOutcome
{
    NotSent, // no byte of the request was sent
    NotRun, // the upstream promised that it did not and will not run the request
    Misdirected, // like `NotRun`, and the upstream to which the request was addressed is no longer there
    Answered, // a complete response that belongs to this request
    Unknown, // the upstream may have run the request
};

/// The error that the caller gets when no upstream's response can be forwarded.
enum class ErrorAnswer
{
    Refused, // 503: the request was not run and never will be
    BadGateway, // 502: the request may have run
    TimedOut, // 504: the request may have run
};

/// Tracks all attempts of one request. A request that may have run on any upstream is never reported as refused.
class RequestAttempts
{
public:
    RequestAttempts(RouteKind kind, bool resumable, int maxAttempts)
        : m_resumable(kind == RouteKind::Stream && resumable)
        , m_idempotent(kind == RouteKind::Idempotent || m_resumable)
        , m_maxAttempts(maxAttempts)
    { }

    /// Records that an attempt was started, or that another VM was asked, which may make several.
    auto onAttempt(int attempts = 1) -> void
    {
        m_count += attempts;
        ++m_pending;
    }

    /// Records the outcome of what `onAttempt` recorded. What was not sent, or reached another upstream than it was addressed to, does not
    /// count against the limit.
    auto onOutcome(AttemptOutcome outcome, int attempts = 1) -> void;

    /// Returns how many attempts another VM may make. When that VM dies, nobody knows how many it has made; one is kept for a stream if
    /// it could go on at a third VM.
    auto attemptsToDelegate(bool hasThirdVm) const -> int
    {
        const int left = m_maxAttempts - m_count;
        return hasThirdVm && m_resumable && left > 1 ? left - 1 : left;
    }

    /// Returns whether another attempt may be made.
    auto mayRetry() const -> bool
    {
        return m_count < m_maxAttempts && isSafeToRetry();
    }

    /// Returns whether another attempt may be made if one that is still to be counted ends without having run.
    auto mayRetryAfterThis() const -> bool
    {
        return m_count + 1 < m_maxAttempts && isSafeToRetry();
    }

    /// Returns whether another attempt cannot make an at-most-once request run twice; ignores the limit on attempts.
    auto isSafeToRetry() const -> bool
    {
        return m_idempotent || (m_pending == 0 && !m_mayHaveRun);
    }

    /// Returns the error to send if the request fails now.
    auto errorAnswer(bool timedOut) const -> ErrorAnswer
    {
        if (m_pending == 0 && !m_mayHaveRun) {
            return ErrorAnswer::Refused;
        }
        return timedOut ? ErrorAnswer::TimedOut : ErrorAnswer::BadGateway;
    }

    /// Returns the number of attempts that count against the limit.
    auto count() const -> int
    {
        return m_count;
    }

private:
    bool m_resumable;
    bool m_idempotent;
    int m_maxAttempts;
    int m_count = 0;
    int m_pending = 0;
    bool m_mayHaveRun = false;
};

} // namespace currantstack
