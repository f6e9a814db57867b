// The order of a stream's events, over all runs that write them.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace currantstack
{

/// Where an event stands among those that the caller has.
enum class EventPlace
{
    Next, // the following one, or one without an id that the caller does not have
    Received, // the caller has it from an earlier run
    Repeated, // the run that is going on has sent it before
    Regressed, // its id is below that of the previous event of the same run
    Gap, // more ids are left out than events without an id came
};

/// Follows the ids of the events that one caller gets.
class EventSequence
{
public:
    /// `lastId` is that of the last event that the caller has; none: it has no event.
    explicit EventSequence(std::optional<std::int64_t> lastId)
        : m_lastId(lastId)
    { }

    /// Begins a run that is to go on after the last event that the caller has.
    auto beginRun() -> void
    {
        m_runHasIds = false;
        m_isBehind = false;
    }

    /// Returns the place of the run's next event, and records it if it is the following one. An event after a gap is recorded by `passGap`.
    auto onEvent(std::optional<std::int64_t> id) -> EventPlace;

    /// Records an event after a gap, because the caller gets it.
    auto passGap(std::int64_t id) -> void;

    /// Returns the last id that the caller has.
    auto lastId() const -> std::optional<std::int64_t>
    {
        return m_lastId;
    }

    /// Returns false if the caller has events after the one of `lastId`, so that a run which goes on after that may repeat them.
    auto isPositionKnown() const -> bool
    {
        return m_unnumbered == 0;
    }

    /// Returns the number of gaps that the caller got.
    auto gaps() const -> int
    {
        return m_gaps;
    }

    /// Returns the number of events that were received or repeated, so that the caller did not get them.
    auto dropped() const -> int
    {
        return m_dropped;
    }

private:
    auto placeOf(std::optional<std::int64_t> id) -> EventPlace;
    auto record(std::int64_t id) -> void;

    std::optional<std::int64_t> m_lastId;
    std::uint64_t m_unnumbered = 0; // events since the last id
    bool m_runHasIds = false; // that the caller did not have before
    bool m_isBehind = false; // the run's last event precedes that of `m_lastId`
    int m_gaps = 0;
    int m_dropped = 0;
};

/// Returns the name in logs.
auto name(EventPlace place) -> std::string_view;

} // namespace currantstack
