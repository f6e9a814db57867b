#include "currantstack/service_relay.h"

#include "currantstack/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace currantstack
{

namespace
{

constexpr Log ServiceLog("services");
constexpr int MaxAttempts = 3; // per request, including hedges
constexpr Duration BackoffBase = milliseconds(5);
constexpr Duration LongestBackoff = milliseconds(100);
constexpr double HedgeFactor = 3; // times the average latency, after which a hedge is sent
constexpr Duration MinHedgeDelay = milliseconds(25);
constexpr Duration MinRemainingTime = milliseconds(1); // until the deadline, to send an attempt
constexpr double OtherPlacePenaltyUs = 1000; // added to the expected work of an upstream in another place

auto isForwarded(std::string_view name) -> bool
{
    constexpr std::string_view Forwarded[] = {"content-type", "accept", "accept-language", "idempotency-key", "if-match", "if-none-match"};
    return std::any_of(std::begin(Forwarded), std::end(Forwarded), [name](std::string_view entry) {
        return !findHeader({{std::string(entry), "1"}}, name).empty();
    });
}

} // namespace

auto chooseUpstream(const Service &service, ServiceUpstreamStats &stats, const HealthTracker &health,
                    const std::vector<std::string> &excluded, std::string_view localPlace, TimePoint now, Random &random)
    -> const ServiceUpstream *
{
    std::vector<const ServiceUpstream *> candidates;
    std::vector<const ServiceUpstream *> unhealthy;
    for (const auto &upstream : service.upstreams) {
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), upstream.name) != excluded.end();
        if (upstream.draining || isExcluded || stats.forUpstream(service.name, upstream.name).inFlight >= service.maxInFlight) {
            continue;
        }
        const bool healthy = health.weight(service.name + "/" + upstream.name, now) >= 0.3;
        (healthy ? candidates : unhealthy).push_back(&upstream);
    }
    if (candidates.empty()) {
        candidates = unhealthy;
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto load = [&](const ServiceUpstream *upstream) {
        const auto &entry = stats.forUpstream(service.name, upstream->name);
        const double work = (entry.inFlight + 1) * entry.latencyMs.value() / health.weight(service.name + "/" + upstream->name, now);
        return work + (upstream->place == localPlace ? 0 : OtherPlacePenaltyUs / 1000);
    };
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    const auto *first = candidates[any(random)];
    const auto *second = candidates[any(random)];
    return load(first) <= load(second) ? first : second;
}

ServiceRelay::ServiceRelay(RelayParts &parts, ServiceUpstreamStats &stats, CallerRequest request)
    : m_parts(parts)
    , m_upstreamStats(stats)
    , m_request(std::move(request))
{ }

auto ServiceRelay::usesJournal() const -> bool
{
    return !m_request.idempotent && !m_request.idempotencyKey.empty();
}

auto ServiceRelay::scopedKey() const -> std::string
{
    return fmt::format("{}/{}/{}", m_request.member->name, m_request.service->name, m_request.idempotencyKey);
}

auto ServiceRelay::healthKey(std::string_view upstream) const -> std::string
{
    return fmt::format("{}/{}", m_request.service->name, upstream);
}

auto ServiceRelay::start() -> void
{
    beginRelay(m_parts, m_request, [weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->onCallerDisconnected();
        }
    });
    if (usesJournal()) {
        return recordIntent();
    }
    dispatch(false);
}

auto ServiceRelay::recordIntent() -> void
{
    const auto intent = m_parts.journal.makeIntent(scopedKey(), fmt::format("{:016x}", m_request.fingerprint), m_request.id);
    m_parts.journal.begin(intent,
                          [self = shared_from_this()](const Result<JournalShard::IntentResult> &result) { self->onIntent(result); });
}

