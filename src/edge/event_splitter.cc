#include "currantstack/edge/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace currantstack
{

namespace
{

auto withoutCarriageReturn(std::string_view line) -> std::string_view
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

/// Calls `onField` with the name of each field and with its value, without the spaces before it.
auto forEachField(std::string_view event, const std::function<void(std::string_view name, std::string_view value)> &onField) -> void
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        const auto line = withoutCarriageReturn(event.substr(0, end));
        const auto colon = std::min(line.find(':'), line.size());
        if (colon > 0) {
            auto value = line.substr(std::min(colon + 1, line.size()));
            value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
            onField(line.substr(0, colon), value);
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
}

auto isEmptyEvent(std::string_view event) -> bool
{
    bool isEmpty = true;
    forEachField(event,
                 [&isEmpty](std::string_view name, std::string_view /*value*/) { isEmpty = isEmpty && name != "data" && name != "id"; });
    return isEmpty;
}

auto parseId(std::string_view event) -> std::optional<std::int64_t>
{
    std::optional<std::int64_t> id;
    forEachField(event, [&id](std::string_view name, std::string_view value) {
        std::int64_t number = 0;
        const auto [rest, error] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (name == "id" && error == std::errc() && rest == value.data() + value.size()) {
            id = number;
        }
    });
    return id;
}

} // namespace

auto EventSplitter::feed(std::string_view bytes, const std::function<void(const RawEvent &event)> &onEvent) -> bool
{
    m_pending.append(bytes);
    for (auto end = m_pending.find('\n', m_lineStart); end != std::string::npos; end = m_pending.find('\n', m_lineStart)) {
        const auto line = withoutCarriageReturn(std::string_view(m_pending).substr(m_lineStart, end - m_lineStart));
        m_lineStart = end + 1;
        if (line.empty()) {
            const auto event = std::string_view(m_pending).substr(m_eventStart, m_lineStart - m_eventStart);
            m_eventStart = m_lineStart;
            onEvent({event, parseId(event), isEmptyEvent(event)});
        }
    }
    m_pending.erase(0, m_eventStart);
    m_lineStart -= m_eventStart;
    m_eventStart = 0;
    return m_pending.size() <= MaxEventBytes;
}

} // namespace currantstack
