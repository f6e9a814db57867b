// Clocks behind an interface, so that time-dependent code can be tested without waiting.
#pragma once

#include <chrono>
#include <ctime>

namespace currantstack
{

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of monotonic and wall time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual auto now() const -> TimePoint = 0;
    virtual auto wall() const -> WallTime = 0;
};

/// The operating system's clocks.
class SystemClock : public Clock
{
public:
    auto now() const -> TimePoint override
    {
        return std::chrono::steady_clock::now();
    }

    auto wall() const -> WallTime override
    {
        return std::chrono::system_clock::now();
    }
};

/// The operating system's clocks, with a monotonic clock that keeps counting while the machine is suspended.
class BootClock : public SystemClock
{
public:
    auto now() const -> TimePoint override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// A clock for tests that changes only by `advance`.
class ManualClock : public Clock
{
public:
    auto now() const -> TimePoint override
    {
        return m_now;
    }

    auto wall() const -> WallTime override
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(m_now.time_since_epoch()));
    }

    auto advance(Duration step) -> void
    {
        m_now += step;
    }

private:
    TimePoint m_now{seconds(1000)};
};

/// Returns the duration in milliseconds, including fractions.
inline auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the duration in seconds, including fractions.
inline auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the duration of a number of milliseconds, which may have a fraction.
inline auto fromMilliseconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

/// Returns the wall time as milliseconds since the Unix epoch.
inline auto epochMilliseconds(WallTime time) -> long long
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace currantstack
