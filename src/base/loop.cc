#include "currantstack/loop.h"

namespace currantstack
{

struct Timer::State
{
    ev_timer watcher{};
    struct ev_loop *loop = nullptr;
    std::function<void()> callback;
    std::weak_ptr<State> self;

    static auto fire(struct ev_loop * /*loop*/, ev_timer *watcher, int /*events*/) -> void
    {
        // The callback may destroy the timer, so this reference keeps the state alive until the callback returns.
        const auto state = static_cast<State *>(watcher->data)->self.lock();
        if (state) {
            state->callback();
        }
    }
};

Timer::Timer(struct ev_loop *loop, std::function<void()> callback)
    : m_state(std::make_shared<State>())
{
    m_state->loop = loop;
    m_state->callback = std::move(callback);
    m_state->self = m_state;
    ev_timer_init(&m_state->watcher, &State::fire, 0., 0.);
    m_state->watcher.data = m_state.get();
}

Timer::~Timer()
{
    stop();
}

auto Timer::startOnce(Duration delay) -> void
{
    startRepeating(delay, Duration::zero());
}

auto Timer::startRepeating(Duration delay, Duration period) -> void
{
    ev_timer_stop(m_state->loop, &m_state->watcher);
    ev_now_update(m_state->loop);
    ev_timer_set(&m_state->watcher, std::max(0.0, toSeconds(delay)), toSeconds(period));
    ev_timer_start(m_state->loop, &m_state->watcher);
}

auto Timer::stop() -> void
{
    ev_timer_stop(m_state->loop, &m_state->watcher);
}

struct Loop::SignalWatcher
{
    ev_signal watcher{};
    std::function<void()> callback;
};

Loop::Loop()
    : m_loop(ev_loop_new(EVFLAG_AUTO))
{
    ev_prepare_init(&m_prepare, &Loop::onPrepare);
    m_prepare.data = this;
    ev_prepare_start(m_loop, &m_prepare);
    ev_idle_init(&m_idle, &Loop::onIdle);
    m_idle.data = this;
}

Loop::~Loop()
{
    for (auto &signal : m_signals) {
        ev_signal_stop(m_loop, &signal->watcher);
    }
    ev_idle_stop(m_loop, &m_idle);
    ev_prepare_stop(m_loop, &m_prepare);
    ev_loop_destroy(m_loop);
}

auto Loop::run() -> void
{
    ev_run(m_loop, 0);
}

auto Loop::stop() -> void
{
    ev_break(m_loop, EVBREAK_ALL);
}

auto Loop::defer(std::function<void()> task) -> void
{
    m_deferred.push_back(std::move(task));
    if (!ev_is_active(&m_idle)) {
        ev_idle_start(m_loop, &m_idle);
    }
}

auto Loop::after(Duration delay, std::function<void()> task) -> void
{
    auto holder = std::make_shared<std::unique_ptr<Timer>>();
    *holder = timer([holder, task = std::move(task)]() {
        // The timer's callback owns the timer. Moving the timer out breaks this cycle, so that it is destroyed on return.
        const auto self = std::move(*holder);
        task();
    });
    (*holder)->startOnce(delay);
}

auto Loop::onSignal(int number, std::function<void()> callback) -> void
{
    auto signal = std::make_unique<SignalWatcher>();
    signal->callback = std::move(callback);
    ev_signal_init(
        &signal->watcher, [](struct ev_loop *, ev_signal *watcher, int) { static_cast<SignalWatcher *>(watcher->data)->callback(); },
        number);
    signal->watcher.data = signal.get();
    ev_signal_start(m_loop, &signal->watcher);
    m_signals.push_back(std::move(signal));
}

auto Loop::timer(std::function<void()> callback) -> std::unique_ptr<Timer>
{
    return std::make_unique<Timer>(m_loop, std::move(callback));
}

auto Loop::onPrepare(struct ev_loop * /*loop*/, ev_prepare *watcher, int /*events*/) -> void
{
    static_cast<Loop *>(watcher->data)->runDeferred();
}

auto Loop::onIdle(struct ev_loop *loop, ev_idle *watcher, int /*events*/) -> void
{
    if (static_cast<Loop *>(watcher->data)->m_deferred.empty()) {
        ev_idle_stop(loop, watcher);
    }
}

auto Loop::runDeferred() -> void
{
    std::vector<std::function<void()>> batch;
    batch.swap(m_deferred);
    for (auto &task : batch) {
        task();
    }
}

} // namespace currantstack