auto ServiceRelay::onIntent(const Result<JournalShard::IntentResult> &result) -> void
{
    if (!result) {
        m_parts.journal.abandon(scopedKey(), m_request.id);
        return refuse({ErrorCode::Unavailable, "journal", result.error().peer,
                       "the intent could not be recorded, so the request was not sent: " + result.error().message},
                      Executed::No);
    }
    switch (result->decision) {
    case IntentDecision::Run:
        m_intentRecorded = true;
        m_parts.context.timeline.add(EventKind::IntentWritten, m_request.id, m_request.service->name);
        if (m_callerDisconnected || m_parts.context.clock.now() >= m_request.deadline) {
            m_parts.journal.abandon(scopedKey(), m_request.id);
            m_intentRecorded = false;
            return refuse({ErrorCode::DeadlineExceeded, "journal", "", "the deadline passed before the request was sent"}, Executed::No);
        }
        return dispatch(false);
    case IntentDecision::Replay:
        m_parts.context.timeline.add(EventKind::AnswerReplayed, m_request.id, m_request.service->name);
        m_parts.context.counters.at("answers_replayed").add();
        return respond({result->answer->status,
                        {{"Content-Type", result->answer->contentType}, {"Idempotent-Replayed", "true"}},
                        result->answer->body});
    case IntentDecision::InProgress:
        return refuse({ErrorCode::Conflict, "journal", "", "a request with this key is in progress; retry to get its answer"},
                      Executed::Unknown);
    case IntentDecision::Unknown:
        return refuse({ErrorCode::OutcomeUnknown, "journal", "",
                       "a request with this key was sent and its outcome is unknown; it will not run again"},
                      Executed::Unknown);
    case IntentDecision::Mismatch:
        return refuse({ErrorCode::BadInput, "journal", "", "the Idempotency-Key was used for a different request"}, Executed::No);
    }
}

auto ServiceRelay::dispatch(bool isHedge) -> void
{
    auto &context = m_parts.context;
    const auto now = context.clock.now();
    const auto remaining = m_request.deadline - now;
    const auto *upstream = chooseUpstream(*m_request.service, m_upstreamStats, m_parts.slots.health(), m_attemptedUpstreams,
                                          context.settings.place, now, context.random);
    if (remaining < MinRemainingTime || upstream == nullptr) {
        if (isHedge || hasOpenAttempt()) {
            return;
        }
        if (m_intentRecorded && !m_sent) {
            m_parts.journal.abandon(scopedKey(), m_request.id);
            m_intentRecorded = false;
        }
        const auto code = upstream == nullptr ? ErrorCode::Overloaded : ErrorCode::DeadlineExceeded;
        const auto reason = upstream == nullptr ? "no upstream of the service can take the request" : "the deadline passed";
        return refuse({code, "choose", m_request.service->name, reason}, m_sent ? Executed::Unknown : Executed::No);
    }
    const auto &http = m_request.exchange->request();
    HttpCall call;
    call.method = http.method;
    call.url = urlOf(upstream->address, m_request.servicePath + encodeQuery(http.query));
    for (const auto &header : http.headers) {
        if (isForwarded(header.name)) {
            call.headers.push_back(header);
        }
    }
    call.headers.push_back({"X-Request-Id", m_request.id});
    call.body = http.body;
    call.connectTimeout = m_request.config->timeouts.connect;
    call.totalTimeout = remaining;
    call.idleTimeout = m_request.idempotent ? m_request.config->timeouts.progress : Duration::zero();
    call.useOwnConnection();
    call.step = "service";
    call.peer = upstream->name;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), chosen = *upstream](Result<HttpResponse> response) {
        self->onResponse(chosen, std::move(response));
    };
    ++m_attemptCount;
    ++m_upstreamStats.forUpstream(m_request.service->name, upstream->name).inFlight;
    m_attemptedUpstreams.push_back(upstream->name);
    if (isHedge) {
        context.counters.at("hedges").add();
        context.timeline.add(EventKind::Hedged, m_request.id, upstream->name, "the first attempt is much slower than the average");
    }
    const auto name = upstream->name;
    m_openAttempts.push_back({name, 0, now});
    m_sent = true;
    m_openAttempts.back().call = context.client.start(std::move(call), std::move(handlers));
    if (m_request.idempotent && !isHedge) {
        startHedgeTimer();
    }
}

auto ServiceRelay::startHedgeTimer() -> void
{
    const auto typicalMs = m_upstreamStats.forUpstream(m_request.service->name, m_openAttempts.back().upstream).latencyMs.value();
    const auto delay = std::max<Duration>(MinHedgeDelay, fromMilliseconds(HedgeFactor * typicalMs));
    m_hedgeTimer = m_parts.context.loop.timer([weak = weak_from_this()]() {
        const auto self = weak.lock();
        if (self && !self->m_finished && self->m_attemptCount < MaxAttempts && self->m_parts.retryBudget.tryAcquire()) {
            self->m_parts.slots.health().observe(self->healthKey(self->m_openAttempts.front().upstream), HealthTracker::SlowRatio,
                                                 self->m_parts.context.clock.now());
            self->dispatch(true);
        }
    });
    m_hedgeTimer->startOnce(delay);
}

