#include "currantstack/decisions/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

namespace
{

constexpr double StreamWeight = 0.05; // of one stream in the moving averages
constexpr double MinHealth = 0.05; // an engine with a lower health is used only if all are lower
constexpr double MinRate = 1; // tokens per millisecond
constexpr double MaxRate = 1000; // tokens per millisecond
constexpr double StepMs = 15; // time to the first token of an idle engine without prefill: admission and one decode step
// Cost of placing a stream on an engine whose KV cache is full: decode steps take longer, and the engine may run out of capacity.
constexpr double FullKvCacheMs = 20;
constexpr double TransferSetupMs = 4; // before the first byte of a KV cache transfer
// Penalty for a prefill on a decode engine, as a share of its time. It slows down all streams of the engine, which costs about as much
// as the prefill would at a prefill engine.
constexpr double MixedPrefillPenalty = 0.5;
// Random cost that keeps VMs with the same view of the load from all choosing the same engine.
constexpr double JitterMs = 1;
constexpr double BitsPerByte = 8;
constexpr double BitsPerMsPerMbps = 1000;

// A prefill on a decode engine delays the events of its streams, so it must fit into this share of the target time between events. Two
// VMs may choose the same engine before they receive each other's reports, so a new request leaves time for a second one.
constexpr double NewPrefillGapShare = 0.4;
constexpr double ResumePrefillGapShare = 0.8; // the only plan for a broken stream

// Capacity to leave free at an engine of another place, in streams. The VMs there have more recent reports of its last free capacity and
// are closer to it.
constexpr double AggregateMargin = 1;

/// The cheapest engine so far and its cost.
struct Cheapest
{
    double ms = 0;
    const EngineView *engine = nullptr;

    auto consider(double candidate, const EngineView &view) -> void
    {
        if (engine == nullptr || candidate < ms) {
            ms = candidate;
            engine = &view;
        }
    }
};

auto isHealthy(const EngineView &view) -> bool
{
    return view.health >= MinHealth;
}

auto anyHealthy(std::span<const EngineView> views) -> bool
{
    return std::any_of(views.begin(), views.end(), isHealthy);
}

auto hasCapacity(const EngineView &view, const PlacementInputs &inputs) -> bool
{
    const auto kvCapacity = static_cast<double>(inputs.spec.kvTokens);
    if (view.work.requests == 0) {
        return inputs.shape.promptTokens < kvCapacity; // a single request may use the whole KV cache
    }
    const double streams = view.isAggregate ? 1 + AggregateMargin : 1;
    return view.work.requests + streams <= static_cast<double>(inputs.spec.slots)
        && view.work.kvTokens + streams * inputs.speeds.expectedKvTokens(inputs.shape) <= kvCapacity;
}

/// Returns whether the engine can run the prefill itself within `gapShare` of the target time between events of its other streams.
auto mayPrefill(const EngineView &view, const PlacementInputs &inputs, double gapShare) -> bool
{
    const double prefill = (view.work.promptTokens + inputs.shape.promptTokens) / inputs.speeds.mixedPrefillRate();
    return view.work.requests == 0 || prefill <= gapShare * toMilliseconds(inputs.gapGoal);
}

auto jitter(Random &random) -> double
{
    return std::uniform_real_distribution<double>(0, JitterMs)(random);
}

/// Returns the time until the engine has prefilled the tokens, in milliseconds, including the work queued there.
auto prefillMs(const EngineView &view, double tokens, double rate) -> double
{
    return (view.work.promptTokens + tokens) / rate / std::max(view.health, MinHealth);
}

/// Returns the time to transfer the KV cache of the prompt, in milliseconds.
auto transferMs(const PlacementInputs &inputs, const Upstream &from, const Upstream &to) -> double
{
    if (inputs.spec.linkMbps <= 0) {
        return TransferSetupMs;
    }
    const double bits = inputs.shape.promptTokens * inputs.spec.kvBytesPerToken * BitsPerByte;
    const auto factor = transferFactor(inputs.places.distance(from.place, to.place));
    return TransferSetupMs + factor * bits / (inputs.spec.linkMbps * BitsPerMsPerMbps);
}

auto cheapestPrefill(const PlacementInputs &inputs, Random &random) -> Cheapest
{
    Cheapest best;
    const bool requireHealthy = anyHealthy(inputs.prefill);
    for (const auto &view : inputs.prefill) {
        if (requireHealthy && !isHealthy(view)) {
            continue;
        }
        const auto ms =
            prefillMs(view, inputs.shape.promptTokens, inputs.speeds.prefillRate()) + toMilliseconds(roundTripTime(view.distance));
        best.consider(ms + jitter(random), view);
    }
    return best;
}

/// Returns the cost of a decode engine that fetches the prompt's KV cache from `from`, or runs the prefill itself if that is null.
auto decodeMs(const PlacementInputs &inputs, const EngineView &view, const Upstream *from) -> double
{
    const double base = toMilliseconds(roundTripTime(view.distance)) + StepMs / std::max(view.health, MinHealth);
    if (from == nullptr) {
        const double prefill = prefillMs(view, inputs.shape.promptTokens, inputs.speeds.mixedPrefillRate());
        return base + prefill;
    }
    // A prefill running on the engine delays the first step of the new stream only by part of a chunk.
    const double busy = view.work.promptTokens > 0 ? StepMs : 0;
    const double fullness = FullKvCacheMs * view.work.kvTokens / static_cast<double>(std::max<std::int64_t>(1, inputs.spec.kvTokens));
    return base + busy + fullness + transferMs(inputs, *from, *view.upstream);
}

/// Returns the cheapest decode engine with capacity. If `from` is null, the engine runs the prefill itself, see `mayPrefill`.
auto cheapestDecode(const PlacementInputs &inputs, const Upstream *from, double gapShare, std::string_view excluded, Random &random)
    -> Cheapest
{
    Cheapest best;
    const bool requireHealthy = anyHealthy(inputs.decode);
    for (const auto &view : inputs.decode) {
        if ((requireHealthy && !isHealthy(view)) || view.upstream->id == excluded || !hasCapacity(view, inputs)
            || (from == nullptr && !mayPrefill(view, inputs, gapShare))) {
            continue;
        }
        best.consider(decodeMs(inputs, view, from) + jitter(random), view);
    }
    return best;
}

} // namespace

