#include "currantstack/model_relay.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Duration PrefillAllowance = milliseconds(400); // over thrice the expected time
constexpr Duration StartAllowance = milliseconds(180); // for a transfer and the first token, over the expected time
constexpr double StartFactor = 3; // of the expected time of both
constexpr std::int64_t MinFreshTokens = 200; // of a prefill that tells the cost of a token
constexpr std::size_t MaxPending = 1U << 20; // bytes that a slow caller may leave unread

} // namespace

ModelRelay::ModelRelay(RelayParts &parts, CallerRequest request)
    : m_parts(parts)
    , m_request(std::move(request))
{ }

ModelRelay::~ModelRelay() = default;

auto ModelRelay::estimate() -> ModelEstimate &
{
    return m_parts.estimates[m_request.completion.model];
}

auto ModelRelay::prefillMs() -> double
{
    return estimate().prefillMs(estimate().tokensOf(m_request.completion.prompt.size()) + m_delivered);
}

auto ModelRelay::reservesSlots() const -> bool
{
    return m_parts.context.settings.policy == PolicyKind::Ledger;
}

auto ModelRelay::nextId(std::string_view stage) -> std::string
{
    return fmt::format("{}.{}{}", m_request.id, stage, m_nextId++);
}

auto ModelRelay::poolOf(Role role) const -> std::string
{
    return m_request.config->poolOf(m_request.completion.model, role);
}

