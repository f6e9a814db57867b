// Splits a stream of server-sent events into whole events, kept as their bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace currantstack
{

/// One event as it was sent, with its closing empty line.
struct RawEvent
{
    std::string_view bytes;
    std::optional<std::int64_t> id;
};

/// Cuts a byte stream at the ends of its events, so that a part of an event is never passed on.
class EventSplitter
{
public:
    static constexpr std::size_t MaxEvent = 1U << 20; // bytes

    /// Feeds bytes; `onEvent` receives each event that is complete. Returns false once an event passes `MaxEvent`.
    auto feed(std::string_view bytes, const std::function<void(const RawEvent &event)> &onEvent) -> bool;

    /// Returns whether bytes of an incomplete event are left.
    auto hasPartial() const -> bool
    {
        return !m_pending.empty();
    }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; // of the line that is not complete
    std::size_t m_eventStart = 0;
};

} // namespace currantstack
