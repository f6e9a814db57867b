// How a model request goes on when an engine fails, stalls or is slow.
#include "currantstack/model_relay.h"

#include "currantstack/moves.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr int MaxTries = 6;
constexpr Duration BackoffBase = milliseconds(10);
constexpr Duration BackoffLongest = milliseconds(200);
constexpr Duration KvMargin = milliseconds(50); // of a result's life, kept for the way to the decode engine
constexpr double LateGapShare = 0.05; // of token gaps that may pass the target
constexpr Duration PrefillWaitForMove = milliseconds(80); // from which prefill engines have no room for moves
constexpr double HealthyWeight = 0.7; // of a prefill engine that takes cached prompts of moved streams
constexpr int BaselineTries = 3; // of a baseline policy, without a budget

} // namespace

auto ModelRelay::noteGap(TimePoint now) -> void
{
    if (m_lastToken == TimePoint()) {
        return;
    }
    const auto gap = now - m_lastToken;
    const double gapMs = toMilliseconds(gap);
    const double expected = std::max(estimate().gapMs(), 0.5 * toMilliseconds(m_request.model->tokenGapTarget));
    estimate().observeGap(std::min<Duration>(gap, 3 * m_request.model->tokenGapTarget));
    m_pace.lateGaps += gap > m_request.model->tokenGapTarget ? 1 : 0;
    const bool slow = gapMs > HealthTracker::SlowRatio * expected && gap > m_request.model->tokenGapTarget;
    m_pace.lastRatio = gapMs / expected;
    m_pace.slowGapsInARow = slow ? m_pace.slowGapsInARow + 1 : 0;
    if (slow) {
        m_parts.slots.observe(m_decode.engine, {false, gapMs / expected, 0});
    }
}

auto ModelRelay::considerMove() -> void
{
    m_pace.delivered = static_cast<int>(m_delivered);
    m_pace.maxTokens = static_cast<int>(m_request.completion.maxTokens);
    if (!reservesSlots() || !isWorthMoving(m_pace, LateGapShare)) {
        return;
    }
    const auto engine = m_decode.engine;
    const bool hasSlot = m_parts.slots.shortestWait(poolOf(Role::Decode), Role::Decode, 0) == Duration::zero();
    const bool isCached =
        !m_lastPrefill.empty() && m_parts.slots.health().weight(m_lastPrefill, m_parts.context.clock.now()) >= HealthyWeight;
    const bool hasTurn = isCached || m_parts.slots.shortestWait(poolOf(Role::Prefill), Role::Prefill, prefillMs()) < PrefillWaitForMove;
    if (!hasSlot || !hasTurn || !m_parts.moves.take()) {
        return;
    }
    ++m_pace.moves;
    m_pace.slowGapsInARow = 0;
    ++m_pace.lateGaps; // the gap that the move makes, which says nothing of the next engine
    m_lastToken = TimePoint();
    m_parts.context.counters.at("streams_moved").add();
    m_parts.context.timeline.add(EventKind::Moved, m_request.id, engine, "its token gaps are far over the pool's");
    endStage(m_decode, true, "moved away from a slow engine", {});
    m_avoid.push_back(engine);
    m_repeatCause = "move";
    askDecode();
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
    const bool started = m_streamBegan && m_delivered > 0 && !m_resumed;
    if (started) {
        return resumeStream();
    }
    auto failure = response ? Failure::Lost : failureOf(response.error());
    if (m_resumed && failure == Failure::Unreached) {
        failure = Failure::Lost; // the stream broke before, and the engine is away
    }
    retryDecode(failure, response ? "the stream ended early" : response.error().message);
}

auto ModelRelay::resumeStream() -> void
{
    // The engine may still run the request; a new connection takes the stream up where it broke.
    HttpCall call;
    call.url = urlOf(m_decode.address, fmt::format("/v1/requests/stream?request_id={}&from={}", m_decode.requestId, m_delivered));
    call.connectTimeout = m_request.config->timeouts.connect;
    call.idleTimeout = m_request.config->timeouts.progress;
    call.freshConnection = true;
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
        return Failure::Unreached;
    }
    return error.code == ErrorCode::DeadlineExceeded ? Failure::Silent : Failure::Lost;
}

