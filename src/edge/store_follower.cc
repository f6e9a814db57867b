#include "currantstack/edge/store_follower.h"

#include "currantstack/decisions/store_history.h"
#include "currantstack/decisions/watch_end.h"
#include "currantstack/retry.h"

namespace currantstack
{

StoreFollower::StoreFollower(Loop &loop, const Clock &clock, Random &random, Store &store, EventLog &log, std::string prefix, Hooks hooks,
                             CatchUp::Needs needs)
    : m_loop(loop)
    , m_clock(clock)
    , m_random(random)
    , m_store(store)
    , m_log(log)
    , m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_catchUp(needs)
    , m_timer(loop.timer([this]() { read(); }))
    , m_patienceTimer(loop.timer([this]() { judgeRead(); }))
    , m_lagTimer(loop.timer([this]() { judgeLaggingWatch(); }))
    , m_catchUpTimer(loop.timer([this]() { readIfPaused(); }))
    , m_resumeTimer(loop.timer([this]() { resume(); }))
    , m_lastAnswerAt(clock.now())
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
    m_lagTimer->stop();
    m_patienceTimer->stop();
    m_catchUpTimer->stop();
    cancelReads(0);
    m_resumeTimer->stop();
    cancelWatch();
}

auto StoreFollower::read() -> void
{
    if (m_reads.size() == MostReads) {
        cancelReads(1); // the oldest one is the first to be answered by a slow store
    }
    if (m_reads.empty()) {
        m_requestedAt = m_clock.now();
    }
    const auto id = ++m_lastReadId;
    m_reads[id] = {};
    auto handle = m_store.readPatiently(m_prefix, [this, alive = m_alive, id](Result<StoreRange> range) {
        if (*alive) {
            m_reads.erase(id);
            const bool othersGoOn = id != m_lastReadId && !m_reads.empty();
            if (range || !othersGoOn) {
                onRead(std::move(range));
            }
        }
    });
    if (const auto found = m_reads.find(id); found != m_reads.end()) {
        found->second = std::move(handle);
        m_patienceTimer->startOnce(ReadPatience);
    }
}

auto StoreFollower::cancelReads(std::size_t kept) -> void
{
    while (m_reads.size() > kept) {
        std::prev(m_reads.end())->second.cancel();
        m_reads.erase(std::prev(m_reads.end()));
    }
}

/// Takes the store for unreachable if the last read has got no answer, and asks once more beside the reads that go on.
auto StoreFollower::judgeRead() -> void
{
    if (m_reads.empty()) {
        return;
    }
    const auto progress = m_reads.rbegin()->second.progress();
    if (progress.state != AnswerProgress::State::Waiting) {
        m_patienceTimer->startOnce(ReadPatience);
    } else if (progress.age < ReadPatience) {
        m_patienceTimer->startOnce(ReadPatience - progress.age);
    } else {
        retry({ErrorCode::DeadlineExceeded, "read", "", "no answer has begun in time"});
    }
}

auto StoreFollower::onRead(Result<StoreRange> range) -> void
{
    if (!range) {
        retry(range.error());
        return;
    }
    cancelReads(0);
    m_timer->stop();
    m_patienceTimer->stop();
    m_lastAnswerAt = m_clock.now();
    m_failures = 0;
    m_failedCalls = m_store.failedCalls();
    m_cutAt.reset();
    const bool wasUnreachable = std::exchange(m_unreachable, false);
    LogFields fields = {{"prefix", m_prefix}, {"revision", range->revision}, {"entries", range->values.size()}};
    if (wasUnreachable) {
        fields["away_ms"] = toMilliseconds(m_lastAnswerAt - m_unreachableSince);
    }
    const bool returnedFromCopy = m_currentRevision != 0 && !StoreHistory::isSame(m_currentRevision, range->revision);
    if (returnedFromCopy) {
        fields["former_revision"] = m_currentRevision;
    }
    m_log.write("store", wasUnreachable ? "store_regained" : "store_read", std::move(fields));
    m_currentRevision = range->revision;
    m_currentSince = m_requestedAt;
    m_lag.onDelivered(m_currentRevision);
    std::size_t longestValue = 0;
    for (const auto &value : range->values) {
        longestValue = std::max(longestValue, value.value.size());
        m_lastChangeRevision = std::max(m_lastChangeRevision, value.modRevision);
    }
    m_catchUp.onValue(longestValue);
    m_hooks.onSnapshot(*range, {wasUnreachable, returnedFromCopy});
    if (m_catchUp.onRead(m_lag.isBehind())) {
        m_timer->startOnce(catchUpDelay());
        return;
    }
    m_watchedSince = m_lastAnswerAt;
    watch();
}

