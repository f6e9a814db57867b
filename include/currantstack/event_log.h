// Structured log lines on standard output: one JSON object for each decision, bounded and never blocking.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace currantstack
{

/// Takes a line's bytes and returns how many it has taken; 0 where it would block.
using LogSink = std::function<std::size_t(std::string_view bytes)>;

/// Returns a sink that writes to the descriptor, which is made non-blocking.
auto descriptorSink(int descriptor) -> LogSink;

/// Writes lines within a rate. What exceeds the rate or meets a full pipe is counted, and the count is logged as "lines_dropped".
class EventLog
{
public:
    static constexpr double LinesPerSecond = 400; // bounds the processor time that logging takes
    static constexpr double Burst = 800; // lines
    static constexpr std::size_t MaxPending = 256U << 10; // bytes that wait for a full pipe

    EventLog(const Clock &clock, std::string vm, LogSink sink);

    /// Writes one line; `fields` is an object whose keys follow the fixed ones (time, VM, part, event).
    auto write(std::string_view part, std::string_view event, nlohmann::ordered_json fields = nlohmann::ordered_json::object()) -> void;

    /// Hands on what waits for the pipe.
    auto flush() -> void;

    auto dropped() const -> std::uint64_t
    {
        return m_dropped;
    }

private:
    auto admit() -> bool;
    auto append(std::string_view part, std::string_view event, const nlohmann::ordered_json &fields) -> void;

    const Clock &m_clock;
    std::string m_vm;
    LogSink m_sink;
    std::string m_pending;
    TimePoint m_refilledAt;
    double m_tokens = Burst;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

/// The fields of one log line.
using LogFields = nlohmann::ordered_json;

} // namespace currantstack
