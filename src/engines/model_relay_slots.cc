// Slot allocation of a model request: a slot at a decode engine first, then one at a prefill engine.
#include "currantstack/model_relay.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr double RepeatedPromptShare = 0.95; // of a prompt that is cached at the engine that prefilled it before

} // namespace

auto ModelRelay::slotRequest(Role role, const std::string &requestId) const -> SlotRequest
{
    const auto now = m_parts.context.clock.now();
    SlotRequest request;
    request.requestId = requestId;
    request.pool = poolOf(role);
    request.member = m_request.member->name;
    request.share = m_request.member->share;
    request.priority = m_answerStarted ? static_cast<int>(MaxPriority) : m_request.priority;
    request.excludedEngines = exclusionsFor(role);
    request.suspect = m_request.suspect;
    // A started answer or a retry continues after the deadline of the first token.
    request.deadline = m_answerStarted || m_failedAttempts > 0 ? std::max(m_request.deadline, now + AnswerRetryTime) : m_request.deadline;
    return request;
}

auto ModelRelay::requestDecodeSlot() -> void
{
    m_decode = Stage();
    m_decode.requestId = nextId("d");
    m_slotRequestedAt = m_parts.context.clock.now();
    if (!reservesSlots()) {
        return onDecodeSlot(SlotGrant{m_decode.requestId, "", "", TimePoint::max()});
    }
    auto request = slotRequest(Role::Decode, m_decode.requestId);
    // The slot must be granted early enough for the prefill and the KV transfer to end before the deadline.
    const auto remaining =
        fromMilliseconds(prefillMs() + estimate().decodeStartMs(estimate().estimateTokens(m_request.completion.prompt.size())));
    if (!m_answerStarted && m_failedAttempts == 0) {
        request.deadline -= remaining;
    }
    m_parts.slots.requestSlot(std::move(request), Role::Decode, 0, [weak = weak_from_this()](Result<SlotGrant> grant) {
        if (const auto self = weak.lock()) {
            self->onDecodeSlot(std::move(grant));
        }
    });
}

auto ModelRelay::chooseByBaseline(Role role) -> const Engine *
{
    std::vector<EngineLoad> loads;
    for (const auto &engine : m_request.config->engines) {
        if (engine.model == m_request.completion.model && engine.role == role && !engine.draining) {
            const auto load = m_parts.reportedLoads.find(engine.name);
            loads.push_back({engine.name, load == m_parts.reportedLoads.end() ? 0.0 : load->second});
        }
    }
    auto &choices = m_parts.context.counters.at(role == Role::Prefill ? "baseline_turns_prefill" : "baseline_turns_decode");
    choices.add();
    const auto chosen =
        chooseBaselineEngine(m_parts.context.settings.policy, loads, static_cast<std::size_t>(choices.value()), m_parts.context.random);
    return chosen ? m_request.config->findEngine(loads[*chosen].engine) : nullptr;
}

auto ModelRelay::onDecodeSlot(Result<SlotGrant> grant) -> void
{
    if (m_finished) {
        return;
    }
    if (!grant) {
        return onSlotRefused(grant.error(), [this]() { requestDecodeSlot(); });
    }
    const auto *engine = reservesSlots() ? m_parts.context.config->findEngine(grant->engine) : chooseByBaseline(Role::Decode);
    if (engine == nullptr) {
        return failRequest({ErrorCode::Unavailable, "choose", grant->engine, "no decode engine is configured for the model"});
    }
    m_decode.engine = engine->name;
    m_decode.address = engine->address;
    m_decode.reserved = reservesSlots();
    m_slotGrantedAt = m_parts.context.clock.now();
    addElapsed("decode_slot_wait_ms", m_slotRequestedAt);
    if (hasUsableKv()) {
        return sendDecode();
    }
    requestPrefillSlot();
}

auto ModelRelay::requestPrefillSlot() -> void
{
    m_prefill = Stage();
    m_prefill.requestId = nextId("p");
    m_slotRequestedAt = m_parts.context.clock.now();
    if (!reservesSlots()) {
        return onPrefillSlot(SlotGrant{m_prefill.requestId, "", "", TimePoint::max()});
    }
    auto request = slotRequest(Role::Prefill, m_prefill.requestId);
    request.tokens = estimate().estimateTokens(m_request.completion.prompt.size()) + m_delivered;
    request.preferred =
        m_lastPrefillEngine.empty() ? std::string(m_parts.prefixMap.find(m_request.completion.prompt)) : m_lastPrefillEngine;
    // The engine that prefilled this prompt before caches nearly all of it.
    const auto promptTokens = static_cast<double>(estimate().estimateTokens(m_request.completion.prompt.size()));
    request.cachedTokens =
        static_cast<std::int64_t>(promptTokens * (m_lastPrefillEngine.empty() ? estimate().cacheHitShare() : RepeatedPromptShare));
    m_preferredEngine = request.preferred;
    request.sticky = !m_lastPrefillEngine.empty();
    if (!m_answerStarted && m_failedAttempts == 0) {
        request.deadline -= fromMilliseconds(prefillMs() + estimate().decodeStartMs(request.tokens));
    }
    m_parts.slots.requestSlot(std::move(request), Role::Prefill, prefillMs(), [weak = weak_from_this()](Result<SlotGrant> grant) {
        if (const auto self = weak.lock()) {
            self->onPrefillSlot(std::move(grant));
        }
    });
}

auto ModelRelay::onPrefillSlot(Result<SlotGrant> grant) -> void
{
    if (m_finished) {
        return;
    }
    if (!grant) {
        return onSlotRefused(grant.error(), [this]() { requestPrefillSlot(); });
    }
    const auto *engine = reservesSlots() ? m_parts.context.config->findEngine(grant->engine) : chooseByBaseline(Role::Prefill);
    if (engine == nullptr) {
        return failRequest({ErrorCode::Unavailable, "choose", grant->engine, "no prefill engine is configured for the model"});
    }
    m_prefill.engine = engine->name;
    m_prefill.address = engine->address;
    addElapsed("prefill_turn_wait_ms", m_slotRequestedAt);
    m_prefill.reserved = reservesSlots();
    sendPrefill();
}

} // namespace currantstack