auto StoreFollower::prefersRead() const -> bool
{
    return m_catchUp.prefersRead(m_lag.isBehind());
}

auto StoreFollower::catchUpDelay() -> Duration
{
    // Jitter keeps the VMs that are behind from reading together.
    return CatchUpDelay + fromMilliseconds(std::uniform_real_distribution<double>(0, toMilliseconds(CatchUpDelay))(m_random));
}

auto StoreFollower::scheduleCatchUp() -> void
{
    if (prefersRead() && m_watch && !std::exchange(m_catchUpPlanned, true)) {
        m_catchUpTimer->startOnce(catchUpDelay());
    }
}

auto StoreFollower::readIfPaused() -> void
{
    m_catchUpPlanned = false;
    if (prefersRead() && m_watch && m_watch->progress().state == AnswerProgress::State::Paused) {
        readAgain();
    }
}

auto StoreFollower::watch() -> void
{
    m_requestedAt = m_clock.now();
    m_watch = m_store.watch(
        m_prefix, m_currentRevision + 1,
        [this, alive = m_alive](std::span<const StoreEvent> events, std::int64_t revision) {
            if (*alive) {
                onWatchEvents(events, revision);
            }
        },
        [this, alive = m_alive](const Error &error) {
            if (*alive) {
                m_watch.reset();
                onWatchEnded(error);
            }
        });
}

auto StoreFollower::onWatchEvents(std::span<const StoreEvent> events, std::int64_t revision) -> void
{
    m_lastAnswerAt = m_clock.now();
    m_failedCalls = m_store.failedCalls();
    if (const auto cutAt = std::exchange(m_cutAt, std::nullopt)) {
        m_log.write("store", "watch_resumed",
                    {{"prefix", m_prefix},
                     {"current_to", m_currentRevision},
                     {"revision", revision},
                     {"missed", events.size()},
                     {"gap_ms", toMilliseconds(m_lastAnswerAt - *cutAt)}});
    }
    m_eventsWrittenAfter = m_currentSince;
    m_currentSince = std::exchange(m_requestedAt, m_lastAnswerAt); // the next poll is begun after this answer
    m_currentRevision = std::max(m_currentRevision, revision);
    m_lag.onDelivered(m_currentRevision);
    for (const auto &event : events) {
        m_catchUp.onValue(event.value.value.size());
        m_lastChangeRevision = std::max(m_lastChangeRevision, event.value.modRevision);
    }
    m_hooks.onEvents(events);
    scheduleCatchUp();
}

auto StoreFollower::observeRevision(std::int64_t revision) -> void
{
    if (!m_lag.isBehind()) {
        m_nextLagReport = FirstLagReport;
    }
    m_lag.onPeerRevision(revision, m_clock.now(), m_random);
    if (m_lag.isBehind() && !std::exchange(m_lagTimerRunning, true)) {
        m_lagTimer->startOnce(WatchLag::FirstTolerance);
    }
    scheduleCatchUp();
}

