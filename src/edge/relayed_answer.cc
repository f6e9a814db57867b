// The answer that another VM sends for a relayed request.
#include "event_order.h"
#include "relayed_request.h"

namespace currantstack
{

namespace
{

constexpr std::size_t MaxCallerBacklog = 4U << 20; // bytes of events that the caller has not read
constexpr std::size_t MaxErrorBody = 1U << 20; // bytes

} // namespace

auto RelayedRequest::classify(int status, const Headers &headers) const -> AttemptOutcome
{
    if (!findHeader(headers, RelayRefusedHeader).empty()) {
        return AttemptOutcome::NotSent;
    }
    const auto head = m_context.protocol.parseHead(status, headers, m_request.metadata);
    const bool isSuccess = status >= 200 && status < 300;
    // The other VM had not all attempts, so a third one may go on where it gave up.
    const bool isGivenUp = m_isStream && status == 502 && !head.fromUpstream;
    return isGivenUp || (isSuccess && !mayForward(status, head)) ? AttemptOutcome::Unknown : AttemptOutcome::Answered;
}

/// Takes over what the other VM tells of the calls that it has made.
auto RelayedRequest::readCalls(const Headers &headers) -> void
{
    const auto value = findHeader(headers, RelayCallsHeader);
    if (value.empty()) {
        return;
    }
    const auto calls = decodeRelayCalls(value);
    if (!calls) {
        m_context.log.write("relay", "calls_unreadable", {{"request", m_request.metadata.requestId}, {"error", describe(calls.error())}});
        return;
    }
    m_callsReported = true;
    m_request.calls.onReported(*calls);
}

auto RelayedRequest::answerHeaders(const Headers &headers) const -> Headers
{
    auto result = m_context.protocol.answerHeaders(headers);
    std::erase_if(result, [](const auto &header) { return header.name == RelayCallsHeader; });
    if (m_context.draining) {
        result.push_back({"Connection", "close"});
    }
    return result;
}

auto RelayedRequest::onHead(int status, const Headers &headers) -> void
{
    if (m_done || m_call == 0) {
        return;
    }
    readCalls(headers);
    const auto outcome = classify(status, headers);
    if (outcome != AttemptOutcome::Answered || (status != 200 && m_headSent)) {
        const bool isNotRun = outcome == AttemptOutcome::NotSent || status == 503;
        onBroken(isNotRun ? AttemptOutcome::NotSent : AttemptOutcome::Unknown, fmt::format("status {}", status));
        return;
    }
    m_headRead = true;
    m_answer = {status, answerHeaders(headers), ""};
}

auto RelayedRequest::onData(std::string_view data) -> void
{
    if (m_done || m_call == 0 || !m_headRead) {
        return;
    }
    if (m_answer.status != 200) {
        if (m_answer.body.size() + data.size() > MaxErrorBody) {
            onBroken(AttemptOutcome::Unknown, "the error response is too long");
            return;
        }
        m_answer.body.append(data);
        return;
    }
    const bool isWithinLimit = m_splitter.feed(data, [this](const RawEvent &event) { onEvent(event); });
    if (m_isDisordered) {
        onBroken(AttemptOutcome::Unknown, RegressionReason);
    } else if (!isWithinLimit) {
        onBroken(AttemptOutcome::Unknown, "an event exceeds the size limit");
    } else if (m_fillerBytes > EventSplitter::MaxEventBytes) {
        onBroken(AttemptOutcome::Unknown, "the stream has no events");
    } else if (!m_done && m_request.exchange->hasBacklog(MaxCallerBacklog)) {
        fail(false, "the caller reads too slowly");
    }
}

auto RelayedRequest::onEvent(const RawEvent &event) -> void
{
    if (m_done || m_call == 0 || m_isDisordered) {
        return;
    }
    if (event.isEmpty && !m_headSent) {
        m_heldFiller.append(event.bytes);
        m_fillerBytes += event.bytes.size();
        return;
    }
    if (event.isEmpty) {
        m_fillerBytes += event.bytes.size();
        m_request.exchange->write(event.bytes);
        return;
    }
    const auto place = m_sequence.onEvent(event.id);
    if (place == EventPlace::Received || place == EventPlace::Repeated) {
        return;
    }
    if (place == EventPlace::Regressed || place == EventPlace::Gap) {
        m_isDisordered = place == EventPlace::Regressed;
        logDisorder(m_context, "relay", place, name(m_isDisordered ? GapVerdict::BreakOff : GapVerdict::Pass),
                    {{"request", m_request.metadata.requestId},
                     {"through", m_vm},
                     {"id", eventField(event.id)},
                     {"after_event", eventField(m_sequence.lastId())},
                     {"events", m_events}});
    }
    if (m_isDisordered) {
        return;
    }
    if (place == EventPlace::Gap) {
        m_sequence.passGap(*event.id); // the other VM decides whether gaps of the service show a loss
    }
    m_fillerBytes = 0;
    beginStream();
    m_request.exchange->write(event.bytes);
    ++m_events;
    restartEventTimer();
}

/// Sends the head and what preceded the first event, unless the caller has them.
auto RelayedRequest::beginStream() -> void
{
    if (std::exchange(m_headSent, true)) {
        return;
    }
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_request.exchange->beginStream(m_answer.status, m_answer.headers);
    if (!m_heldFiller.empty()) {
        m_request.exchange->write(std::exchange(m_heldFiller, {}));
    }
    m_context.latencies.record("first_event", age);
    m_context.log.write("relay", "first_event",
                        {{"request", m_request.metadata.requestId}, {"through", m_vm}, {"age_ms", toMilliseconds(age)}});
}

auto RelayedRequest::onDone(const Result<HttpResponse> &result) -> void
{
    if (m_done || m_call == 0) {
        return;
    }
    if (!result) {
        if (result.error().connectionRefused) {
            m_context.relayHooks.onConnectionRefused(m_vm);
        }
        onBroken(classifyError(result.error()), describe(result.error()));
        return;
    }
    if (m_isStream && m_answer.status == 200) {
        if (m_splitter.hasPartial()) {
            onBroken(AttemptOutcome::Unknown, "the stream ends inside an event");
            return;
        }
        endCall();
        beginStream();
        m_request.exchange->end();
        logAnswer(200);
        finish();
        return;
    }
    if (!m_isStream) {
        readCalls(result->headers);
    }
    const auto outcome = m_isStream ? AttemptOutcome::Answered : classify(result->status, result->headers);
    if (outcome != AttemptOutcome::Answered) {
        onBroken(outcome, fmt::format("status {}", result->status));
        return;
    }
    onAnswer(m_isStream ? std::move(m_answer) : HttpResponse{result->status, answerHeaders(result->headers), result->body});
}

auto RelayedRequest::onAnswer(HttpResponse response) -> void
{
    endCall();
    const auto status = response.status;
    m_attempts.onOutcome(status == 503 ? AttemptOutcome::NotRun : AttemptOutcome::Answered, m_delegated);
    // An earlier VM may have sent the request, so that the last one's refusal does not hold for the whole request.
    if (status == 503 && m_attempts.errorAnswer(false) != ErrorAnswer::Refused) {
        fail(false, "another VM may have sent the request before");
        return;
    }
    m_request.exchange->respond(std::move(response));
    logAnswer(status);
    finish();
}

auto RelayedRequest::logAnswer(int status) -> void
{
    const auto age = m_context.clock.now() - m_request.arrivedAt;
    m_context.latencies.record(m_isStream ? "stream" : "service_answer", age);
    m_context.counters.at(status == 503 ? "requests_refused" : "requests_answered").add();
    m_context.log.write("relay", "request_answered",
                        {{"request", m_request.metadata.requestId},
                         {"through", m_vm},
                         {"status", status},
                         {"events", m_events},
                         {"last_event", eventField(m_sequence.lastId())},
                         {"dropped", m_sequence.dropped()},
                         {"vms_asked", m_tried.size()},
                         {"age_ms", toMilliseconds(age)}});
}

} // namespace currantstack
