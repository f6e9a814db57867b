// The event loop, built on libev: timers, deferred tasks and signals.
#pragma once

#include "currantstack/clock.h"

#include <csignal>
#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace currantstack
{

/// A timer that runs its callback once or repeatedly. The callback may stop or destroy the timer.
class Timer
{
public:
    Timer(struct ev_loop *loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    /// Runs the callback once after `delay`; replaces any earlier start.
    auto startOnce(Duration delay) -> void;

    /// Runs the callback after `delay` and then every `period`; replaces any earlier start.
    auto startRepeating(Duration delay, Duration period) -> void;

    auto stop() -> void;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// Owns a libev loop.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;

    /// Returns the libev handle.
    auto raw() -> struct ev_loop *
    {
        return m_loop;
    }

    /// Runs the loop until `stop` is called.
    auto run() -> void;
    auto stop() -> void;

    /// Runs the task in the loop's next iteration, outside of the current call stack.
    auto defer(std::function<void()> task) -> void;

    /// Runs the task once after the delay.
    auto after(Duration delay, std::function<void()> task) -> void;

    /// Runs the callback from the loop each time the signal arrives.
    auto onSignal(int number, std::function<void()> callback) -> void;

    /// Creates a stopped timer on this loop.
    auto timer(std::function<void()> callback) -> std::unique_ptr<Timer>;

private:
    struct SignalWatcher;
    static auto onPrepare(struct ev_loop *loop, ev_prepare *watcher, int events) -> void;
    static auto onIdle(struct ev_loop *loop, ev_idle *watcher, int events) -> void;
    auto runDeferred() -> void;

    struct ev_loop *m_loop;
    ev_prepare m_prepare{};
    ev_idle m_idle{};
    std::vector<std::function<void()>> m_deferred;
    std::vector<std::unique_ptr<SignalWatcher>> m_signals;
};

} // namespace currantstack
