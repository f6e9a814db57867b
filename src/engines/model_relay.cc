#include "currantstack/model_relay.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Duration PrefillTimeoutMargin = milliseconds(400); // added to three times the expected duration of the prefill
constexpr Duration FirstTokenTimeoutMargin = milliseconds(180); // added to the scaled time of KV transfer and first token
constexpr double FirstTokenTimeoutFactor = 3; // of the expected time of KV transfer and first token
constexpr std::int64_t MinCostSampleTokens = 200; // shorter prefills are not used to estimate the cost per token
constexpr std::size_t MaxUnsentBytes = 1U << 20; // buffered for a slow caller before its connection is closed

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
    return estimate().prefillMs(estimate().estimateTokens(m_request.completion.prompt.size()) + m_delivered);
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
            self->onCallerDisconnected();
        }
    });
    requestDecodeSlot();
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
    call.idleTimeout = std::max<Duration>(m_request.config->timeouts.progress, fromMilliseconds(3 * prefillMs()) + PrefillTimeoutMargin);
    call.useOwnConnection();
    call.step = "prefill";
    call.peer = m_prefill.engine;
    HttpHandlers handlers;
    handlers.onDone = [weak = weak_from_this()](const Result<HttpResponse> &response) {
        if (const auto self = weak.lock()) {
            self->onPrefillDone(response);
        }
    };
    m_dispatched = true;
    m_prefill.sent = true;
    m_prefill.startedAt = m_parts.context.clock.now();
    m_parts.context.timeline.add(EventKind::PrefillStarted, m_prefill.requestId, m_prefill.engine);
    m_prefill.call = m_parts.context.client.start(std::move(call), std::move(handlers));
}

