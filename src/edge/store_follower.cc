#include "currantstack/edge/store_follower.h"

#include "currantstack/retry.h"

namespace currantstack
{

StoreFollower::StoreFollower(Loop &loop, const Clock &clock, Random &random, Store &store, EventLog &log, std::string prefix, Hooks hooks)
    : m_loop(loop)
    , m_clock(clock)
    , m_random(random)
    , m_store(store)
    , m_log(log)
    , m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_timer(loop.timer([this]() { read(); }))
    , m_nudge(loop.timer([this]() { onNudge(); }))
    , m_heardAt(clock.now())
{ }

auto StoreFollower::start() -> void
{
    read();
}

auto StoreFollower::stop() -> void
{
    m_stopped = true;
    *m_alive = false;
    m_timer->stop();
    m_nudge->stop();
    if (m_endWatch) {
        std::exchange(m_endWatch, nullptr)();
    }
}

auto StoreFollower::read() -> void
{
    m_store.read(m_prefix, false, [this, alive = m_alive](Result<StoreRange> range) {
        if (*alive) {
            onRead(std::move(range));
        }
    });
}

auto StoreFollower::onRead(Result<StoreRange> range) -> void
{
    if (!range) {
        retry(range.error());
        return;
    }
    m_heardAt = m_clock.now();
    m_failures = 0;
    const bool wasAway = std::exchange(m_away, false);
    LogFields fields = {{"prefix", m_prefix}, {"revision", range->revision}, {"entries", range->values.size()}};
    if (wasAway) {
        fields["away_ms"] = toMilliseconds(m_heardAt - m_awaySince);
    }
    m_log.write("store", wasAway ? "store_regained" : "store_read", std::move(fields));
    m_currentTo = range->revision;
    for (const auto &value : range->values) {
        m_changedAt = std::max(m_changedAt, value.modRevision);
    }
    m_hooks.onSnapshot(*range, wasAway);
    watch();
}

auto StoreFollower::watch() -> void
{
    m_endWatch = m_store.watch(
        m_prefix, m_currentTo + 1,
        [this, alive = m_alive](std::span<const StoreEvent> events, std::int64_t revision) {
            if (!*alive) {
                return;
            }
            m_heardAt = m_clock.now();
            m_currentTo = std::max(m_currentTo, revision);
            for (const auto &event : events) {
                m_changedAt = std::max(m_changedAt, event.value.modRevision);
            }
            m_hooks.onEvents(events);
        },
        [this, alive = m_alive](const Error &error) {
            if (*alive) {
                m_endWatch = nullptr;
                onEnd(error);
            }
        });
}

auto StoreFollower::hearOf(std::int64_t revision) -> void
{
    m_heardOf = std::max(m_heardOf, revision);
    if (m_heardOf > m_currentTo && !std::exchange(m_nudgeSet, true)) {
        m_nudge->startOnce(NudgePause);
    }
}

auto StoreFollower::onNudge() -> void
{
    m_nudgeSet = false;
    if (m_heardOf <= m_currentTo || m_away || !m_endWatch) {
        return;
    }
    m_log.write("store", "watch_behind", {{"prefix", m_prefix}, {"current_to", m_currentTo}, {"heard_of", m_heardOf}});
    std::exchange(m_endWatch, nullptr)();
    watch();
}

auto StoreFollower::onEnd(const Error &error) -> void
{
    if (error.code == ErrorCode::Conflict) {
        // The history is gone, though the store answers: what was missed is read at once.
        m_log.write("store", "history_lost", {{"prefix", m_prefix}, {"error", describe(error)}});
        read();
        return;
    }
    retry(error);
}

auto StoreFollower::retry(const Error &error) -> void
{
    if (!std::exchange(m_away, true)) {
        m_awaySince = m_clock.now();
        m_hooks.onAway();
        m_log.write("store", "store_lost",
                    {{"prefix", m_prefix}, {"error", describe(error)}, {"heard_ms_ago", toMilliseconds(m_awaySince - m_heardAt)}});
    }
    m_timer->startOnce(m_failures == 0 ? FirstPause : backoff(m_failures, FirstPause, LongestPause, m_random) + FirstPause);
    ++m_failures;
}

} // namespace currantstack
