// Whether the event ids of a service's streams are consecutive, so that a gap shows a lost event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Two ids of a stream's events that follow one another without being consecutive.
struct IdGap
{
    std::int64_t after = 0; // id of the last event before the gap, or the one before the first id of a stream
    std::int64_t next = 0; // id of the first event after it

    auto operator==(const IdGap &other) const -> bool = default;
};

enum class GapVerdict
{
    Pass, // the ids of the service may have gaps, so the caller gets what follows
    BreakOff, // the run has lost events
};

/// Learns from the streams of one service whether its event ids are consecutive. Engines have to send increasing ids only, so a gap counts
/// as a loss only while all of the following hold:
/// - runs on `MinEngines` engines have made `MinSteps` consecutive steps before any gap;
/// - of the gaps in memory, at most `MaxGaps`, all are of one engine;
/// - no stream has shown the same gap in two runs, which proves for good that the service's ids have gaps.
/// A first event is missing if a run begins above the id with which the last `MinFirsts` runs or more have all begun.
class EventIdPattern
{
public:
    static constexpr std::size_t MinEngines = 2;
    static constexpr std::int64_t MinSteps = 200;
    static constexpr int MinFirsts = 20; // of runs on `MinEngines` engines
    static constexpr std::int64_t MaxGaps = 4;
    static constexpr std::int64_t MemorySteps = 20'000; // after which half of the steps and gaps are forgotten

    /// Records two events of one run whose ids are consecutive.
    auto onStep(std::string_view engine) -> void;

    /// Records a gap within a run, or between the last event that the caller has and the first of a run that goes on after it, and returns
    /// whether it shows a loss. `earlier` is the gap at which the stream's previous run was broken off.
    auto onGap(std::string_view engine, const IdGap &gap, const std::optional<IdGap> &earlier) -> GapVerdict;

    /// Records the first id of a run that sends a stream from its begin.
    auto onFirst(std::string_view engine, std::int64_t id) -> void;

    /// Returns the gap before an event with which a run begins a stream, if events are known to be missing there.
    auto gapBeforeFirst(std::int64_t id) const -> std::optional<IdGap>;

    auto isConsecutive() const -> bool
    {
        return m_isConsecutive;
    }

    /// Return the numbers in memory.
    auto steps() const -> std::int64_t
    {
        return m_steps;
    }

    auto gaps() const -> std::int64_t
    {
        return m_gaps;
    }

private:
    bool m_isConsecutive = false;
    bool m_hasProvenGap = false; // two runs of one stream had the same gap
    std::int64_t m_steps = 0;
    std::int64_t m_gaps = 0;
    std::vector<std::string> m_stepEngines; // with steps, at most `MinEngines`
    std::vector<std::string> m_gapEngines; // with gaps in memory, at most 2
    std::int64_t m_firstId = 0; // of the last run that began a stream
    int m_firsts = 0; // runs in a row that began with it, at most `MinFirsts`
    std::vector<std::string> m_firstEngines; // of these runs, at most `MinEngines`
};

/// Returns the name in logs and counters.
auto name(GapVerdict verdict) -> std::string_view;

} // namespace currantstack
