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
    Next, // the following one, or one without an id
    Received, // the caller has it from an earlier run
    Repeated, // the run that is going on has sent it before
    Regressed, // its id is below that of the previous event of the same run
    Gap, // its id is more than 1 above that of the last event that the caller has
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
        m_runHasEvents = false;
    }

    /// Returns the place of the run's next event, and records it if it is the following one. An event after a gap is recorded by `passGap`.
    auto onEvent(std::optional<std::int64_t> id) -> EventPlace;

    /// Records an event after a gap, because the caller gets it.
    auto passGap(std::int64_t id) -> void;

    auto lastId() const -> std::optional<std::int64_t>
    {
        return m_lastId;
    }

    /// Returns the number of gaps that the caller got.
    auto gaps() const -> int
    {
        return m_gaps;
    }

private:
    std::optional<std::int64_t> m_lastId;
    bool m_runHasEvents = false; // that the caller did not have before
    int m_gaps = 0;
};

/// Returns the name in logs.
auto name(EventPlace place) -> std::string_view;

} // namespace currantstack
