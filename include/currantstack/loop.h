// The event loop: timers and deferred work on libev.
#pragma once

#include "currantstack/clock.h"

#include <csignal>
#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace currantstack
{

/// A timer that runs its hook once or repeatedly; stopping or destroying it is safe inside the hook.
class Timer
{
public:
    Timer(struct ev_loop *loop, std::function<void()> hook);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

    /// Runs the hook once after `delay`; a pending run is replaced.
    auto startOnce(Duration delay) -> void;

    /// Runs the hook every `period`, for the first time after `delay`.
    auto startRepeating(Duration delay, Duration period) -> void;

    auto stop() -> void;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// One libev loop with deferred work and signals.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    auto operator=(const Loop &) -> Loop & = delete;

    auto raw() -> struct ev_loop *
    {
        return m_loop;
    }

    /// Runs until `stop`.
    auto run() -> void;
    auto stop() -> void;

    /// Runs the task soon, outside of the present call stack.
    auto defer(std::function<void()> task) -> void;

    /// Runs the task once after the delay.
    auto after(Duration delay, std::function<void()> task) -> void;

    /// Runs the hook on each arrival of the signal.
    auto onSignal(int number, std::function<void()> hook) -> void;

    /// Returns a timer of this loop.
    auto timer(std::function<void()> hook) -> std::unique_ptr<Timer>;

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