auto ModelRelay::start() -> void
{
    beginRelay(m_parts, m_request, [weak = weak_from_this()]() {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    askDecode();
}

auto ModelRelay::sendPrefill() -> void
{
    CompletionRequest body = m_request.completion;
    body.requestId = m_prefill.requestId;
    body.stream = false;
    body.priority = m_request.priority;
    body.continueFrom = m_delivered;
    body.transfer = KvTransfer();
    body.transfer.doRemoteDecode = true;
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(m_prefill.address, "/v1/completions");
    call.headers = {{"Content-Type", "application/json"}};
    call.body = dumpJson(toJson(body));
    call.connectTimeout = m_request.config->timeouts.connect;
    call.idleTimeout = std::max<Duration>(m_request.config->timeouts.progress, fromMilliseconds(3 * prefillMs()) + PrefillAllowance);
    call.freshConnection = m_tries > 0;
    call.step = "prefill";
    call.peer = m_prefill.engine;
    HttpHandlers handlers;
    handlers.onDone = [weak = weak_from_this()](const Result<HttpResponse> &response) {
        if (const auto self = weak.lock()) {
            self->onPrefilled(response);
        }
    };
    m_firstRun = true;
    m_prefill.sent = true;
    m_prefill.begun = m_parts.context.clock.now();
    m_parts.context.timeline.add(EventKind::PrefillStarted, m_prefill.requestId, m_prefill.engine);
    m_prefill.call = m_parts.context.client.start(std::move(call), std::move(handlers));
}

auto ModelRelay::onPrefilled(const Result<HttpResponse> &response) -> void
{
    m_prefill.call = 0;
    if (m_finished) {
        return;
    }
    if (!response) {
        return retryPrefill(failureOf(response.error()), response.error().message);
    }
    const auto document = parseJson(response->body, "prefill");
    const bool whole = response->status == 200 && document && document->is_object() && document->contains("kv_transfer_params");
    const auto transfer = whole
        ? kvTransferFromJson((*document)["kv_transfer_params"])
        : Result<KvTransfer>(fail(ErrorCode::Unavailable, "prefill", m_prefill.engine, fmt::format("status {}", response->status)));
    if (!transfer) {
        return retryPrefill(Failure::Refused, transfer.error().message);
    }
    const auto now = m_parts.context.clock.now();
    m_transfer = *transfer;
    m_kvExpires = now + milliseconds(m_transfer.expiresInMs);
    m_kvTaken = false;
    const auto length = now - m_prefill.begun;
    addTime("prefill_ms", m_prefill.begun);
    const auto fresh = m_transfer.promptTokens - m_transfer.cachedTokens + m_delivered;
    const double expected = estimate().prefillMs(fresh);
    estimate().observePrefill(fresh, m_transfer.promptTokens, m_request.completion.prompt.size(), length);
    if (m_lastPrefill.empty() && m_preferred == m_prefill.engine && m_transfer.promptTokens > 0) {
        estimate().observeHit(static_cast<double>(m_transfer.cachedTokens) / static_cast<double>(m_transfer.promptTokens));
    }
    m_lastPrefill = m_prefill.engine;
    m_parts.prefixes.learn(m_request.completion.prompt, m_prefill.engine);
    m_parts.usage.of(m_request.member->name).promptTokens += m_tries == 0 ? m_transfer.promptTokens : 0;
    m_parts.context.counters.at("prefill_tokens").add(fresh);
    if (!m_repeatCause.empty()) {
        m_parts.context.counters.at("prefill_tokens_repeated_" + m_repeatCause).add(fresh);
    }
    m_parts.context.timeline.add(EventKind::PrefillDone, m_prefill.requestId, m_prefill.engine);
    SlotObservation seen;
    seen.ratio = std::max(1.0, toMilliseconds(length) / std::max(20.0, expected));
    if (fresh >= MinFreshTokens) {
        seen.microsPerToken = 1000 * toMilliseconds(length) / static_cast<double>(fresh);
    }
    if (m_prefill.reserved) {
        m_parts.slots.release(m_prefill.engine, m_prefill.requestId, seen);
        m_prefill.reserved = false;
    }
    sendDecode();
}

auto ModelRelay::streamHandlers() -> HttpHandlers
{
    HttpHandlers handlers;
    handlers.onHead = [weak = weak_from_this()](int status, const Headers &) {
        if (const auto self = weak.lock()) {
            self->onDecodeHead(status);
        }
    };
    handlers.onData = [weak = weak_from_this()](std::string_view data) {
        if (const auto self = weak.lock()) {
            self->onDecodeData(data);
        }
    };
    handlers.onDone = [weak = weak_from_this()](const Result<HttpResponse> &response) {
        if (const auto self = weak.lock()) {
            self->onDecodeEnd(response);
        }
    };
    return handlers;
}

auto ModelRelay::sendDecode() -> void
{
    CompletionRequest body;
    body.requestId = m_decode.requestId;
    body.model = m_request.completion.model;
    body.prompt = m_request.completion.prompt;
    body.maxTokens = m_request.completion.maxTokens;
    body.stream = true;
    body.priority = m_request.priority;
    body.continueFrom = m_delivered;
    body.transfer = m_transfer;
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(m_decode.address, "/v1/completions");
    call.headers = {{"Content-Type", "application/json"}};
    call.body = dumpJson(toJson(body));
    call.connectTimeout = m_request.config->timeouts.connect;
    call.idleTimeout = m_request.config->timeouts.progress;
    call.firstByteTimeout = StartAllowance + fromMilliseconds(StartFactor * estimate().decodeStartMs(m_transfer.promptTokens));
    call.freshConnection = m_tries > 0;
    call.step = "decode";
    call.peer = m_decode.engine;
    m_parser = EventStreamParser();
    m_errorStatus = false;
    m_resumed = false;
    m_streamBegan = false;
    m_decode.sent = true;
    m_decode.begun = m_parts.context.clock.now();
    m_parts.context.timeline.add(EventKind::DecodeStarted, m_decode.requestId, m_decode.engine);
    m_decode.call = m_parts.context.client.start(std::move(call), streamHandlers());
}

auto ModelRelay::onDecodeHead(int status) -> void
{
    m_errorStatus = status != 200;
    if (!m_errorStatus) {
        m_kvTaken = true;
        m_streamBegan = true;
    }
}

auto ModelRelay::onDecodeData(std::string_view data) -> void
{
    if (m_finished || m_errorStatus) {
        return;
    }
    const auto self = shared_from_this();
    m_parser.feed(data, [this](std::string_view event) { onDecodeEvent(event); });
}

auto ModelRelay::onDecodeEvent(std::string_view data) -> void
{
    if (m_finished || data == "[DONE]") {
        return;
    }
    const auto event = Json::parse(data, nullptr, false);
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() || event["choices"].empty()) {
        return;
    }
    const auto &choice = event["choices"][0];
    if (!choice.is_object() || !choice.contains("text") || !choice["text"].is_string()) {
        return;
    }
    const auto finish = choice.find("finish_reason");
    const bool last = finish != choice.end() && finish->is_string();
    relayToken(choice["text"].get_ref<const std::string &>(),
               last ? std::string_view(finish->get_ref<const std::string &>()) : std::string_view());
}

auto ModelRelay::addTime(std::string_view counter, TimePoint since) -> void
{
    const auto passed = m_parts.context.clock.now() - since;
    m_parts.context.counters.at(counter).add(std::chrono::duration_cast<milliseconds>(passed).count());
}

auto ModelRelay::beginAnswer() -> void
{
    m_answering = true;
    if (m_request.completion.stream) {
        m_request.exchange->beginStream(
            200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", m_request.id}});
    }
}

auto ModelRelay::relayToken(std::string_view text, std::string_view finishReason) -> void
{
    const auto now = m_parts.context.clock.now();
    if (!m_answering) {
        estimate().observeDecodeStart(m_transfer.promptTokens, now - m_decode.begun);
        addTime("decode_start_ms", m_decode.begun);
        m_parts.context.timeline.add(EventKind::FirstToken, m_request.id, m_decode.engine);
        beginAnswer();
    }
    noteGap(now);
    m_lastToken = now;
    ++m_delivered;
    m_failingSince = TimePoint();
    if (m_request.completion.stream) {
        const Json piece =
            m_request.kind == CallKind::Chat ? Json{{"delta", {{"role", "assistant"}, {"content", text}}}} : Json{{"text", text}};
        auto choice = piece;
        choice["index"] = 0;
        choice["finish_reason"] = finishReason.empty() ? Json() : Json(finishReason);
        const auto object = m_request.kind == CallKind::Chat ? "chat.completion.chunk" : "text_completion";
        m_request.exchange->write(formatEvent(
            dumpJson({{"id", m_request.id}, {"object", object}, {"model", m_request.completion.model}, {"choices", {std::move(choice)}}})));
        if (m_request.exchange->pendingBytes() > MaxPending) {
            m_parts.context.counters.at("slow_callers_cut").add();
            m_request.exchange->abort();
            return callerGone();
        }
    } else {
        m_collected.append(text);
    }
    if (!finishReason.empty()) {
        return complete(finishReason);
    }
    if (m_pace.slowGapsInARow > 0) {
        // The rest of the data at hand is relayed first.
        m_parts.context.loop.defer([weak = weak_from_this(), id = m_decode.requestId]() {
            const auto self = weak.lock();
            if (self && !self->m_finished && self->m_decode.requestId == id) {
                self->considerMove();
            }
        });
    }
}

auto ModelRelay::complete(std::string_view finishReason) -> void
{
    const auto self = shared_from_this();
    m_finished = true;
    if (m_request.completion.stream) {
        m_request.exchange->write(formatEvent("[DONE]"));
        m_request.exchange->end();
    } else {
        Json choice = {{"index", 0}, {"finish_reason", finishReason}};
        if (m_request.kind == CallKind::Chat) {
            choice["message"] = {{"role", "assistant"}, {"content", m_collected}};
        } else {
            choice["text"] = m_collected;
        }
        const Json body = {{"id", m_request.id},
                           {"object", m_request.kind == CallKind::Chat ? "chat.completion" : "text_completion"},
                           {"model", m_request.completion.model},
                           {"choices", {std::move(choice)}},
                           {"usage",
                            {{"prompt_tokens", m_transfer.promptTokens},
                             {"completion_tokens", m_delivered},
                             {"total_tokens", m_transfer.promptTokens + m_delivered}}}};
        auto response = jsonResponse(200, dumpJson(body));
        response.headers.push_back({"X-Request-Id", m_request.id});
        m_request.exchange->respond(std::move(response));
    }
    m_parts.retries.onSuccess();
    m_parts.moves.onSuccess();
    m_parts.context.counters.at("requests_completed").add();
    m_parts.context.counters.at("tokens_relayed").add(m_delivered);
    m_parts.context.timeline.add(EventKind::RequestDone, m_request.id, m_decode.engine);
    auto &usage = m_parts.usage.of(m_request.member->name);
    usage.outputTokens += m_delivered;
    cleanUp("done");
}

auto ModelRelay::endStage(Stage &stage, bool cancel, std::string_view cause, const SlotObservation &seen) -> void
{
    if (stage.call != 0) {
        m_parts.context.client.cancel(stage.call);
    }
    if (stage.engine.empty()) {
        m_parts.slots.abandon(stage.requestId); // the slot was asked for but not granted
    }
    const bool reserved = std::exchange(stage.reserved, false);
    const auto release = [&parts = m_parts, engine = stage.engine, id = stage.requestId, seen, reserved]() {
        if (reserved) {
            parts.slots.release(engine, id, seen);
        }
    };
    if (cancel && stage.sent) {
        // The slot is free again once the engine has confirmed that it holds nothing of the request.
        m_parts.cancels.cancel(stage.engine, stage.address, stage.requestId, cause, release);
        if (seen.failed) {
            m_parts.slots.observe(stage.engine, seen);
        }
    } else {
        release();
    }
    stage = Stage();
}

auto ModelRelay::cleanUp(std::string_view cause) -> void
{
    auto &usage = m_parts.usage.of(m_request.member->name);
    --usage.inFlight;
    if (m_slotSince != TimePoint()) {
        usage.slotMilliseconds += std::chrono::duration_cast<milliseconds>(m_parts.context.clock.now() - m_slotSince).count();
    }
    const bool done = cause == "done";
    const bool unclaimed = !m_prefill.engine.empty() && m_prefill.sent && !m_kvTaken;
    endStage(m_prefill, unclaimed, cause, {});
    endStage(m_decode, !done, cause, {});
    m_parts.onFinished(m_request.id);
}

auto ModelRelay::refuse(const Error &error) -> void
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    m_finished = true;
    auto &context = m_parts.context;
    ++m_parts.usage.of(m_request.member->name).refused;
    context.counters.at(m_answering ? "answers_broken" : "requests_refused").add();
    context.timeline.add(EventKind::RequestRefused, m_request.id, error.peer, error.message);
    if (m_answering && m_request.completion.stream) {
        m_request.exchange->abort();
    } else {
        auto shown = error;
        if (m_parts.quarantine.isQuarantined(m_request.fingerprint, context.clock.now())) {
            shown = {ErrorCode::Quarantined, "quarantine", error.peer, "the request stopped the upstreams that ran it"};
        }
        const auto wait = m_parts.slots.bestWait(poolOf(Role::Decode), Role::Decode, 0);
        m_request.exchange->respond(refusal(shown, m_firstRun ? Executed::Unknown : Executed::No, retryAfterOf(wait), m_request.id));
    }
    cleanUp("refused");
}

auto ModelRelay::callerGone() -> void
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    m_finished = true;
    m_parts.context.counters.at("callers_gone").add();
    m_parts.context.timeline.add(EventKind::CallerDisconnected, m_request.id, "");
    cleanUp("the caller is gone");
}

} // namespace currantstack
