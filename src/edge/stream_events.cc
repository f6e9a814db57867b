// The events of a decode call: passes them on in order, and gives up a run that has lost some.
#include "event_order.h"
#include "stream_request.h"

namespace currantstack
{

auto StreamRequest::onEvent(const RawEvent &event) -> void
{
    if (m_done || !m_disorder.empty()) {
        return;
    }
    if (event.isEmpty) {
        m_fillerBytes += event.bytes.size();
        if (m_headSent) {
            m_request.exchange->write(event.bytes);
        } else {
            m_heldFiller.append(event.bytes);
        }
        return;
    }
    if (!event.id || !m_sequence.lastId() || *event.id > *m_sequence.lastId()) {
        recordCutEnd();
    }
    if (!isInOrder(event)) {
        return;
    }
    m_mayHaveEnded = false;
    m_fillerBytes = 0;
    const auto now = m_context.clock.now();
    if (!m_headSent) {
        onFirstEvent();
    } else {
        m_context.latencies.record("event_gap", now - m_lastEventAt);
        m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
    }
    if (!m_begunAt) {
        m_lastWriter = m_decodeEngine;
        m_isWriterVerified = m_isRunVerified;
        m_isWriterAsked = false;
        m_otherWriterAt.reset();
    }
    recordSurvival();
    releasePromptTokens();
    m_lastEventAt = now;
    ++m_events;
    growDecodeClaim();
    m_request.exchange->write(event.bytes);
    restartStallTimer();
}

/// Returns whether the event is the next one for the caller. Marks the run as broken if it has lost events.
auto StreamRequest::isInOrder(const RawEvent &event) -> bool
{
    if (event.id && m_events == 0 && !m_sequence.lastId()) {
        auto &pattern = m_context.eventIds[m_decodeEngine.service];
        if (const auto gap = pattern.gapBeforeFirst(*event.id); gap && !passesGap(event, *gap)) {
            return false;
        }
        pattern.onFirst(m_decodeEngine.id, *event.id);
    }
    switch (m_sequence.onEvent(event.id)) {
    case EventPlace::Next:
        if (event.id && m_begunAt) {
            m_context.eventIds[m_decodeEngine.service].onStep(m_decodeEngine.id);
        }
        return true;
    case EventPlace::Received:
    case EventPlace::Repeated:
        return false;
    case EventPlace::Regressed:
        logDisorder(m_context, "stream", EventPlace::Regressed, name(GapVerdict::BreakOff), disorderFields(event));
        m_disorder = RegressionReason;
        return false;
    case EventPlace::Gap:
        break;
    }
    if (!passesGap(event, {*m_sequence.lastId(), *event.id})) {
        return false;
    }
    m_sequence.passGap(*event.id);
    return true;
}

/// Returns whether the caller gets the event after the gap. Marks the run as broken if it has lost events.
auto StreamRequest::passesGap(const RawEvent &event, const IdGap &gap) -> bool
{
    auto &pattern = m_context.eventIds[m_decodeEngine.service];
    const auto verdict = pattern.onGap(m_decodeEngine.id, gap, m_brokenGap);
    auto fields = disorderFields(event);
    fields["id_steps"] = pattern.steps();
    fields["id_gaps"] = pattern.gaps();
    fields["in_earlier_run"] = m_brokenGap == gap;
    logDisorder(m_context, "stream", EventPlace::Gap, name(verdict), std::move(fields));
    if (verdict == GapVerdict::BreakOff) {
        m_brokenGap = gap;
        m_disorder = GapReason;
    }
    return verdict == GapVerdict::Pass;
}

auto StreamRequest::disorderFields(const RawEvent &event) const -> LogFields
{
    return {{"request", m_request.metadata.requestId},
            {"service", m_decodeEngine.service},
            {"engine", m_decodeEngine.id},
            {"id", eventField(event.id)},
            {"after_event", eventField(m_sequence.lastId())},
            {"first_of_run", !m_begunAt.has_value()},
            {"events", m_events},
            {"sends", m_attempts.count()}};
}

auto StreamRequest::onFirstEvent() -> void
{
    const auto now = m_context.clock.now();
    m_headSent = true;
    m_version = softwareVersionKey(m_decodeEngine);
    m_context.originHooks.announce(firstAttemptId(), m_decodeEngine.service, m_version);
    if (m_context.draining) {
        m_answerHeaders.push_back({"Connection", "close"});
    }
    m_request.exchange->beginStream(m_answerStatus, m_answerHeaders);
    if (!m_heldFiller.empty()) {
        m_request.exchange->write(std::exchange(m_heldFiller, {}));
    }
    m_timeToFirstEvent = now - m_request.arrivedAt;
    m_context.latencies.record("first_event", m_timeToFirstEvent);
    if (m_kvSource.empty()) {
        const auto distance = m_context.settings.places.distance(m_context.settings.place, m_decodeEngine.place);
        m_context.speedsOf(m_request.service).observeMixedPrefill(m_queuedPromptTokens, now - m_sentAt - 2 * roundTripTime(distance));
    }
    m_context.log.write("stream", "first_event",
                        {{"request", m_request.metadata.requestId},
                         {"engine", m_decodeEngine.id},
                         {"software_version", m_decodeEngine.softwareVersion},
                         {"read_there", m_kvSource.empty()},
                         {"age_ms", toMilliseconds(now - m_request.arrivedAt)},
                         {"expected_ms", toMilliseconds(m_expectedFirstEvent)}});
}

} // namespace currantstack
