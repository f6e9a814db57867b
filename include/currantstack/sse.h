// Parsing and formatting of server-sent events (SSE).
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace currantstack
{

/// Incremental parser that extracts the data of each event from a stream; input may be split at any byte.
class EventStreamParser
{
public:
    static constexpr std::size_t MaxEventBytes = 1U << 20; // bytes

    /// Parses more bytes and calls `onEvent` with the data of each completed event. Returns false, now and for all later input, once the
    /// data of an event or an incomplete line exceeds `MaxEventBytes`.
    auto feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent) -> bool;

private:
    auto parseLine(std::string_view line, const std::function<void(std::string_view data)> &onEvent) -> void;

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_tooLarge = false;
};

/// Formats an event with the data, which must not contain a line break.
auto formatEvent(std::string_view data) -> std::string;

} // namespace currantstack