auto ServiceRelay::endAttempt(const std::string &upstream) -> void
{
    auto &entry = m_upstreamStats.forUpstream(m_request.service->name, upstream);
    --entry.inFlight;
    const auto found = std::find_if(m_openAttempts.begin(), m_openAttempts.end(),
                                    [&upstream](const Attempt &entry) { return entry.upstream == upstream; });
    if (found != m_openAttempts.end()) {
        entry.latencyMs.observe(toMilliseconds(m_parts.context.clock.now() - found->startedAt));
        m_openAttempts.erase(found);
    }
    if (m_openAttempts.empty()) {
        m_hedgeTimer.reset();
    }
}

auto ServiceRelay::hasOpenAttempt() const -> bool
{
    return !m_openAttempts.empty() || !m_heldAnswers.empty();
}

auto ServiceRelay::onResponse(const ServiceUpstream &upstream, Result<HttpResponse> response) -> void
{
    endAttempt(upstream.name);
    if (m_finished) {
        return;
    }
    if (!response) {
        return onFailure(upstream.name, response.error());
    }
    if (framingOf(response->status, response->headers) == BodyFraming::Connection) {
        return holdAnswer(upstream, std::move(*response));
    }
    onAnswer(*response);
}

auto ServiceRelay::holdAnswer(const ServiceUpstream &upstream, HttpResponse response) -> void
{
    m_heldAnswers.push_back({upstream, std::move(response)});
    const auto remaining = std::max(Duration::zero(), m_request.deadline - m_parts.context.clock.now());
    m_parts.context.loop.after(std::min<Duration>(EndSettleTime, remaining),
                               [self = shared_from_this(), name = upstream.name]() { self->judgeEnd(name); });
}

auto ServiceRelay::findHeld(std::string_view upstream) -> std::vector<HeldAnswer>::iterator
{
    return std::find_if(m_heldAnswers.begin(), m_heldAnswers.end(),
                        [upstream](const HeldAnswer &held) { return held.upstream.name == upstream; });
}

auto ServiceRelay::judgeEnd(const std::string &upstream) -> void
{
    const auto found = findHeld(upstream);
    if (found == m_heldAnswers.end()) {
        return; // another attempt has been answered, or the caller has disconnected
    }
    const auto end = judgeAnswerEnd(found->evidence);
    const auto remaining = m_request.deadline - m_parts.context.clock.now();
    if (end == AnswerEnd::Undecided && remaining >= MinRemainingTime) {
        const auto pause = found->evidence.trials == 0 ? Duration::zero() : std::min<Duration>(EndTrialPause, remaining);
        return m_parts.context.loop.after(pause, [self = shared_from_this(), upstream]() { self->tryConnection(upstream); });
    }
    endHold(found, end);
}

/// Uses the answer if its end is complete; otherwise the attempt has failed.
auto ServiceRelay::endHold(std::vector<HeldAnswer>::iterator found, AnswerEnd end) -> void
{
    const auto held = std::move(*found);
    const auto &upstream = held.upstream.name;
    m_heldAnswers.erase(found);
    m_parts.context.counters.at(fmt::format("answer_ends_judged{{end=\"{}\"}}", name(end))).add();
    ServiceLog.info("Request {}: the end of the answer of {} is {} (connection: {}, trials: {})", m_request.id, healthKey(upstream),
                    name(end), held.evidence.connection ? name(*held.evidence.connection) : "not_tried", held.evidence.trials);
    if (end == AnswerEnd::Complete) {
        return onAnswer(held.response);
    }
    if (end == AnswerEnd::Undecided) {
        return onFailure(
            upstream, {ErrorCode::DeadlineExceeded, "service", upstream, "the deadline passed before the end of the answer was confirmed"});
    }
    onFailure(upstream, {ErrorCode::Unavailable, "service", upstream, "the upstream may have ended before its answer"});
}

auto ServiceRelay::tryConnection(const std::string &upstream) -> void
{
    const auto held = findHeld(upstream);
    if (held == m_heldAnswers.end()) {
        return;
    }
    auto call = connectOnlyCall(held->upstream.address, m_request.config->timeouts.connect);
    // A connection that is observed for a shorter time shows nothing.
    const auto remaining = m_request.deadline - m_parts.context.clock.now() - call.openTime;
    if (remaining < MinRemainingTime) {
        return endHold(held, AnswerEnd::Undecided);
    }
    ++held->evidence.trials;
    call.connectTimeout = std::min<Duration>(call.connectTimeout, remaining);
    call.totalTimeout = call.connectTimeout;
    call.step = "confirm end";
    call.peer = upstream;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), upstream](const Result<HttpResponse> &result) {
        const auto found = self->findHeld(upstream);
        if (found == self->m_heldAnswers.end()) {
            return;
        }
        found->trial = 0;
        found->evidence.connection = trialOf(result);
        self->judgeEnd(upstream);
    };
    held->trial = m_parts.context.client.start(std::move(call), std::move(handlers));
}

