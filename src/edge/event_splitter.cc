#include "currantstack/edge/event_splitter.h"

#include <charconv>

namespace currantstack
{

namespace
{

auto withoutCarriageReturn(std::string_view line) -> std::string_view
{
    return !line.empty() && line.back() == '\r' ? line.substr(0, line.size() - 1) : line;
}

auto isEmptyEvent(std::string_view event) -> bool
{
    for (auto atLineStart = true; const char byte : event) {
        if (atLineStart && byte != ':' && byte != '\n' && byte != '\r') {
            return false;
        }
        atLineStart = byte == '\n';
    }
    return true;
}

auto parseId(std::string_view event) -> std::optional<std::int64_t>
{
    std::optional<std::int64_t> id;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = withoutCarriageReturn(event.substr(0, end));
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            while (!line.empty() && line.front() == ' ') {
                line.remove_prefix(1);
            }
            std::int64_t number = 0;
            const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), number);
            if (error == std::errc() && rest == line.data() + line.size()) {
                id = number;
            }
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
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