auto ModelRelay::onPrefillDone(const Result<HttpResponse> &response) -> void
{
    m_prefill.call = 0;
    if (m_finished) {
        return;
    }
    if (!response) {
        return retryPrefill(failureOf(response.error()), response.error().message);
    }
    const auto document = parseJson(response->body, "prefill");
    const bool isValid = response->status == 200 && document && document->is_object() && document->contains("kv_transfer_params");
    const auto transfer = isValid
        ? kvTransferFromJson((*document)["kv_transfer_params"])
        : Result<KvTransfer>(fail(ErrorCode::Unavailable, "prefill", m_prefill.engine, fmt::format("status {}", response->status)));
    if (!transfer) {
        return retryPrefill(Failure::Refused, transfer.error().message);
    }
    const auto now = m_parts.context.clock.now();
    m_transfer = *transfer;
    m_kvExpiresAt = now + milliseconds(m_transfer.expiresInMs);
    m_kvConsumed = false;
    const auto duration = now - m_prefill.startedAt;
    addElapsed("prefill_ms", m_prefill.startedAt);
    const auto computed = m_transfer.promptTokens - m_transfer.cachedTokens + m_delivered;
    const double expected = estimate().prefillMs(computed);
    estimate().observePrefill(computed, m_transfer.promptTokens, m_request.completion.prompt.size(), duration);
    if (m_lastPrefillEngine.empty() && m_preferredEngine == m_prefill.engine && m_transfer.promptTokens > 0) {
        estimate().observeCacheHit(static_cast<double>(m_transfer.cachedTokens) / static_cast<double>(m_transfer.promptTokens));
    }
    m_lastPrefillEngine = m_prefill.engine;
    m_parts.prefixMap.insert(m_request.completion.prompt, m_prefill.engine);
    m_parts.usage.forMember(m_request.member->name).promptTokens += m_failedAttempts == 0 ? m_transfer.promptTokens : 0;
    m_parts.context.counters.at("prefill_tokens").add(computed);
    if (!m_reprefillCause.empty()) {
        m_parts.context.counters.at("prefill_tokens_repeated_" + m_reprefillCause).add(computed);
    }
    m_parts.context.timeline.add(EventKind::PrefillDone, m_prefill.requestId, m_prefill.engine);
    SlotObservation observation;
    observation.ratio = std::max(1.0, toMilliseconds(duration) / std::max(20.0, expected));
    if (computed >= MinCostSampleTokens) {
        observation.microsPerToken = 1000 * toMilliseconds(duration) / static_cast<double>(computed);
    }
    if (m_prefill.reserved) {
        m_parts.slots.release(m_prefill.engine, m_prefill.requestId, observation);
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
    call.firstByteTimeout =
        FirstTokenTimeoutMargin + fromMilliseconds(FirstTokenTimeoutFactor * estimate().decodeStartMs(m_transfer.promptTokens));
    call.useOwnConnection();
    call.step = "decode";
    call.peer = m_decode.engine;
    m_parser = EventStreamParser();
    m_errorStatus = false;
    m_resumed = false;
    m_streamOpened = false;
    m_decode.sent = true;
    m_decode.startedAt = m_parts.context.clock.now();
    m_parts.context.timeline.add(EventKind::DecodeStarted, m_decode.requestId, m_decode.engine);
    m_decode.call = m_parts.context.client.start(std::move(call), streamHandlers());
}

auto ModelRelay::onDecodeHead(int status) -> void
{
    m_errorStatus = status != 200;
    if (!m_errorStatus) {
        m_kvConsumed = true;
        m_streamOpened = true;
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
    const bool isLast = finish != choice.end() && finish->is_string();
    relayToken(choice["text"].get_ref<const std::string &>(),
               isLast ? std::string_view(finish->get_ref<const std::string &>()) : std::string_view());
}

auto ModelRelay::addElapsed(std::string_view counter, TimePoint since) -> void
{
    const auto elapsed = m_parts.context.clock.now() - since;
    m_parts.context.counters.at(counter).add(std::chrono::duration_cast<milliseconds>(elapsed).count());
}

auto ModelRelay::startAnswer() -> void
{
    m_answerStarted = true;
    if (m_request.completion.stream) {
        m_request.exchange->beginStream(
            200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", m_request.id}});
    }
}

auto ModelRelay::relayToken(std::string_view text, std::string_view finishReason) -> void
{
    const auto now = m_parts.context.clock.now();
    if (!m_answerStarted) {
        estimate().observeDecodeStart(m_transfer.promptTokens, now - m_decode.startedAt);
        addElapsed("decode_start_ms", m_decode.startedAt);
        m_parts.context.timeline.add(EventKind::FirstToken, m_request.id, m_decode.engine);
        startAnswer();
    }
    recordTokenGap(now);
    m_lastTokenAt = now;
    ++m_delivered;
    m_failingSince = TimePoint();
    if (m_request.completion.stream) {
        const Json content =
            m_request.kind == RequestKind::Chat ? Json{{"delta", {{"role", "assistant"}, {"content", text}}}} : Json{{"text", text}};
        auto choice = content;
        choice["index"] = 0;
        choice["finish_reason"] = finishReason.empty() ? Json() : Json(finishReason);
        const auto object = m_request.kind == RequestKind::Chat ? "chat.completion.chunk" : "text_completion";
        m_request.exchange->write(formatEvent(
            dumpJson({{"id", m_request.id}, {"object", object}, {"model", m_request.completion.model}, {"choices", {std::move(choice)}}})));
        if (m_request.exchange->pendingBytes() > MaxUnsentBytes) {
            m_parts.context.counters.at("slow_callers_cut").add();
            m_request.exchange->abort();
            return onCallerDisconnected();
        }
    } else {
        m_collectedText.append(text);
    }
    if (!finishReason.empty()) {
        return complete(finishReason);
    }
    if (m_progress.consecutiveSlowGaps > 0) {
        // Deferred, so that tokens already received are relayed before the stream moves.
        m_parts.context.loop.defer([weak = weak_from_this(), id = m_decode.requestId]() {
            const auto self = weak.lock();
            if (self && !self->m_finished && self->m_decode.requestId == id) {
                self->moveIfSlow();
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
        if (m_request.kind == RequestKind::Chat) {
            choice["message"] = {{"role", "assistant"}, {"content", m_collectedText}};
        } else {
            choice["text"] = m_collectedText;
        }
        const Json body = {{"id", m_request.id},
                           {"object", m_request.kind == RequestKind::Chat ? "chat.completion" : "text_completion"},
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
    m_parts.retryBudget.onSuccess();
    m_parts.moveBudget.onSuccess();
    m_parts.context.counters.at("requests_completed").add();
    m_parts.context.counters.at("tokens_relayed").add(m_delivered);
    m_parts.context.timeline.add(EventKind::RequestDone, m_request.id, m_decode.engine);
    auto &usage = m_parts.usage.forMember(m_request.member->name);
    usage.outputTokens += m_delivered;
    cleanUp("done");
}

auto ModelRelay::endStage(Stage &stage, bool cancel, std::string_view cause, const SlotObservation &observation) -> void
{
    if (stage.call != 0) {
        m_parts.context.client.cancel(stage.call);
    }
    if (stage.engine.empty()) {
        m_parts.slots.abandon(stage.requestId); // the slot was requested but not granted
    }
    const bool reserved = std::exchange(stage.reserved, false);
    const auto release = [&parts = m_parts, engine = stage.engine, id = stage.requestId, observation, reserved]() {
        if (reserved) {
            parts.slots.release(engine, id, observation);
        }
    };
    if (cancel && stage.sent) {
        // The slot stays allocated until the engine confirms that it holds no memory for the request.
        m_parts.canceller.cancel(stage.engine, stage.address, stage.requestId, cause, release);
        if (observation.failed) {
            m_parts.slots.observe(stage.engine, observation);
        }
    } else {
        release();
    }
    stage = Stage();
}

auto ModelRelay::cleanUp(std::string_view cause) -> void
{
    auto &usage = m_parts.usage.forMember(m_request.member->name);
    --usage.inFlight;
    if (m_slotGrantedAt != TimePoint()) {
        usage.slotMilliseconds += std::chrono::duration_cast<milliseconds>(m_parts.context.clock.now() - m_slotGrantedAt).count();
    }
    const bool done = cause == "done";
    const bool kvUnused = !m_prefill.engine.empty() && m_prefill.sent && !m_kvConsumed;
    endStage(m_prefill, kvUnused, cause, {});
    endStage(m_decode, !done, cause, {});
    m_parts.onFinished(m_request.id);
}

auto ModelRelay::failRequest(const Error &error) -> void
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    m_finished = true;
    auto &context = m_parts.context;
    ++m_parts.usage.forMember(m_request.member->name).refused;
    context.counters.at(m_answerStarted ? "answers_broken" : "requests_refused").add();
    context.timeline.add(EventKind::RequestRefused, m_request.id, error.peer, error.message);
    if (m_answerStarted && m_request.completion.stream) {
        m_request.exchange->abort();
    } else {
        auto reported = error;
        if (m_parts.quarantine.find({&m_request.fingerprint, 1}, context.clock.now())) {
            reported = {ErrorCode::Quarantined, "quarantine", error.peer, "the request crashed the upstreams that ran it"};
        }
        const auto wait = m_parts.slots.shortestWait(poolOf(Role::Decode), Role::Decode, 0);
        m_request.exchange->respond(
            problemResponse(reported, m_dispatched ? Executed::Unknown : Executed::No, retryAfterOf(wait), m_request.id));
    }
    cleanUp("refused");
}

auto ModelRelay::onCallerDisconnected() -> void
{
    if (m_finished) {
        return;
    }
    const auto self = shared_from_this();
    m_finished = true;
    m_parts.context.counters.at("callers_gone").add();
    m_parts.context.timeline.add(EventKind::CallerDisconnected, m_request.id, "");
    cleanUp("the caller disconnected");
}

} // namespace currantstack