auto ServiceRelay::onAnswer(const HttpResponse &response) -> void
{
    m_parts.retryBudget.onSuccess();
    m_parts.context.counters.at("service_answers").add();
    const auto contentType = std::string(findHeader(response.headers, "Content-Type"));
    if (m_intentRecorded) {
        m_parts.journal.finish(scopedKey(), m_request.id, {response.status, contentType, response.body});
    }
    HttpResponse forwarded{response.status, {}, response.body};
    if (!contentType.empty()) {
        forwarded.headers.push_back({"Content-Type", contentType});
    }
    respond(std::move(forwarded));
}

auto ServiceRelay::onFailure(const std::string &upstream, const Error &error) -> void
{
    const auto now = m_parts.context.clock.now();
    m_parts.slots.health().observeFailure(healthKey(upstream), now);
    m_parts.context.counters.at("service_failures").add();
    const bool nothingSent = error.code == ErrorCode::Unreachable;
    if (hasOpenAttempt()) {
        return; // another attempt is still in flight
    }
    if (!m_request.idempotent && nothingSent) {
        m_sent = false;
    }
    const bool mayRetry = (m_request.idempotent || nothingSent) && m_attemptCount < MaxAttempts && now < m_request.deadline
        && m_parts.retryBudget.tryAcquire();
    if (mayRetry) {
        m_parts.context.counters.at("retries").add();
        m_parts.context.timeline.add(EventKind::Retried, m_request.id, upstream, describe(error));
        const auto wait = backoff(m_attemptCount, BackoffBase, LongestBackoff, m_parts.context.random);
        m_parts.context.loop.after(wait, [self = shared_from_this()]() {
            if (!self->m_finished) {
                self->dispatch(false);
            }
        });
        return;
    }
    if (m_intentRecorded && !m_sent) {
        m_parts.journal.abandon(scopedKey(), m_request.id);
    } else if (m_intentRecorded) {
        const auto unknown = problemResponse(
            {ErrorCode::OutcomeUnknown, "service", upstream, "the request was sent and its outcome is unknown; it will not run again"},
            Executed::Unknown, {}, m_request.id);
        m_parts.journal.finish(scopedKey(), m_request.id, {unknown.status, "application/problem+json", unknown.body});
    }
    auto reported = error;
    if (m_sent && !m_request.idempotent) {
        reported.code = ErrorCode::OutcomeUnknown;
    }
    refuse(reported, m_sent ? Executed::Unknown : Executed::No);
}

auto ServiceRelay::respond(HttpResponse response) -> void
{
    if (m_finished) {
        return;
    }
    response.headers.push_back({"X-Request-Id", m_request.id});
    m_request.exchange->respond(std::move(response));
    m_parts.context.counters.at("requests_completed").add();
    m_parts.context.timeline.add(EventKind::RequestDone, m_request.id, m_request.service->name);
    finish();
}

auto ServiceRelay::refuse(const Error &error, Executed executed) -> void
{
    if (m_finished) {
        return;
    }
    ++m_parts.usage.forMember(m_request.member->name).refused;
    m_parts.context.counters.at("requests_refused").add();
    m_parts.context.timeline.add(EventKind::RequestRefused, m_request.id, error.peer, error.message);
    m_request.exchange->respond(problemResponse(error, executed, seconds(1), m_request.id));
    finish();
}

auto ServiceRelay::finish() -> void
{
    m_finished = true;
    m_hedgeTimer.reset();
    for (const auto &attempt : m_openAttempts) {
        m_parts.context.client.cancel(attempt.call); // the slower attempt of a hedged request
        --m_upstreamStats.forUpstream(m_request.service->name, attempt.upstream).inFlight;
    }
    m_openAttempts.clear();
    for (const auto &held : m_heldAnswers) {
        m_parts.context.client.cancel(held.trial);
    }
    m_heldAnswers.clear();
    --m_parts.usage.forMember(m_request.member->name).inFlight;
    m_parts.onFinished(m_request.id);
}

auto ServiceRelay::onCallerDisconnected() -> void
{
    m_callerDisconnected = true;
    if (m_finished || !m_request.idempotent) {
        return; // a non-idempotent request continues, so that its answer can be recorded
    }
    m_parts.context.counters.at("callers_gone").add();
    m_parts.context.timeline.add(EventKind::CallerDisconnected, m_request.id, "");
    finish();
}

} // namespace currantstack
