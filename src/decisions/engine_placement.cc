#include "currantstack/decisions/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

namespace
{

constexpr double LearningWeight = 0.05; // of one stream in the averages
constexpr double MinHealth = 0.05; // an engine below is used only where all are
constexpr double MinRate = 1; // tokens a millisecond
constexpr double MaxRate = 1000;
constexpr double BaseMs = 15; // an idle engine's time to the first token beyond reading: admission and one step
// What a full engine's memory counts against a new stream: its steps take longer, and it may run out of room.
constexpr double FullMemoryMs = 20;
constexpr double TransferSetupMs = 4; // before a transfer's first byte
// Reading a prompt between tokens slows all streams of the decode engine; that costs about as much as it would at a prefill engine.
constexpr double MixedPenalty = 0.5; // of the time of the read
// Spreads VMs that see the same load, so that they do not all take the same engine.
constexpr double JitterMs = 1;
constexpr double BitsPerByte = 8;
constexpr double MegabitsPerMs = 1000; // bits in a millisecond at one megabit a second

// Tokens come slowly while a prompt is read between them, so its read must fit into this part of the longest pause. Two VMs may
// choose the same engine before they hear of each other, so a new request leaves room for a second one.
constexpr double NewPrefillGapShare = 0.4;
constexpr double ResumePrefillGapShare = 0.8; // a broken stream has no other way

// Room that is left at an engine of another place, in streams: its own VMs hear of the last room earlier and are closer to it.
constexpr double AggregateMargin = 1;

struct Cost
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

auto isSound(const EngineView &view) -> bool
{
    return view.health >= MinHealth;
}

auto anySound(std::span<const EngineView> views) -> bool
{
    return std::any_of(views.begin(), views.end(), isSound);
}

auto hasRoom(const EngineView &view, const PlacementInputs &inputs) -> bool
{
    const auto memory = static_cast<double>(inputs.model.kvTokens);
    if (view.work.requests == 0) {
        return inputs.shape.promptTokens < memory; // alone, it may use all
    }
    const double streams = view.isAggregate ? 1 + AggregateMargin : 1;
    return view.work.requests + streams <= static_cast<double>(inputs.model.slots)
        && view.work.kvTokens + streams * inputs.speeds.expectedKvTokens(inputs.shape) <= memory;
}

/// Returns whether the engine may read the prompt itself without a pause in its other streams' events beyond their goal.
auto mayRead(const EngineView &view, const PlacementInputs &inputs, double gapShare) -> bool
{
    const double read = (view.work.promptTokens + inputs.shape.promptTokens) / inputs.speeds.mixedPrefillRate();
    return view.work.requests == 0 || read <= gapShare * toMilliseconds(inputs.gapGoal);
}

auto jitter(Random &random) -> double
{
    return std::uniform_real_distribution<double>(0, JitterMs)(random);
}

/// Time until the prompt is read at the engine, in milliseconds.
auto prefillMs(const EngineView &view, double tokens, double rate) -> double
{
    return (view.work.promptTokens + tokens) / rate / std::max(view.health, MinHealth);
}

auto transferMs(const PlacementInputs &inputs, const Upstream &from, const Upstream &to) -> double
{
    if (inputs.model.linkMbps <= 0) {
        return TransferSetupMs;
    }
    const double bits = inputs.shape.promptTokens * inputs.model.kvBytesPerToken * BitsPerByte;
    const auto factor = transferFactor(inputs.places.distance(from.place, to.place));
    return TransferSetupMs + factor * bits / (inputs.model.linkMbps * MegabitsPerMs);
}

auto cheapestRead(const PlacementInputs &inputs, Random &random) -> Cost
{
    Cost best;
    const bool sound = anySound(inputs.prefill);
    for (const auto &view : inputs.prefill) {
        if (sound && !isSound(view)) {
            continue;
        }
        const auto ms =
            prefillMs(view, inputs.shape.promptTokens, inputs.speeds.prefillRate()) + toMilliseconds(roundTripTime(view.distance));
        best.consider(ms + jitter(random), view);
    }
    return best;
}

/// Cost of a decode engine that gets the prompt's memory from `from`, or that reads the prompt itself where that is null.
auto decodeMs(const PlacementInputs &inputs, const EngineView &view, const Upstream *from) -> double
{
    const double away = toMilliseconds(roundTripTime(view.distance)) + BaseMs / std::max(view.health, MinHealth);
    if (from == nullptr) {
        const double read = prefillMs(view, inputs.shape.promptTokens, inputs.speeds.mixedPrefillRate());
        return away + read;
    }
    // A prompt that is being read there delays the first step of the new stream by a part of a chunk only.
    const double busy = view.work.promptTokens > 0 ? BaseMs : 0;
    const double crowd = FullMemoryMs * view.work.kvTokens / static_cast<double>(std::max<std::int64_t>(1, inputs.model.kvTokens));
    return away + busy + crowd + transferMs(inputs, *from, *view.upstream);
}

/// Where `from` is null, the engine reads the prompt itself, within `gapShare` of the longest pause between its other events.
auto cheapestDecode(const PlacementInputs &inputs, const Upstream *from, double gapShare, std::string_view avoid, Random &random) -> Cost
{
    Cost best;
    const bool sound = anySound(inputs.decode);
    for (const auto &view : inputs.decode) {
        if ((sound && !isSound(view)) || view.upstream->id == avoid || !hasRoom(view, inputs)
            || (from == nullptr && !mayRead(view, inputs, gapShare))) {
            continue;
        }
        best.consider(decodeMs(inputs, view, from) + jitter(random), view);
    }
    return best;
}

} // namespace

