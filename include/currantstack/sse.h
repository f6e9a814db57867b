// Server-sent events: splitting a byte stream into events, and writing them.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace currantstack
{

/// Splits a stream into the data of its events. Lines may arrive in any pieces.
class EventStreamParser
{
public:
    static constexpr std::size_t MaxEvent = 1U << 20; // bytes

    /// Feeds bytes; `onEvent` receives each complete event's data. Returns false once an event passes `MaxEvent`.
    auto feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent) -> bool;

private:
    auto takeLine(std::string_view line, const std::function<void(std::string_view data)> &onEvent) -> void;

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_broken = false;
};

/// Returns one event with the data, which must hold no line break.
auto formatEvent(std::string_view data) -> std::string;

} // namespace currantstack
