// Chooses the prefill and decode engines of a stream by one cost estimate for all plans.
#pragma once

#include "currantstack/decisions/distance.h"
#include "currantstack/decisions/load_table.h"
#include "currantstack/decisions/route_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/estimate.h"
#include "currantstack/placement.h"

#include <optional>
#include <span>

namespace currantstack
{

/// The size of a request in tokens.
struct RequestShape
{
    double promptTokens = 0;
    double outputTokens = 0; // at most
    double hintedOutput = 0; // the caller's estimate; 0: none
};

/// One engine as a candidate.
struct EngineView
{
    const Upstream *upstream = nullptr;
    InFlightWork work; // of all VMs
    double health = 1; // 0 to 1
    Distance distance = Distance::SamePlace; // from this VM
    bool isAggregate = false; // `work` is from another place's last aggregate, which is older than a VM's own report
};

/// Mean cost of one request.
struct RequestCost
{
    double promptTokens = 0;
    double prefillMs = 0; // time at a prefill engine
    double streamMs = 0; // time at a decode engine
    double kvTokens = 0; // KV cache at a decode engine

    auto operator==(const RequestCost &) const -> bool = default;
};

/// Estimates of a service's engine speeds and stream sizes, from this VM's own requests.
class EngineSpeeds
{
public:
    /// Initial prefill rate in tokens per millisecond; the order of magnitude of a large model on one accelerator.
    static constexpr double InitialPrefillRate = 30;
    /// Expected output as a share of the caller's limit until streams were observed; answers are usually shorter than the limit.
    static constexpr double InitialOutputShare = 0.4;
    /// KV cache tokens counted per output token. The KV cache of a stream grows from its prompt to its end, and engines hold streams
    /// of all ages.
    static constexpr double OutputKvFactor = 1.1;
    /// Initial rate of a prefill on a decode engine relative to a prefill engine, about half: it runs between decode steps.
    static constexpr double MixedRateShare = 0.45;

    /// Records how long the prefill of `tokens` took, including those queued ahead of the request.
    auto observePrefill(double tokens, Duration duration) -> void;
    /// The same for a prefill on a decode engine.
    auto observeMixedPrefill(double tokens, Duration duration) -> void;
    auto observeStream(Duration duration, const RequestShape &shape, double outputTokens) -> void;

    auto observedStreams() const -> int
    {
        return m_observedStreams;
    }

    /// Returns the mean cost over the observed streams.
    auto requestCost() const -> RequestCost;

    /// Returns the rate of a prefill engine in tokens per millisecond.
    auto prefillRate() const -> double
    {
        return m_prefillRate.value();
    }

    /// Returns the rate of a prefill on a decode engine in tokens per millisecond.
    auto mixedPrefillRate() const -> double
    {
        return m_mixedPrefillRate.value();
    }

    /// Returns the expected number of output tokens.
    auto expectedOutput(const RequestShape &shape) const -> double;

    /// Returns the KV cache that the request is expected to occupy on average while it runs, in tokens.
    auto expectedKvTokens(const RequestShape &shape) const -> double;

    /// Returns the mean time that a stream occupies its decode engine.
    auto streamDuration() const -> Duration
    {
        return fromMilliseconds(m_streamMs.value());
    }

    /// Returns the expected time at a decode engine of a stream with this shape; zero until a stream was observed.
    auto expectedDuration(const RequestShape &shape) const -> Duration;

private:
    MovingAverage m_prefillRate{InitialPrefillRate, 0.05};
    MovingAverage m_mixedPrefillRate{InitialPrefillRate * MixedRateShare, 0.05};
    MovingAverage m_streamMs{2000, 0.05};
    MovingAverage m_outputTokens{0, 0.05};
    MovingAverage m_promptTokens{0, 0.05};
    int m_observedStreams = 0;
};

/// The engines chosen for one stream.
struct StreamPlan
{
    const Upstream *prefill = nullptr; // null: the decode engine runs the prefill itself
    const Upstream *decode = nullptr;
    Duration prefillTime = Duration::zero(); // expected time until the prefill is done, including queueing
    Duration timeToFirstToken = Duration::zero(); // expected, including the prefill
};

/// The inputs of a placement decision.
struct PlacementInputs
{
    std::span<const EngineView> prefill;
    std::span<const EngineView> decode;
    RequestShape shape;
    const EngineSpec &spec;
    const EngineSpeeds &speeds;
    const PlaceMap &places;
    Duration gapGoal; // target time between events of a stream
    bool isUrgent = false; // of the highest rank, so that engines admit its prompt before those of lower ranks
    double reservedStreams = 0; // streams for which all decode engines together must keep capacity beside this one
};

/// Returns the prompt tokens that an engine prefills before a new prompt, which engines admit by rank.
auto promptTokensAhead(const InFlightWork &work, const RequestShape &shape, bool isUrgent) -> double;

/// Returns the number of streams of this size for which the service's decode engines have capacity beside their work, or when they are
/// idle.
auto freeStreams(const PlacementInputs &inputs) -> double;
auto totalStreams(const PlacementInputs &inputs) -> double;

/// Returns whether the decode engines have capacity for a new stream beside `reservedStreams`.
auto leavesReserve(const PlacementInputs &inputs) -> bool;

/// Returns the plan with the shortest expected time to the first token, or nothing if no decode engine has capacity. Decode engines
/// also run prefills when the load exceeds what the prefill engines can handle.
auto planStream(const PlacementInputs &inputs, Random &random) -> std::optional<StreamPlan>;

/// Returns a plan whose decode engine fetches the prompt's KV cache from `from`, or nothing if none has capacity. Used if the chosen
/// decode engine is no longer available when the prefill is done.
auto planTransfer(const PlacementInputs &inputs, const Upstream &from, Random &random) -> std::optional<StreamPlan>;

/// Returns a plan to resume a broken stream on a decode engine other than `failedEngine`, which repeats the prefill itself.
auto planResume(const PlacementInputs &inputs, std::string_view failedEngine, Random &random) -> std::optional<StreamPlan>;

} // namespace currantstack
