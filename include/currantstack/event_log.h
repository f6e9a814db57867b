// The structured event log: one line of JSON per event, rate-limited and non-blocking.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace currantstack
{

/// Writes bytes and returns how many were written; returns 0 if writing would block.
using LogSink = std::function<std::size_t(std::string_view bytes)>;

/// Returns a sink that writes to the file descriptor. Sets the descriptor to non-blocking mode.
auto descriptorSink(int descriptor) -> LogSink;

/// Writes event lines, limited by a token bucket. Lines beyond the rate, and lines that arrive while the buffer is full because the
/// sink blocks, are dropped and counted; the next line written is preceded by a "lines_dropped" event with the count. Evidence has a
/// bucket and a part of the buffer in reserve.
class EventLog
{
public:
    static constexpr double LinesPerSecond = 400; // bounds the CPU time spent on logging
    static constexpr double BurstLines = 800; // lines
    static constexpr double EvidencePerSecond = 50; // lines of evidence beyond `LinesPerSecond`
    static constexpr double EvidenceBurst = 200; // lines
    static constexpr std::size_t MaxPendingBytes = 256U << 10; // bytes buffered while the sink blocks
    static constexpr std::size_t EvidenceBytes = 64U << 10; // buffered beyond these, of evidence only

    EventLog(const Clock &clock, std::string vm, LogSink sink);

    /// Writes one line. The keys of `fields` follow the fixed keys time_ms, vm, part (the component) and event.
    auto write(std::string_view component, std::string_view event, nlohmann::ordered_json fields = nlohmann::ordered_json::object())
        -> void;

    /// Writes one line that says what a VM knew and from where, without which decisions about many requests cannot be explained. It is not
    /// displaced by lines about single requests.
    auto writeEvidence(std::string_view component, std::string_view event, nlohmann::ordered_json fields = nlohmann::ordered_json::object())
        -> void;

    /// Writes buffered lines until the sink blocks.
    auto flush() -> void;

    /// Returns the number of lines dropped so far.
    auto dropped() const -> std::uint64_t
    {
        return m_dropped;
    }

private:
    auto refill() -> void;
    auto admit(bool isEvidence) -> bool;
    auto writeIf(bool isAdmitted, std::string_view component, std::string_view event, const nlohmann::ordered_json &fields) -> void;
    auto append(std::string_view component, std::string_view event, const nlohmann::ordered_json &fields) -> void;

    const Clock &m_clock;
    std::string m_vm;
    LogSink m_sink;
    std::string m_pending;
    TimePoint m_refilledAt;
    double m_tokens = BurstLines;
    double m_evidenceTokens = EvidenceBurst;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

/// The fields of one event line, in output order.
using LogFields = nlohmann::ordered_json;

} // namespace currantstack
