#include "currantstack/decisions/engine_placement.h"

#include "currantstack/decisions/software_version.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

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
// Engines of different software versions may not read each other's KV caches well, so that a prefill and a decode engine of two versions
// are paired only if this saves at least this time.
constexpr double CrossVersionGainMs = 500;
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

/// Returns the time until the engine has prefilled the prompt, in milliseconds, including the work queued there.
auto prefillMs(const EngineView &view, const PlacementInputs &inputs, double rate) -> double
{
    const auto ahead = promptTokensAhead(view.work, inputs.shape, inputs.isUrgent);
    return (ahead + inputs.shape.promptTokens) / rate / std::max(view.health, MinHealth);
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

auto cheapestPrefill(const PlacementInputs &inputs, SoftwareVersionKey version, Random &random) -> Cheapest
{
    Cheapest best;
    const bool requireHealthy = anyHealthy(inputs.prefill);
    for (const auto &view : inputs.prefill) {
        if ((requireHealthy && !isHealthy(view)) || !mayGoOnAt(*view.upstream, version)) {
            continue;
        }
        const auto ms = prefillMs(view, inputs, inputs.speeds.prefillRate()) + toMilliseconds(roundTripTime(view.distance));
        best.consider(ms + jitter(random), view);
    }
    return best;
}

/// Returns the cost of a decode engine that fetches the prompt's KV cache from `from`, or runs the prefill itself if that is null.
auto decodeMs(const PlacementInputs &inputs, const EngineView &view, const Upstream *from) -> double
{
    const double base = toMilliseconds(roundTripTime(view.distance)) + StepMs / std::max(view.health, MinHealth);
    if (from == nullptr) {
        const double prefill = prefillMs(view, inputs, inputs.speeds.mixedPrefillRate());
        return base + prefill;
    }
    // A prefill running on the engine delays the first step of the new stream only by part of a chunk.
    const double busy = view.work.promptTokens > 0 ? StepMs : 0;
    const double fullness = FullKvCacheMs * view.work.kvTokens / static_cast<double>(std::max<std::int64_t>(1, inputs.spec.kvTokens));
    return base + busy + fullness + transferMs(inputs, *from, *view.upstream);
}

/// Which decode engines are considered.
struct DecodeFilter
{
    const Upstream *from = nullptr; // prefill engine of the KV cache; null: the decode engine runs the prefill itself, see `mayPrefill`
    double gapShare = 0;
    std::string_view excluded; // id
    SoftwareVersionKey version = AnySoftwareVersion;
};

/// Returns the cheapest decode engine with capacity.
auto cheapestDecode(const PlacementInputs &inputs, const DecodeFilter &filter, Random &random) -> Cheapest
{
    Cheapest best;
    const bool requireHealthy = anyHealthy(inputs.decode);
    for (const auto &view : inputs.decode) {
        if ((requireHealthy && !isHealthy(view)) || view.upstream->id == filter.excluded || !hasCapacity(view, inputs)
            || (filter.from == nullptr && !mayPrefill(view, inputs, filter.gapShare)) || !mayGoOnAt(*view.upstream, filter.version)) {
            continue;
        }
        best.consider(decodeMs(inputs, view, filter.from) + jitter(random), view);
    }
    return best;
}

/// A prefill engine and the decode engine that fetches its KV cache.
struct EnginePair
{
    Cheapest prefill;
    Cheapest decode;

    auto isComplete() const -> bool
    {
        return decode.engine != nullptr;
    }

    auto isOfOneVersion() const -> bool
    {
        return isComplete() && prefill.engine->upstream->softwareVersion == decode.engine->upstream->softwareVersion;
    }

    auto ms() const -> double
    {
        return prefill.ms + decode.ms;
    }
};

/// Returns the cheapest pair whose engines both have the version.
auto cheapestPairOf(const PlacementInputs &inputs, SoftwareVersionKey version, Random &random) -> EnginePair
{
    const auto prefill = cheapestPrefill(inputs, version, random);
    if (prefill.engine == nullptr) {
        return {};
    }
    return {prefill, cheapestDecode(inputs, {prefill.engine->upstream, 0, "", version}, random)};
}

/// Returns the cheapest pair, of one software version unless that costs too much time.
auto cheapestPair(const PlacementInputs &inputs, Random &random) -> EnginePair
{
    const auto any = cheapestPairOf(inputs, AnySoftwareVersion, random);
    if (any.isOfOneVersion()) {
        return any;
    }
    std::set<SoftwareVersionKey> versions;
    for (const auto &view : inputs.prefill) {
        versions.insert(softwareVersionKey(*view.upstream));
    }
    EnginePair best;
    for (const auto version : versions.size() > 1 ? versions : std::set<SoftwareVersionKey>()) {
        const auto pair = cheapestPairOf(inputs, version, random);
        if (pair.isComplete() && (!best.isComplete() || pair.ms() < best.ms())) {
            best = pair;
        }
    }
    const bool keepsVersion = best.isComplete() && (!any.isComplete() || best.ms() < any.ms() + CrossVersionGainMs);
    return keepsVersion ? best : any;
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

auto EngineSpeeds::expectedDuration(const RequestShape &shape) const -> Duration
{
    if (m_observedStreams == 0 || m_outputTokens.value() <= 0) {
        return Duration::zero();
    }
    return fromMilliseconds(m_streamMs.value() * expectedOutput(shape) / m_outputTokens.value());
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

auto promptTokensAhead(const InFlightWork &work, const RequestShape &shape, bool isUrgent) -> double
{
    if (!isUrgent) {
        return work.promptTokens;
    }
    // One prompt of a lower rank may have begun.
    return work.urgentPromptTokens + std::clamp(work.promptTokens - work.urgentPromptTokens, 0.0, shape.promptTokens);
}

auto freeStreams(const PlacementInputs &inputs) -> double
{
    double result = 0;
    for (const auto &view : inputs.decode) {
        const auto slots = static_cast<double>(inputs.spec.slots - view.work.requests);
        const auto tokens = static_cast<double>(inputs.spec.kvTokens) - view.work.kvTokens;
        result += std::max(0.0, std::min(slots, std::floor(tokens / std::max(1.0, inputs.speeds.expectedKvTokens(inputs.shape)))));
    }
    return result;
}

auto totalStreams(const PlacementInputs &inputs) -> double
{
    const auto tokens = static_cast<double>(inputs.spec.kvTokens);
    const auto ofEngine =
        std::min(static_cast<double>(inputs.spec.slots), std::floor(tokens / std::max(1.0, inputs.speeds.expectedKvTokens(inputs.shape))));
    return ofEngine * static_cast<double>(inputs.decode.size());
}

auto leavesReserve(const PlacementInputs &inputs) -> bool
{
    return inputs.reservedStreams <= 0 || freeStreams(inputs) >= inputs.reservedStreams + 1;
}

auto planStream(const PlacementInputs &inputs, Random &random) -> std::optional<StreamPlan>
{
    if (!leavesReserve(inputs)) {
        return std::nullopt;
    }
    const auto mixed = cheapestDecode(inputs, {nullptr, NewPrefillGapShare, "", AnySoftwareVersion}, random);
    const auto pair = cheapestPair(inputs, random);
    const double penalty = MixedPrefillPenalty * inputs.shape.promptTokens / inputs.speeds.mixedPrefillRate();
    if (pair.isComplete() && (mixed.engine == nullptr || pair.ms() <= mixed.ms + penalty)) {
        return StreamPlan{pair.prefill.engine->upstream, pair.decode.engine->upstream, fromMilliseconds(pair.prefill.ms),
                          fromMilliseconds(pair.ms())};
    }
    if (mixed.engine != nullptr) {
        return StreamPlan{nullptr, mixed.engine->upstream, fromMilliseconds(mixed.ms), fromMilliseconds(mixed.ms)};
    }
    return std::nullopt;
}

auto planTransfer(const PlacementInputs &inputs, const Upstream &from, Random &random) -> std::optional<StreamPlan>
{
    auto decode = cheapestDecode(inputs, {&from, 0, "", AnySoftwareVersion}, random);
    if (decode.engine != nullptr && decode.engine->upstream->softwareVersion != from.softwareVersion) {
        const auto sameVersion = cheapestDecode(inputs, {&from, 0, "", softwareVersionKey(from)}, random);
        decode = sameVersion.engine != nullptr ? sameVersion : decode;
    }
    if (decode.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{&from, decode.engine->upstream, Duration::zero(), fromMilliseconds(decode.ms)};
}

auto planResume(const PlacementInputs &inputs, std::string_view failedEngine, Random &random) -> std::optional<StreamPlan>
{
    const auto mixed = cheapestDecode(inputs, {nullptr, ResumePrefillGapShare, failedEngine, AnySoftwareVersion}, random);
    if (mixed.engine == nullptr) {
        return std::nullopt;
    }
    return StreamPlan{nullptr, mixed.engine->upstream, fromMilliseconds(mixed.ms), fromMilliseconds(mixed.ms)};
}

} // namespace currantstack
