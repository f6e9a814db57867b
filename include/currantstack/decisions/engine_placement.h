// Where a prompt is read and where its answer is made: one estimate compares all ways.
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

/// What a request asks of an engine.
struct RequestShape
{
    double promptTokens = 0;
    double outputTokens = 0; // at the most
    double hintedOutput = 0; // the caller's guess; 0: none
};

/// One engine as a candidate.
struct EngineView
{
    const Upstream *upstream = nullptr;
    InFlightWork work; // of all VMs
    double health = 1; // 0 to 1
    Distance distance = Distance::SamePlace; // from this VM
    bool isAggregate = false; // `work` is the sum that another place told last; its own VMs know better
};

/// What one request takes, on average.
struct RequestCost
{
    double promptTokens = 0;
    double prefillMs = 0; // at a prefill engine
    double streamMs = 0; // at a decode engine
    double kvTokens = 0; // memory at a decode engine

    auto operator==(const RequestCost &) const -> bool = default;
};

/// Speeds of a service's engines, learned from this VM's own requests.
class EngineSpeeds
{
public:
    /// Tokens read in a millisecond, to begin with: the order of a large model on one accelerator.
    static constexpr double InitialPrefillRate = 30;
    /// Answers are shorter than the most that callers allow; until some were seen, this part of it is expected.
    static constexpr double InitialOutputShare = 0.4;
    /// A stream's memory grows from its prompt to its end; engines hold streams of all ages.
    static constexpr double GrowthShare = 1.1;
    /// A decode engine reads between the tokens of other requests, at about half the speed of a prefill engine.
    static constexpr double MixedRateShare = 0.45;

    /// Records that `tokens` (those ahead included) were read in the time.
    auto observePrefill(double tokens, Duration length) -> void;
    auto observeMixedPrefill(double tokens, Duration length) -> void;
    auto observeStream(Duration length, const RequestShape &shape, double outputTokens) -> void;

    auto observedStreams() const -> int
    {
        return m_streamsSeen;
    }

    /// Returns what one request takes on average, from the streams seen.
    auto requestCost() const -> RequestCost;

    auto prefillRate() const -> double
    {
        return m_prefillRate.value();
    }

    auto mixedPrefillRate() const -> double
    {
        return m_mixedRate.value();
    }

    /// Returns the tokens that a request is expected to generate.
    auto expectedOutput(const RequestShape &shape) const -> double;

    /// Returns the memory that a request is expected to take on average while it runs, in tokens.
    auto expectedKvTokens(const RequestShape &shape) const -> double;

    /// Returns how long a stream holds its engine's memory.
    auto streamDuration() const -> Duration
    {
        return fromMilliseconds(m_streamMs.value());
    }

private:
    MovingAverage m_prefillRate{InitialPrefillRate, 0.05};
    MovingAverage m_mixedRate{InitialPrefillRate * MixedRateShare, 0.05};
    MovingAverage m_streamMs{2000, 0.05};
    MovingAverage m_outputTokens{0, 0.05};
    MovingAverage m_promptTokens{0, 0.05};
    int m_streamsSeen = 0;
};

/// The chosen way of one stream.
struct StreamPlan
{
    const Upstream *prefill = nullptr; // null: the decode engine reads the prompt itself
    const Upstream *decode = nullptr;
    Duration prefillTime = Duration::zero(); // until the prompt is read, waiting included
    Duration timeToFirstToken = Duration::zero(); // expected time to the first event
};

/// Everything that a choice depends on.
struct PlacementInputs
{
    std::span<const EngineView> prefill;
    std::span<const EngineView> decode;
    RequestShape shape;
    const EngineSpec &model;
    const EngineSpeeds &speeds;
    const PlaceMap &places;
    Duration gapGoal; // the longest pause between events that is in time
};

/// Returns the way with the shortest expected time to the first token, or nothing where no decode engine has room.
/// Answers a load that swings above what the prefill engines can read: decode engines then take prompts too.
auto planStream(const PlacementInputs &inputs, Random &random) -> std::optional<StreamPlan>;

/// Returns the decode engine that takes the prompt's memory from `from`, or nothing where none has room. Answers a decode engine
/// that is gone by the time its prompt is read.
auto planTransfer(const PlacementInputs &inputs, const Upstream &from, Random &random) -> std::optional<StreamPlan>;

/// Returns the decode engine on which a broken stream goes on, reading its prompt again; `avoid` is left out.
auto planResume(const PlacementInputs &inputs, std::string_view avoid, Random &random) -> std::optional<StreamPlan>;

} // namespace currantstack