auto ModelRelay::noteDeath(const Stage &stage, Failure failure) -> void
{
    if (failure == Failure::Lost && stage.sent && m_parts.reportDeath) {
        m_parts.prefixes.forgetEngine(stage.engine);
        m_lastPrefill.clear();
        m_request.suspect = true;
        m_parts.reportDeath(m_request.fingerprint, stage.engine);
    }
}

auto ModelRelay::afterBudget(std::string_view cause, std::function<void()> next) -> bool
{
    ++m_tries;
    const auto now = m_parts.context.clock.now();
    if (m_failingSince == TimePoint()) {
        m_failingSince = now;
    }
    if (reservesSlots() && m_answering) {
        if (now - m_failingSince > AnswerPatience) {
            return false;
        }
    } else if (m_tries >= (reservesSlots() ? MaxTries : BaselineTries) || (reservesSlots() && !m_parts.retries.take())) {
        return false;
    }
    if (m_parts.quarantine.isQuarantined(m_request.fingerprint, m_parts.context.clock.now())) {
        return false;
    }
    m_parts.context.counters.at("retries").add();
    m_parts.context.timeline.add(EventKind::Retried, m_request.id, "", cause);
    const auto wait = backoff(m_tries, BackoffBase, BackoffLongest, m_parts.context.random);
    m_parts.context.loop.after(wait, [weak = weak_from_this(), next = std::move(next)]() {
        const auto self = weak.lock();
        if (self && !self->m_finished) {
            next();
        }
    });
    return true;
}

auto ModelRelay::onNoSlot(const Error &error, std::function<void()> again) -> void
{
    // An answer that has begun is not given up because all engines are away for a moment.
    const bool tried = m_answering && afterBudget(error.message, std::move(again));
    if (!tried) {
        refuse(error);
    }
}

auto ModelRelay::retryPrefill(Failure failure, std::string_view cause) -> void
{
    const auto engine = m_prefill.engine;
    noteDeath(m_prefill, failure);
    endStage(m_prefill, true, cause, {failure != Failure::Refused, 1, 0});
    if (failure != Failure::Refused) {
        m_avoid.push_back(engine);
    }
    m_parts.context.counters.at("prefills_failed").add();
    if (!afterBudget(fmt::format("the prefill at {} failed: {}", engine, cause), [this]() { askPrefill(); })) {
        refuse({ErrorCode::Unavailable, "prefill", engine, std::string(cause)});
    }
}

auto ModelRelay::retryDecode(Failure failure, std::string_view cause) -> void
{
    const auto engine = m_decode.engine;
    const bool expired = failure == Failure::Refused;
    noteDeath(m_decode, failure);
    endStage(m_decode, true, cause, {!expired, 1, 0});
    if (!expired) {
        m_avoid.push_back(engine);
    }
    const bool stalled = failure == Failure::Silent && !m_kvTaken && !m_prefill.engine.empty();
    if (stalled) {
        // Either end of the transfer may be at fault, so another pair is tried.
        m_parts.slots.observe(m_prefill.engine, {true, 1, 0});
        m_avoid.push_back(m_prefill.engine);
        endStage(m_prefill, true, cause, {});
    }
    if (expired || stalled) {
        m_kvTaken = true; // the result could not be fetched
    }
    m_parts.context.counters.at("decodes_failed").add();
    m_repeatCause = "failure";
    m_parts.context.timeline.add(EventKind::Moved, m_request.id, engine, cause);
    m_lastToken = TimePoint();
    if (!afterBudget(fmt::format("the decode at {} failed: {}", engine, cause), [this]() { askDecode(); })) {
        refuse({ErrorCode::Unavailable, "decode", engine, std::string(cause)});
    }
}

auto ModelRelay::avoidable(Role role) const -> std::vector<std::string>
{
    const auto &engines = m_request.config->engines;
    const bool othersExist = std::any_of(engines.begin(), engines.end(), [this, role](const Engine &engine) {
        const bool avoided = std::find(m_avoid.begin(), m_avoid.end(), engine.name) != m_avoid.end();
        return engine.role == role && engine.model == m_request.completion.model && !engine.leaving && !avoided;
    });
    return othersExist ? m_avoid : std::vector<std::string>();
}

auto ModelRelay::kvIsAlive() const -> bool
{
    return !m_transfer.remoteHandle.empty() && !m_kvTaken && m_parts.context.clock.now() + KvMargin < m_kvExpires;
}

} // namespace currantstack
