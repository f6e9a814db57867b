// Recovery of a model request when an engine fails, stalls or is slow: retry, resume or move to another engine.
#include "currantstack/model_relay.h"

#include "currantstack/stream_moves.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr int MaxAttempts = 6; // per request, before its answer starts
constexpr Duration BackoffBase = milliseconds(10);
constexpr Duration LongestBackoff = milliseconds(200);
constexpr Duration KvMargin = milliseconds(50); // remaining lifetime that a KV cache needs to be fetched by a decode engine
constexpr double MaxLateGapShare = 0.05; // of an answer's token gaps that may exceed the target
constexpr Duration MaxPrefillWaitForMove = milliseconds(80); // from which prefill engines have no spare capacity for moves
constexpr double MinHealthyWeight = 0.7; // of the engine that caches the prompt, to prefill a moved stream again there
constexpr int MaxBaselineAttempts = 3; // with a baseline policy, which has no retry budget

} // namespace

auto ModelRelay::recordTokenGap(TimePoint now) -> void
{
    if (m_lastTokenAt == TimePoint()) {
        return;
    }
    const auto gap = now - m_lastTokenAt;
    const double tokenGapMs = toMilliseconds(gap);
    const double expected = std::max(estimate().tokenGapMs(), 0.5 * toMilliseconds(m_request.model->tokenGapTarget));
    estimate().observeTokenGap(std::min<Duration>(gap, 3 * m_request.model->tokenGapTarget));
    m_progress.lateGaps += gap > m_request.model->tokenGapTarget ? 1 : 0;
    const bool slow = tokenGapMs > HealthTracker::SlowRatio * expected && gap > m_request.model->tokenGapTarget;
    m_progress.lastRatio = tokenGapMs / expected;
    m_progress.consecutiveSlowGaps = slow ? m_progress.consecutiveSlowGaps + 1 : 0;
    if (slow) {
        m_parts.slots.observe(m_decode.engine, {false, tokenGapMs / expected, 0});
    }
}

auto ModelRelay::moveIfSlow() -> void
{
    m_progress.delivered = static_cast<int>(m_delivered);
    m_progress.maxTokens = static_cast<int>(m_request.completion.maxTokens);
    if (!reservesSlots() || !isWorthMoving(m_progress, MaxLateGapShare)) {
        return;
    }
    const auto engine = m_decode.engine;
    const bool hasSlot = m_parts.slots.shortestWait(poolOf(Role::Decode), Role::Decode, 0) == Duration::zero();
    const bool isCached =
        !m_lastPrefillEngine.empty() && m_parts.slots.health().weight(m_lastPrefillEngine, m_parts.context.clock.now()) >= MinHealthyWeight;
    const bool canPrefill =
        isCached || m_parts.slots.shortestWait(poolOf(Role::Prefill), Role::Prefill, prefillMs()) < MaxPrefillWaitForMove;
    if (!hasSlot || !canPrefill || !m_parts.moveBudget.tryAcquire()) {
        return;
    }
    ++m_progress.moves;
    m_progress.consecutiveSlowGaps = 0;
    ++m_progress.lateGaps; // the gap caused by the move; resetting `m_lastTokenAt` excludes it from the next engine's gaps
    m_lastTokenAt = TimePoint();
    m_parts.context.counters.at("streams_moved").add();
    m_parts.context.timeline.add(EventKind::Moved, m_request.id, engine, "its token gaps are far longer than the pool's");
    endStage(m_decode, true, "moved away from a slow engine", {});
    m_excludedEngines.push_back(engine);
    m_reprefillCause = "move";
    requestDecodeSlot();
}

auto ModelRelay::onDecodeEnd(const Result<HttpResponse> &response) -> void
{
    m_decode.call = 0;
    if (m_finished) {
        return;
    }
    if (response && m_errorStatus) {
        return retryDecode(Failure::Refused, fmt::format("status {}", response->status));
    }
    const bool canResume = m_streamOpened && m_delivered > 0 && !m_resumed;
    if (canResume) {
        return resumeStream();
    }
    auto failure = response ? Failure::ConnectionLost : failureOf(response.error());
    if (m_resumed && failure == Failure::NotConnected) {
        failure = Failure::ConnectionLost; // the stream broke earlier, and the engine is now unreachable
    }
    retryDecode(failure, response ? "the stream ended before the last token" : response.error().message);
}

auto ModelRelay::resumeStream() -> void
{
    // The engine may still run the request; a new connection resumes the stream after the last token received.
    HttpCall call;
    call.url = urlOf(m_decode.address, fmt::format("/v1/requests/stream?request_id={}&from={}", m_decode.requestId, m_delivered));
    call.connectTimeout = m_request.config->timeouts.connect;
    call.idleTimeout = m_request.config->timeouts.progress;
    call.useOwnConnection();
    call.step = "resume";
    call.peer = m_decode.engine;
    m_resumed = true;
    m_errorStatus = false;
    m_parser = EventStreamParser();
    m_parts.context.counters.at("streams_resumed").add();
    m_parts.context.timeline.add(EventKind::Retried, m_request.id, m_decode.engine, "the stream broke and is resumed on a new connection");
    m_decode.call = m_parts.context.client.start(std::move(call), streamHandlers());
}

