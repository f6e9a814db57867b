#include "currantstack/decisions/event_sequence.h"

#include <limits>

namespace currantstack
{

auto EventSequence::onEvent(std::optional<std::int64_t> id) -> EventPlace
{
    if (!id) {
        m_lastId = m_lastId.value_or(0) + (m_lastId == std::numeric_limits<std::int64_t>::max() ? 0 : 1);
        m_runHasEvents = true;
        return EventPlace::Next;
    }
    if (m_lastId && *id < *m_lastId) {
        return m_runHasEvents ? EventPlace::Regressed : EventPlace::Received;
    }
    if (m_lastId && *id == *m_lastId) {
        return m_runHasEvents ? EventPlace::Repeated : EventPlace::Received;
    }
    if (m_lastId && *id - 1 != *m_lastId) {
        return EventPlace::Gap;
    }
    m_lastId = id;
    m_runHasEvents = true;
    return EventPlace::Next;
}

auto EventSequence::passGap(std::int64_t id) -> void
{
    m_lastId = id;
    m_runHasEvents = true;
    ++m_gaps;
}

auto name(EventPlace place) -> std::string_view
{
    switch (place) {
    case EventPlace::Next:
        return "next";
    case EventPlace::Received:
        return "received";
    case EventPlace::Repeated:
        return "repeated";
    case EventPlace::Regressed:
        return "regressed";
    case EventPlace::Gap:
        break;
    }
    return "gap";
}

} // namespace currantstack
