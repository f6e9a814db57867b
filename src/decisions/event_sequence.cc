#include "currantstack/decisions/event_sequence.h"

namespace currantstack
{

auto EventSequence::onEvent(std::optional<std::int64_t> id) -> EventPlace
{
    const auto place = placeOf(id);
    m_dropped += place == EventPlace::Received || place == EventPlace::Repeated ? 1 : 0;
    return place;
}

auto EventSequence::placeOf(std::optional<std::int64_t> id) -> EventPlace
{
    if (!id) {
        if (m_isBehind) {
            return EventPlace::Received;
        }
        ++m_unnumbered;
        return EventPlace::Next;
    }
    if (m_lastId && *id <= *m_lastId) {
        if (m_runHasIds) {
            return *id < *m_lastId ? EventPlace::Regressed : EventPlace::Repeated;
        }
        m_isBehind = *id < *m_lastId;
        return EventPlace::Received;
    }
    // Whether events without an id are counted is not known. The difference of the ids may exceed a signed number.
    if (m_lastId && static_cast<std::uint64_t>(*id) - static_cast<std::uint64_t>(*m_lastId) - 1 > m_unnumbered) {
        return EventPlace::Gap;
    }
    record(*id);
    return EventPlace::Next;
}

auto EventSequence::passGap(std::int64_t id) -> void
{
    record(id);
    ++m_gaps;
}

auto EventSequence::record(std::int64_t id) -> void
{
    m_lastId = id;
    m_unnumbered = 0;
    m_runHasIds = true;
    m_isBehind = false;
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
