// Where a stream's prompt is read and its events are made.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A request is refused when its first event is expected later than this part of the goal: what waits behind it would be late too.
constexpr double AdmittedGoalShare = 1.0;

} // namespace

auto StreamRequest::views(EngineRole role) const -> std::vector<EngineView>
{
    const auto now = m_context.clock.now();
    std::vector<EngineView> result;
    for (const auto *upstream : m_context.directory.usable(m_request.service)) {
        if (upstream->role == role && !upstream->busyWithOrder) {
            result.push_back({upstream, m_context.loads.total(upstream->id, now), m_context.health.weight(upstream->id, now),
                              m_context.settings.places.between(m_context.settings.place, upstream->place)});
        }
    }
    return result;
}

auto StreamRequest::plan(std::string_view avoid) const -> std::optional<StreamPlan>
{
    const auto *service = m_request.table->service(m_request.service);
    if (service == nullptr || !service->engine) {
        return std::nullopt;
    }
    const auto prefill = views(EngineRole::Prefill);
    const auto decode = views(EngineRole::Decode);
    const PlacementInputs inputs{
        prefill, decode, m_request.facts.shape, *service->engine, m_context.speedsOf(m_request.service), m_context.settings.places};
    return avoid.empty() ? planStream(inputs, m_context.random) : planResume(inputs, avoid, m_context.random);
}

auto StreamRequest::mayBeInTime(const StreamPlan &plan) const -> bool
{
    return toMilliseconds(plan.firstToken) <= AdmittedGoalShare * toMilliseconds(m_request.route->latencyGoal);
}

auto StreamRequest::book(Booking &booking, const Upstream &engine, const WorkUnderWay &work) -> void
{
    release(booking);
    booking = {engine.id, work};
    m_context.loads.add(booking.engine, booking.work);
}

auto StreamRequest::release(Booking &booking) -> void
{
    if (!booking.engine.empty()) {
        m_context.loads.remove(booking.engine, booking.work);
        booking = {};
    }
}

auto StreamRequest::releasePrompt() -> void
{
    const WorkUnderWay prompt{m_decodeBooking.work.promptTokens, 0, 0};
    if (prompt.promptTokens > 0) {
        m_context.loads.remove(m_decodeBooking.engine, prompt);
        m_decodeBooking.work.promptTokens = 0;
    }
}

auto StreamRequest::logPlan(const StreamPlan &plan) const -> void
{
    const auto now = m_context.clock.now();
    const auto &shape = m_request.facts.shape;
    LogFields fields = {{"request", m_request.facts.requestId}, {"route", m_request.route->name}, {"decode", plan.decode->id}};
    if (plan.prefill != nullptr) {
        fields["prefill"] = plan.prefill->id;
        fields["prefill_tokens_ahead"] = m_context.loads.total(plan.prefill->id, now).promptTokens;
    }
    const auto there = m_context.loads.total(plan.decode->id, now);
    fields.update({{"prompt_tokens", shape.promptTokens},
                   {"output_tokens", shape.outputTokens},
                   {"decode_requests", there.requests},
                   {"decode_kv_tokens", there.kvTokens},
                   {"expected_first_ms", toMilliseconds(plan.firstToken)},
                   {"peers_heard", m_context.loads.peers(now)},
                   {"send", m_attempt.sends() + 1},
                   {"routes_version", m_request.table->version}});
    m_context.log.write("stream", "stream_placed", std::move(fields));
}

} // namespace currantstack
