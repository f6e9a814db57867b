// How a relayed request gets its slots: at a decode engine first, then at a prefill engine.
#include "currantstack/model_relay.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr double WholePromptShare = 0.95; // of a prompt, in the cache of the engine that has prefilled it

} // namespace

auto ModelRelay::slotRequest(Role role, const std::string &requestId) const -> SlotRequest
{
    const auto now = m_parts.context.clock.now();
    SlotRequest request;
    request.requestId = requestId;
    request.pool = poolOf(role);
    request.member = m_request.member->name;
    request.share = m_request.member->share;
    request.priority = m_answering ? static_cast<int>(MaxPriority) : m_request.priority;
    request.avoid = avoidable(role);
    request.suspect = m_request.suspect;
    // An answer that has begun, or a retry, goes on even when its deadline has passed.
    request.deadline = m_answering || m_tries > 0 ? std::max(m_request.deadline, now + AnswerPatience) : m_request.deadline;
    return request;
}

auto ModelRelay::askDecode() -> void
{
    m_decode = Stage();
    m_decode.requestId = nextId("d");
    m_askedAt = m_parts.context.clock.now();
    if (!reservesSlots()) {
        return onDecodeSlot(SlotGrant{m_decode.requestId, "", "", TimePoint::max()});
    }
    auto request = slotRequest(Role::Decode, m_decode.requestId);
    // The slot is of use only if the prefill and the transfer still fit before the deadline.
    const auto work =
        fromMilliseconds(prefillMs() + estimate().decodeStartMs(estimate().estimateTokens(m_request.completion.prompt.size())));
    if (!m_answering && m_tries == 0) {
        request.deadline -= work;
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
        if (engine.model == m_request.completion.model && engine.role == role && !engine.leaving) {
            const auto load = m_parts.reportedLoads.find(engine.name);
            loads.push_back({engine.name, load == m_parts.reportedLoads.end() ? 0.0 : load->second});
        }
    }
    auto &turn = m_parts.context.counters.at(role == Role::Prefill ? "baseline_turns_prefill" : "baseline_turns_decode");
    turn.add();
    const auto chosen =
        chooseEngine(m_parts.context.settings.policy, loads, static_cast<std::size_t>(turn.value()), m_parts.context.random);
    return chosen ? m_request.config->findEngine(loads[*chosen].engine) : nullptr;
}

auto ModelRelay::onDecodeSlot(Result<SlotGrant> grant) -> void
{
    if (m_finished) {
        return;
    }
    if (!grant) {
        return onNoSlot(grant.error(), [this]() { askDecode(); });
    }
    const auto *engine = reservesSlots() ? m_parts.context.config->findEngine(grant->engine) : chooseByBaseline(Role::Decode);
    if (engine == nullptr) {
        return refuse({ErrorCode::Unavailable, "choose", grant->engine, "no decode engine is known for the model"});
    }
    m_decode.engine = engine->name;
    m_decode.address = engine->address;
    m_decode.reserved = reservesSlots();
    m_slotSince = m_parts.context.clock.now();
    addTime("decode_slot_wait_ms", m_askedAt);
    if (kvIsAlive()) {
        return sendDecode();
    }
    askPrefill();
}

auto ModelRelay::askPrefill() -> void
{
    m_prefill = Stage();
    m_prefill.requestId = nextId("p");
    m_askedAt = m_parts.context.clock.now();
    if (!reservesSlots()) {
        return onPrefillSlot(SlotGrant{m_prefill.requestId, "", "", TimePoint::max()});
    }
    auto request = slotRequest(Role::Prefill, m_prefill.requestId);
    request.tokens = estimate().estimateTokens(m_request.completion.prompt.size()) + m_delivered;
    request.preferred = m_lastPrefill.empty() ? std::string(m_parts.prefixes.find(m_request.completion.prompt)) : m_lastPrefill;
    // The engine that has prefilled this very prompt holds all of it.
    const auto prompt = static_cast<double>(estimate().estimateTokens(m_request.completion.prompt.size()));
    request.cachedTokens = static_cast<std::int64_t>(prompt * (m_lastPrefill.empty() ? estimate().hitShare() : WholePromptShare));
    m_preferred = request.preferred;
    request.sticky = !m_lastPrefill.empty();
    if (!m_answering && m_tries == 0) {
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
        return onNoSlot(grant.error(), [this]() { askPrefill(); });
    }
    const auto *engine = reservesSlots() ? m_parts.context.config->findEngine(grant->engine) : chooseByBaseline(Role::Prefill);
    if (engine == nullptr) {
        return refuse({ErrorCode::Unavailable, "choose", grant->engine, "no prefill engine is known for the model"});
    }
    m_prefill.engine = engine->name;
    m_prefill.address = engine->address;
    addTime("prefill_turn_wait_ms", m_askedAt);
    m_prefill.reserved = reservesSlots();
    sendPrefill();
}

} // namespace currantstack