auto StoreFollower::judgeLaggingWatch() -> void
{
    m_lagTimerRunning = m_lag.isBehind() && !m_unreachable && m_watch;
    if (!m_lagTimerRunning) {
        return;
    }
    const auto now = m_clock.now();
    const auto progress = m_watch->progress();
    const auto wait = m_lag.judge(progress, m_store.answerTime(), now);
    m_lagTimer->startOnce(wait.value_or(WatchLag::FirstTolerance));
    if (!wait) {
        m_lag.onRestarted(m_random);
        writeLag("watch_behind", progress);
        cancelWatch();
        watch();
    } else if (m_lag.behindFor(now) >= m_nextLagReport) {
        m_nextLagReport *= 2;
        writeLag("watch_slow", progress);
    }
}

auto StoreFollower::cancelWatch() -> void
{
    if (const auto watch = std::exchange(m_watch, std::nullopt)) {
        watch->cancel();
    }
}

auto StoreFollower::writeLag(std::string_view event, const AnswerProgress &progress) -> void
{
    m_log.write("store", event,
                {{"prefix", m_prefix},
                 {"current_to", m_currentRevision},
                 {"heard_of", m_lag.peerRevision()},
                 {"behind_ms", toMilliseconds(m_lag.behindFor(m_clock.now()))},
                 {"answer", name(progress.state)},
                 {"received", progress.received},
                 {"expected", progress.expected},
                 {"age_ms", toMilliseconds(progress.age)},
                 {"silent_ms", toMilliseconds(progress.silence)},
                 {"restarts", m_lag.restarts()}});
}

auto StoreFollower::readAgain() -> void
{
    const bool isReading = !m_watch && !m_cutAt;
    if (isReading) {
        return;
    }
    cancelWatch();
    m_resumeTimer->stop();
    m_cutAt.reset();
    read();
}

auto StoreFollower::onWatchEnded(const Error &error) -> void
{
    const WatchEvidence evidence{!m_cutAt, m_store.failedCalls() != m_failedCalls};
    switch (planResumption(classifyWatchEnd(error), evidence)) {
    case WatchResumption::Resume:
        resumeLater(error);
        break;
    case WatchResumption::ReadAll:
        m_log.write("store", "history_lost", {{"prefix", m_prefix}, {"current_to", m_currentRevision}, {"error", describe(error)}});
        m_cutAt.reset();
        read();
        break;
    case WatchResumption::ReadAllOnReturn:
        m_cutAt.reset();
        retry(error);
        break;
    }
}

/// Resumes a watch that was cut. The time until then stays far below that in which a change must be in force.
auto StoreFollower::resumeLater(const Error &error) -> void
{
    const auto now = m_clock.now();
    m_cuts = now - m_watchedSince >= CalmWatchTime ? 0 : m_cuts + 1;
    const auto delay = m_cuts <= 1 ? FirstBackoff : backoff(m_cuts, FirstBackoff, LongestBackoff, m_random) + FirstBackoff;
    m_cutAt = now;
    m_log.write("store", "watch_cut",
                {{"prefix", m_prefix},
                 {"current_to", m_currentRevision},
                 {"error", describe(error)},
                 {"heard_ms_ago", toMilliseconds(now - m_lastAnswerAt)},
                 {"cuts", m_cuts},
                 {"resume_in_ms", toMilliseconds(delay)}});
    m_resumeTimer->startOnce(delay);
}

auto StoreFollower::resume() -> void
{
    m_watchedSince = m_clock.now();
    watch();
}

auto StoreFollower::retry(const Error &error) -> void
{
    if (!std::exchange(m_unreachable, true)) {
        m_unreachableSince = m_clock.now();
        m_hooks.onUnreachable();
        m_log.write("store", "store_lost",
                    {{"prefix", m_prefix},
                     {"cause", name(classifyWatchEnd(error))},
                     {"error", describe(error)},
                     {"heard_ms_ago", toMilliseconds(m_unreachableSince - m_lastAnswerAt)}});
    }
    m_timer->startOnce(m_failures == 0 ? FirstBackoff : backoff(m_failures, FirstBackoff, LongestBackoff, m_random) + FirstBackoff);
    ++m_failures;
}

} // namespace currantstack
