#include "currantstack/service_relay.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace currantstack
{

namespace
{

constexpr int MaxTries = 3;
constexpr Duration BackoffBase = milliseconds(5);
constexpr Duration BackoffLongest = milliseconds(100);
constexpr double HedgeFactor = 3; // of the usual latency
constexpr Duration MinHedgeDelay = milliseconds(25);
constexpr Duration MinBudget = milliseconds(1);
constexpr double OtherRegionLoad = 1000; // added to the load of an upstream elsewhere

auto isEndToEnd(std::string_view name) -> bool
{
    constexpr std::string_view Passed[] = {"content-type", "accept", "accept-language", "idempotency-key", "if-match", "if-none-match"};
    return std::any_of(std::begin(Passed), std::end(Passed), [name](std::string_view entry) {
        return !findHeader({{std::string(entry), "1"}}, name).empty();
    });
}

} // namespace

auto chooseUpstream(const Service &service, ServiceBoard &board, const HealthTracker &health, const std::vector<std::string> &avoid,
                    std::string_view ownPlace, TimePoint now, Random &random) -> const ServiceUpstream *
{
    std::vector<const ServiceUpstream *> able;
    std::vector<const ServiceUpstream *> lastResort;
    for (const auto &upstream : service.upstreams) {
        const bool avoided = std::find(avoid.begin(), avoid.end(), upstream.name) != avoid.end();
        if (upstream.leaving || avoided || board.of(service.name, upstream.name).inFlight >= service.maxInFlight) {
            continue;
        }
        const bool healthy = health.weight(service.name + "/" + upstream.name, now) >= 0.3;
        (healthy ? able : lastResort).push_back(&upstream);
    }
    if (able.empty()) {
        able = lastResort;
    }
    if (able.empty()) {
        return nullptr;
    }
    const auto load = [&](const ServiceUpstream *upstream) {
        const auto &entry = board.of(service.name, upstream->name);
        const double work = (entry.inFlight + 1) * entry.latencyMs.value() / health.weight(service.name + "/" + upstream->name, now);
        return work + (upstream->place == ownPlace ? 0 : OtherRegionLoad / 1000);
    };
    std::uniform_int_distribution<std::size_t> any(0, able.size() - 1);
    const auto *first = able[any(random)];
    const auto *second = able[any(random)];
    return load(first) <= load(second) ? first : second;
}

ServiceRelay::ServiceRelay(RelayParts &parts, ServiceBoard &board, CallerRequest request)
    : m_parts(parts)
    , m_board(board)
    , m_request(std::move(request))
{ }

auto ServiceRelay::hasKey() const -> bool
{
    return !m_request.idempotent && !m_request.idempotencyKey.empty();
}

auto ServiceRelay::scopedKey() const -> std::string
{
    return fmt::format("{}/{}/{}", m_request.member->name, m_request.service->name, m_request.idempotencyKey);
}

auto ServiceRelay::healthName(std::string_view upstream) const -> std::string
{
    return fmt::format("{}/{}", m_request.service->name, upstream);
}

auto ServiceRelay::start() -> void
{
    beginRelay(m_parts, m_request, [weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    if (hasKey()) {
        return enterIntent();
    }
    dispatch(false);
}

auto ServiceRelay::enterIntent() -> void
{
    const auto intent = m_parts.journal.makeIntent(scopedKey(), fmt::format("{:016x}", m_request.fingerprint), m_request.id);
    m_parts.journal.begin(intent, [self = shared_from_this()](const Result<SliceJournal::Verdict> &verdict) { self->onIntent(verdict); });
}

auto ServiceRelay::onIntent(const Result<SliceJournal::Verdict> &verdict) -> void
{
    if (!verdict) {
        m_parts.journal.abandon(scopedKey(), m_request.id);
        return refuse({ErrorCode::Unavailable, "journal", verdict.error().peer,
                       "the intent could not be recorded, so the request was not sent: " + verdict.error().message},
                      Executed::No);
    }
    switch (verdict->verdict) {
    case IntentVerdict::Run:
        m_intended = true;
        m_parts.context.timeline.add(EventKind::IntentWritten, m_request.id, m_request.service->name);
        if (m_callerGone || m_parts.context.clock.now() >= m_request.deadline) {
            m_parts.journal.abandon(scopedKey(), m_request.id);
            m_intended = false;
            return refuse({ErrorCode::DeadlineExceeded, "journal", "", "the deadline passed before the request was sent"}, Executed::No);
        }
        return dispatch(false);
    case IntentVerdict::Replay:
        m_parts.context.timeline.add(EventKind::AnswerReplayed, m_request.id, m_request.service->name);
        m_parts.context.counters.at("answers_replayed").add();
        return answer({verdict->answer->status,
                       {{"Content-Type", verdict->answer->contentType}, {"Idempotent-Replayed", "true"}},
                       verdict->answer->body});
    case IntentVerdict::InProgress:
        return refuse({ErrorCode::Conflict, "journal", "", "a request with this key is under way; ask again for its answer"},
                      Executed::Unknown);
    case IntentVerdict::Unknown:
        return refuse({ErrorCode::OutcomeUnknown, "journal", "",
                       "a request with this key was sent, and its outcome is not known; it is not run again"},
                      Executed::Unknown);
    case IntentVerdict::Mismatch:
        return refuse({ErrorCode::BadInput, "journal", "", "the Idempotency-Key was used for a different request"}, Executed::No);
    }
}

auto ServiceRelay::dispatch(bool isHedge) -> void
{
    auto &context = m_parts.context;
    const auto now = context.clock.now();
    const auto left = m_request.deadline - now;
    const auto *upstream =
        chooseUpstream(*m_request.service, m_board, m_parts.slots.health(), m_avoid, context.settings.place, now, context.random);
    if (left < MinBudget || upstream == nullptr) {
        if (isHedge || !m_open.empty()) {
            return;
        }
        if (m_intended && !m_sent) {
            m_parts.journal.abandon(scopedKey(), m_request.id);
            m_intended = false;
        }
        const auto code = upstream == nullptr ? ErrorCode::Overloaded : ErrorCode::DeadlineExceeded;
        const auto reason = upstream == nullptr ? "no upstream of the service may take the request" : "the deadline passed";
        return refuse({code, "choose", m_request.service->name, reason}, m_sent ? Executed::Unknown : Executed::No);
    }
    const auto &http = m_request.exchange->request();
    HttpCall call;
    call.method = http.method;
    call.url = urlOf(upstream->address, m_request.servicePath + encodeQuery(http.query));
    for (const auto &header : http.headers) {
        if (isEndToEnd(header.name)) {
            call.headers.push_back(header);
        }
    }
    call.headers.push_back({"X-Request-Id", m_request.id});
    call.body = http.body;
    call.connectTimeout = m_request.config->timeouts.connect;
    call.totalTimeout = left;
    call.idleTimeout = m_request.idempotent ? m_request.config->timeouts.progress : Duration::zero();
    // A request that may not be repeated is not sent on an old connection, which may have gone silent.
    call.freshConnection = m_tries > 0 || !m_request.idempotent;
    call.step = "service";
    call.peer = upstream->name;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), name = upstream->name](const Result<HttpResponse> &response) {
        self->onAnswer(name, response);
    };
    ++m_tries;
    ++m_board.of(m_request.service->name, upstream->name).inFlight;
    m_avoid.push_back(upstream->name);
    if (isHedge) {
        context.counters.at("hedges").add();
        context.timeline.add(EventKind::Hedged, m_request.id, upstream->name, "the first try takes much longer than usual");
    }
    const auto name = upstream->name;
    m_open.push_back({name, 0, now});
    m_sent = true;
    m_open.back().call = context.client.start(std::move(call), std::move(handlers));
    if (m_request.idempotent && !isHedge) {
        armHedge();
    }
}

auto ServiceRelay::armHedge() -> void
{
    const auto usual = m_board.of(m_request.service->name, m_open.back().upstream).latencyMs.value();
    const auto delay = std::max<Duration>(MinHedgeDelay, fromMilliseconds(HedgeFactor * usual));
    m_hedgeTimer = m_parts.context.loop.timer([weak = weak_from_this()]() {
        const auto self = weak.lock();
        if (self && !self->m_finished && self->m_tries < MaxTries && self->m_parts.retries.take()) {
            self->m_parts.slots.health().observe(self->healthName(self->m_open.front().upstream), HealthTracker::SlowRatio,
                                                 self->m_parts.context.clock.now());
            self->dispatch(true);
        }
    });
    m_hedgeTimer->startOnce(delay);
}

auto ServiceRelay::endTry(const std::string &upstream) -> void
{
    auto &entry = m_board.of(m_request.service->name, upstream);
    --entry.inFlight;
    const auto found = std::find_if(m_open.begin(), m_open.end(), [&upstream](const Try &entry) { return entry.upstream == upstream; });
    if (found != m_open.end()) {
        entry.latencyMs.observe(toMilliseconds(m_parts.context.clock.now() - found->begun));
        m_open.erase(found);
    }
}

auto ServiceRelay::onAnswer(const std::string &upstream, const Result<HttpResponse> &response) -> void
{
    endTry(upstream);
    if (m_finished) {
        return;
    }
    if (!response) {
        return onFailure(upstream, response.error());
    }
    m_parts.retries.onSuccess();
    m_parts.context.counters.at("service_answers").add();
    const auto contentType = std::string(findHeader(response->headers, "Content-Type"));
    if (m_intended) {
        m_parts.journal.finish(scopedKey(), m_request.id, {response->status, contentType, response->body});
    }
    HttpResponse passed{response->status, {}, response->body};
    if (!contentType.empty()) {
        passed.headers.push_back({"Content-Type", contentType});
    }
    answer(std::move(passed));
}

auto ServiceRelay::onFailure(const std::string &upstream, const Error &error) -> void
{
    const auto now = m_parts.context.clock.now();
    m_parts.slots.health().observeFailure(healthName(upstream), now);
    m_parts.context.counters.at("service_failures").add();
    const bool nothingSent = error.code == ErrorCode::Unreachable;
    if (!m_open.empty()) {
        return; // a hedge is still under way
    }
    if (!m_request.idempotent && nothingSent) {
        m_sent = false;
    }
    const bool mayRepeat =
        (m_request.idempotent || nothingSent) && m_tries < MaxTries && now < m_request.deadline && m_parts.retries.take();
    if (mayRepeat) {
        m_parts.context.counters.at("retries").add();
        m_parts.context.timeline.add(EventKind::Retried, m_request.id, upstream, describe(error));
        const auto wait = backoff(m_tries, BackoffBase, BackoffLongest, m_parts.context.random);
        m_parts.context.loop.after(wait, [self = shared_from_this()]() {
            if (!self->m_finished) {
                self->dispatch(false);
            }
        });
        return;
    }
    if (m_intended && !m_sent) {
        m_parts.journal.abandon(scopedKey(), m_request.id);
    } else if (m_intended) {
        const auto unknown = refusal(
            {ErrorCode::OutcomeUnknown, "service", upstream, "the request was sent, and its outcome is not known; it is not run again"},
            Executed::Unknown, {}, m_request.id);
        m_parts.journal.finish(scopedKey(), m_request.id, {unknown.status, "application/problem+json", unknown.body});
    }
    auto shown = error;
    if (m_sent && !m_request.idempotent) {
        shown.code = ErrorCode::OutcomeUnknown;
    }
    refuse(shown, m_sent ? Executed::Unknown : Executed::No);
}

auto ServiceRelay::answer(HttpResponse response) -> void
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

auto ServiceRelay::refuse(const Error &error, Executed ran) -> void
{
    if (m_finished) {
        return;
    }
    ++m_parts.usage.of(m_request.member->name).refused;
    m_parts.context.counters.at("requests_refused").add();
    m_parts.context.timeline.add(EventKind::RequestRefused, m_request.id, error.peer, error.message);
    m_request.exchange->respond(refusal(error, ran, seconds(1), m_request.id));
    finish();
}

auto ServiceRelay::finish() -> void
{
    m_finished = true;
    m_hedgeTimer.reset();
    for (const auto &open : m_open) {
        m_parts.context.client.cancel(open.call); // the loser of a hedge
        --m_board.of(m_request.service->name, open.upstream).inFlight;
    }
    m_open.clear();
    --m_parts.usage.of(m_request.member->name).inFlight;
    m_parts.onFinished(m_request.id);
}

auto ServiceRelay::callerGone() -> void
{
    m_callerGone = true;
    if (m_finished || !m_request.idempotent) {
        return; // a run that may not be repeated goes on, so that its answer can be recorded
    }
    m_parts.context.counters.at("callers_gone").add();
    m_parts.context.timeline.add(EventKind::CallerDisconnected, m_request.id, "");
    finish();
}

} // namespace currantstack