auto ModelRelay::failureOf(const Error &error) -> Failure
{
    if (error.code == ErrorCode::Unreachable) {
        return Failure::NotConnected;
    }
    return error.code == ErrorCode::DeadlineExceeded ? Failure::TimedOut : Failure::ConnectionLost;
}

auto ModelRelay::reportCrash(const Stage &stage, Failure failure) -> void
{
    if (failure == Failure::ConnectionLost && stage.sent && m_parts.reportCrash) {
        m_parts.prefixMap.removeEngine(stage.engine);
        m_lastPrefillEngine.clear();
        m_request.suspect = true;
        m_parts.reportCrash(m_request.fingerprint, stage.engine);
    }
}

auto ModelRelay::scheduleRetry(std::string_view cause, std::function<void()> next) -> bool
{
    ++m_failedAttempts;
    const auto now = m_parts.context.clock.now();
    if (m_failingSince == TimePoint()) {
        m_failingSince = now;
    }
    if (reservesSlots() && m_answerStarted) {
        if (now - m_failingSince > AnswerRetryTime) {
            return false;
        }
    } else if (m_failedAttempts >= (reservesSlots() ? MaxAttempts : MaxBaselineAttempts)
               || (reservesSlots() && !m_parts.retryBudget.tryAcquire())) {
        return false;
    }
    if (m_parts.quarantine.find({&m_request.fingerprint, 1}, m_parts.context.clock.now())) {
        return false;
    }
    m_parts.context.counters.at("retries").add();
    m_parts.context.timeline.add(EventKind::Retried, m_request.id, "", cause);
    const auto wait = backoff(m_failedAttempts, BackoffBase, LongestBackoff, m_parts.context.random);
    m_parts.context.loop.after(wait, [weak = weak_from_this(), next = std::move(next)]() {
        const auto self = weak.lock();
        if (self && !self->m_finished) {
            next();
        }
    });
    return true;
}

auto ModelRelay::onSlotRefused(const Error &error, std::function<void()> retry) -> void
{
    // A started answer does not fail because all engines are unavailable for a moment.
    const bool retried = m_answerStarted && scheduleRetry(error.message, std::move(retry));
    if (!retried) {
        failRequest(error);
    }
}

auto ModelRelay::retryPrefill(Failure failure, std::string_view cause) -> void
{
    const auto engine = m_prefill.engine;
    reportCrash(m_prefill, failure);
    endStage(m_prefill, true, cause, {failure != Failure::Refused, 1, 0});
    if (failure != Failure::Refused) {
        m_excludedEngines.push_back(engine);
    }
    m_parts.context.counters.at("prefills_failed").add();
    if (!scheduleRetry(fmt::format("the prefill at {} failed: {}", engine, cause), [this]() { requestPrefillSlot(); })) {
        failRequest({ErrorCode::Unavailable, "prefill", engine, std::string(cause)});
    }
}

auto ModelRelay::retryDecode(Failure failure, std::string_view cause) -> void
{
    const auto engine = m_decode.engine;
    const bool refused = failure == Failure::Refused;
    reportCrash(m_decode, failure);
    endStage(m_decode, true, cause, {!refused, 1, 0});
    if (!refused) {
        m_excludedEngines.push_back(engine);
    }
    const bool stalled = failure == Failure::TimedOut && !m_kvConsumed && !m_prefill.engine.empty();
    if (stalled) {
        // Either end of the KV transfer may be at fault, so both engines are excluded.
        m_parts.slots.observe(m_prefill.engine, {true, 1, 0});
        m_excludedEngines.push_back(m_prefill.engine);
        endStage(m_prefill, true, cause, {});
    }
    if (refused || stalled) {
        m_kvConsumed = true; // the KV cache could not be fetched, so the prompt is prefilled again
    }
    m_parts.context.counters.at("decodes_failed").add();
    m_reprefillCause = "failure";
    m_parts.context.timeline.add(EventKind::Moved, m_request.id, engine, cause);
    m_lastTokenAt = TimePoint();
    if (!scheduleRetry(fmt::format("the decode at {} failed: {}", engine, cause), [this]() { requestDecodeSlot(); })) {
        failRequest({ErrorCode::Unavailable, "decode", engine, std::string(cause)});
    }
}

auto ModelRelay::exclusionsFor(Role role) const -> std::vector<std::string>
{
    const auto &engines = m_request.config->engines;
    const bool othersExist = std::any_of(engines.begin(), engines.end(), [this, role](const Engine &engine) {
        const bool excluded = std::find(m_excludedEngines.begin(), m_excludedEngines.end(), engine.name) != m_excludedEngines.end();
        return engine.role == role && engine.model == m_request.completion.model && !engine.draining && !excluded;
    });
    return othersExist ? m_excludedEngines : std::vector<std::string>();
}

auto ModelRelay::hasUsableKv() const -> bool
{
    return !m_transfer.remoteHandle.empty() && !m_kvConsumed && m_parts.context.clock.now() + KvMargin < m_kvExpiresAt;
}

} // namespace currantstack
