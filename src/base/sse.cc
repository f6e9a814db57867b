#include "currantstack/sse.h"

namespace currantstack
{

auto EventStreamParser::feed(std::string_view bytes, const std::function<void(std::string_view data)> &onEvent) -> bool
{
    while (!bytes.empty() && !m_tooLarge) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_line.append(bytes);
            m_tooLarge = m_line.size() > MaxEventBytes;
            break;
        }
        if (m_line.empty()) {
            parseLine(bytes.substr(0, end), onEvent);
        } else {
            m_line.append(bytes.substr(0, end));
            const auto line = std::move(m_line);
            m_line.clear();
            parseLine(line, onEvent);
        }
        bytes.remove_prefix(end + 1);
    }
    return !m_tooLarge;
}

auto EventStreamParser::parseLine(std::string_view line, const std::function<void(std::string_view data)> &onEvent) -> void
{
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            onEvent(m_data);
        }
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (!line.starts_with("data:")) {
        return; // a comment or a field other than "data"
    }
    line.remove_prefix(5);
    if (line.starts_with(" ")) {
        line.remove_prefix(1);
    }
    if (m_hasData) {
        m_data.push_back('\n');
    }
    m_data.append(line);
    m_hasData = true;
    m_tooLarge = m_data.size() > MaxEventBytes;
}

auto formatEvent(std::string_view data) -> std::string
{
    std::string event;
    event.reserve(data.size() + 8);
    event.append("data: ").append(data).append("\n\n");
    return event;
}

} // namespace currantstack