auto EngineSpeeds::observePrefill(double tokens, Duration duration) -> void
{
    m_prefillRate.observe(std::clamp(tokens / std::max(0.1, toMilliseconds(duration)), MinRate, MaxRate));
}

auto EngineSpeeds::observeMixedPrefill(double tokens, Duration duration) -> void
{
    m_mixedPrefillRate.observe(std::clamp(tokens / std::max(0.1, toMilliseconds(duration)), MinRate, MaxRate));
}

auto EngineSpeeds::observeStream(Duration duration, const RequestShape &shape, double outputTokens) -> void
{
    // The first streams weigh more, so that the initial values have no effect after the first stream and the average starts as a plain
    // mean.
    const double weight = std::max(StreamWeight, 1.0 / ++m_observedStreams);
    const auto update = [weight](MovingAverage &average, double value) {
        average = MovingAverage(average.value() + weight * (value - average.value()), StreamWeight);
    };
    update(m_streamMs, toMilliseconds(duration));
    update(m_outputTokens, outputTokens);
    update(m_promptTokens, shape.promptTokens);
}

auto EngineSpeeds::requestCost() const -> RequestCost
{
    const double prompt = m_promptTokens.value();
    return {prompt, prompt / prefillRate(), m_streamMs.value(), prompt + OutputKvFactor * m_outputTokens.value()};
}

auto EngineSpeeds::expectedOutput(const RequestShape &shape) const -> double
{
    const double mean = m_observedStreams > 0 ? m_outputTokens.value() : InitialOutputShare * shape.outputTokens;
    // The caller's hint is unbiased but noisy, so it counts half.
    const double expected = shape.hintedOutput > 0 ? (mean + shape.hintedOutput) / 2 : mean;
    return std::min(expected, std::max(1.0, shape.outputTokens));
}

auto EngineSpeeds::expectedKvTokens(const RequestShape &shape) const -> double
{
    return shape.promptTokens + OutputKvFactor * expectedOutput(shape);
}

auto planStream(const PlacementInputs &inputs, Random &random) -> std::optional<StreamPlan>
{
    const auto mixed = cheapestDecode(inputs, nullptr, NewPrefillGapShare, "", random);
    const auto prefill = cheapestPrefill(inputs, random);
    const auto decode = prefill.engine == nullptr ? Cheapest() : cheapestDecode(inputs, prefill.engine->upstream, 0, "", random);
    const double separateMs = prefill.ms + decode.ms;
    const double penalty = MixedPrefillPenalty * inputs.shape.promptTokens / inputs.speeds.mixedPrefillRate();
    if (decode.engine != nullptr && (mixed.engine == nullptr || separateMs <= mixed.ms + penalty)) {
        return StreamPlan{prefill.engine->upstream, decode.engine->upstream, fromMilliseconds(prefill.ms), fromMilliseconds(separateMs)};
    }
    if (mixed.engine != nullptr) {
        return StreamPlan{nullptr, mixed.engine->upstream, fromMilliseconds(mixed.ms), fromMilliseconds(mixed.ms)};
    }
    return std::nullopt;
}

auto planTransfer(const PlacementInputs &inputs, const Upstream &from, Random &random) -> std::optional<StreamPlan>
{
    const auto decode = cheapestDecode(inputs, &from, 0, "", random);
    if (decode.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{&from, decode.engine->upstream, Duration::zero(), fromMilliseconds(decode.ms)};
}

auto planResume(const PlacementInputs &inputs, std::string_view failedEngine, Random &random) -> std::optional<StreamPlan>
{
    const auto mixed = cheapestDecode(inputs, nullptr, ResumePrefillGapShare, failedEngine, random);
    if (mixed.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{nullptr, mixed.engine->upstream, fromMilliseconds(mixed.ms), fromMilliseconds(mixed.ms)};
}

} // namespace currantstack
