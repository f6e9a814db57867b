// Splits a stream of server-sent events into complete events without changing their bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace currantstack
{

/// One event as received, including the empty line that ends it.
struct RawEvent
{
    std::string_view bytes; // valid during the callback
    std::optional<std::int64_t> id; // of the last "id" field that is an integer
    bool isEmpty = false; // has neither data nor an id, as a reconnection time or a comment
};

/// Buffers incomplete events, so that only complete ones are forwarded.
class EventSplitter
{
public:
    static constexpr std::size_t MaxEventBytes = 1U << 20; // bytes

    /// Appends bytes and calls `onEvent` for each event that they complete. Returns false if an incomplete event exceeds `MaxEventBytes`.
    auto feed(std::string_view bytes, const std::function<void(const RawEvent &event)> &onEvent) -> bool;

    /// Returns whether an incomplete event is buffered.
    auto hasPartial() const -> bool
    {
        return !m_pending.empty();
    }

private:
    std::string m_pending;
    std::size_t m_lineStart = 0; // offset of the incomplete line
    std::size_t m_eventStart = 0; // offset of the incomplete event
};

} // namespace currantstack