auto EngineSpeeds::observePrefill(double tokens, Duration length) -> void
{
    m_prefillRate.observe(std::clamp(tokens / std::max(0.1, toMilliseconds(length)), MinRate, MaxRate));
}

auto EngineSpeeds::observeMixedPrefill(double tokens, Duration length) -> void
{
    m_mixedRate.observe(std::clamp(tokens / std::max(0.1, toMilliseconds(length)), MinRate, MaxRate));
}

auto EngineSpeeds::observeStream(Duration length, const RequestShape &shape, double outputTokens) -> void
{
    // The first streams weigh more: the mean is exact until the moving average has forgotten its start.
    const double weight = std::max(LearningWeight, 1.0 / ++m_streamsSeen);
    const auto learn = [weight](MovingAverage &average, double value) {
        average = MovingAverage(average.value() + weight * (value - average.value()), LearningWeight);
    };
    learn(m_streamMs, toMilliseconds(length));
    learn(m_outputTokens, outputTokens);
    learn(m_promptTokens, shape.promptTokens);
}

auto EngineSpeeds::requestCost() const -> RequestCost
{
    const double prompt = m_promptTokens.value();
    return {prompt, prompt / prefillRate(), m_streamMs.value(), prompt + GrowthShare * m_outputTokens.value()};
}

auto EngineSpeeds::expectedOutput(const RequestShape &shape) const -> double
{
    const double mean = m_streamsSeen > 0 ? m_outputTokens.value() : InitialOutputShare * shape.outputTokens;
    // A guess is right in the middle but often far off, so it moves the mean half the way.
    const double expected = shape.hintedOutput > 0 ? (mean + shape.hintedOutput) / 2 : mean;
    return std::min(expected, std::max(1.0, shape.outputTokens));
}

auto EngineSpeeds::expectedKvTokens(const RequestShape &shape) const -> double
{
    return shape.promptTokens + GrowthShare * expectedOutput(shape);
}

auto planStream(const PlacementInputs &inputs, Random &random) -> std::optional<StreamPlan>
{
    const auto direct = cheapestDecode(inputs, nullptr, NewPrefillGapShare, "", random);
    const auto read = cheapestRead(inputs, random);
    const auto split = read.engine == nullptr ? Cost() : cheapestDecode(inputs, read.engine->upstream, 0, "", random);
    const double splitMs = read.ms + split.ms;
    const double penalty = MixedPenalty * inputs.shape.promptTokens / inputs.speeds.mixedPrefillRate();
    if (split.engine != nullptr && (direct.engine == nullptr || splitMs <= direct.ms + penalty)) {
        return StreamPlan{read.engine->upstream, split.engine->upstream, fromMilliseconds(read.ms), fromMilliseconds(splitMs)};
    }
    if (direct.engine != nullptr) {
        return StreamPlan{nullptr, direct.engine->upstream, fromMilliseconds(direct.ms), fromMilliseconds(direct.ms)};
    }
    return std::nullopt;
}

auto planTransfer(const PlacementInputs &inputs, const Upstream &from, Random &random) -> std::optional<StreamPlan>
{
    const auto split = cheapestDecode(inputs, &from, 0, "", random);
    if (split.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{&from, split.engine->upstream, Duration::zero(), fromMilliseconds(split.ms)};
}

auto planResume(const PlacementInputs &inputs, std::string_view avoid, Random &random) -> std::optional<StreamPlan>
{
    const auto direct = cheapestDecode(inputs, nullptr, ResumePrefillGapShare, avoid, random);
    if (direct.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{nullptr, direct.engine->upstream, fromMilliseconds(direct.ms), fromMilliseconds(direct.ms)};
}

} // namespace currantstack
