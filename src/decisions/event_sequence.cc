#include "currantstack/decisions/event_sequence.h"

namespace currantstack
{

auto EventSequence::onEvent(std::optional<std::int64_t> id) -> EventPlace
{
    if (!id) {
        m_lastId = m_lastId.value_or(0) + 1;
        m_runHasEvents = true;
        return EventPlace::Next;
    }
    if (m_lastId && *id < *m_lastId) {
        m_regressed += m_runHasEvents ? 1 : 0;
        return m_runHasEvents ? EventPlace::Regressed : EventPlace::Received;
    }
    if (m_lastId && *id == *m_lastId) {
        return m_runHasEvents ? EventPlace::Repeated : EventPlace::Received;
    }
    const bool isGap = m_lastId && *id - *m_lastId > 1;
    m_gaps += isGap ? 1 : 0;
    m_lastId = id;
    m_runHasEvents = true;
    return isGap ? EventPlace::Gap : EventPlace::Next;
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
