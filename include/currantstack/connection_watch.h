// Decides when an open connection is closed because its peer is idle or too slow.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/tcp_progress.h"

#include <optional>
#include <utility>

namespace currantstack::detail
{

/// Limits on the time of a connection; zero: unlimited.
struct ConnectionLimits
{
    Duration headTimeout = Duration::zero(); // from the first byte of a request to the end of its head
    Duration idleTimeout = Duration::zero(); // between two requests
    Duration stallTimeout = Duration::zero(); // without progress, while a body or a response is transferred
};

/// The request that a connection carries.
enum class ConnectionPhase
{
    BetweenRequests, // none has begun, as far as the server has read
    Head,
    Transfer, // of the request's body or of the response
    Waiting, // for the server
};

enum class ConnectionVerdict
{
    Keep,
    CloseIdle, // no request is lost
    CloseSlow,
};

/// Tracks one connection. A limit that is lowered takes effect with the next request, because the peer may rely on the former one.
class ConnectionWatch
{
public:
    static constexpr Duration QuietTime = milliseconds(300); // longer than a request is on its way

    ConnectionWatch(const ConnectionLimits &limits, TimePoint now)
        : m_headTimeout(limits.headTimeout)
        , m_idleTimeout(limits.idleTimeout)
        , m_changedAt(now)
    { }

    /// Records that a request begins.
    auto onRequest(const ConnectionLimits &limits) -> void
    {
        m_idleTimeout = limits.idleTimeout;
    }

    /// Records that a request has ended and that all bytes read so far belong to it.
    auto onRequestEnd(const TcpProgress &progress, TimePoint now) -> void;

    /// Records that other limits are in force.
    auto onLimits(const ConnectionLimits &limits) -> void;

    /// Returns whether no byte of a next request has arrived.
    auto isIdle(const TcpProgress &progress) const -> bool
    {
        return progress.unread == 0 && progress.received <= m_consumed;
    }

    /// The same for long enough that none is expected to be on its way.
    auto isQuiet(const TcpProgress &progress, TimePoint now) const -> bool
    {
        return isIdle(progress) && now - m_changedAt >= QuietTime;
    }

    /// Returns when the connection was last seen to change.
    auto changedAt() const -> TimePoint
    {
        return m_changedAt;
    }

    /// Records that this end has shut the connection down for reading. Bytes that have arrived are still read.
    auto closeForReading(TimePoint now) -> void
    {
        m_closedForReadingAt = m_closedForReadingAt.value_or(now);
    }

    auto isClosedForReading() const -> bool
    {
        return m_closedForReadingAt.has_value();
    }

    auto closedForReadingAt() const -> TimePoint
    {
        return m_closedForReadingAt.value_or(TimePoint::max());
    }

    /// Returns whether bytes have waited to be read between the last two checks and still do: they do not fit into the connection's buffer.
    auto isBlocked(const TcpProgress &progress) const -> bool
    {
        return m_isBlocked && progress.unread == m_progress.unread;
    }

    /// Records that the connection's buffer is in use. Returns whether it was not before.
    auto holdBuffer() -> bool
    {
        return !std::exchange(m_holdsBuffer, true);
    }

    /// Records that the buffer is given back. Returns whether it was in use.
    auto releaseBuffer() -> bool
    {
        return std::exchange(m_holdsBuffer, false);
    }

    auto holdsBuffer() const -> bool
    {
        return m_holdsBuffer;
    }

    /// Returns what to do with the connection now.
    auto check(const ConnectionLimits &limits, ConnectionPhase phase, const TcpProgress &progress, TimePoint now) -> ConnectionVerdict;

private:
    Duration m_headTimeout; // of the current head or the next one
    Duration m_idleTimeout;
    std::uint64_t m_consumed = 0; // bytes of the requests that have ended
    TcpProgress m_progress; // at the last check
    TimePoint m_changedAt; // when the progress was last seen to change
    std::optional<TimePoint> m_headBegunAt; // when a head was first seen incomplete
    std::optional<TimePoint> m_closedForReadingAt;
    bool m_holdsBuffer = false;
    bool m_isBlocked = false;
};

} // namespace currantstack::detail
