// The prompt is read at a prefill engine, whose result the decode engine takes.
#include "stream_request.h"

namespace currantstack
{

namespace
{

// A prefill that takes longer than expected by this factor and margin is left; the decode engine then reads the prompt itself.
constexpr double PatienceFactor = 2;
constexpr Duration PatienceMargin = milliseconds(250); // of steps that other work stretches

} // namespace

auto StreamRequest::startPrefill() -> void
{
    m_tokensAhead = m_context.loads.total(m_prefillEngine.id, m_context.clock.now()).promptTokens;
    m_sentAt = m_context.clock.now();
    ForwardSpec spec;
    spec.prefillOnly = true;
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this()](Result<HttpResponse> result) { self->onPrefilled(std::move(result)); };
    m_prefillCall = m_context.client.start(upstreamCall(m_context, m_request, m_prefillEngine, spec), std::move(handlers));
    m_prefillLimit = m_context.loop.timer([self = shared_from_this()]() { self->leavePrefill("no answer in time"); });
    m_prefillLimit->startOnce(fromMilliseconds(PatienceFactor * toMilliseconds(m_expectedRead)) + PatienceMargin);
}

auto StreamRequest::onPrefilled(Result<HttpResponse> result) -> void
{
    if (m_done || m_prefillCall == 0) {
        return;
    }
    const auto now = m_context.clock.now();
    m_prefillCall = 0;
    if (result && takeHandle(*result)) {
        const auto took = now - m_sentAt;
        const auto reach = m_context.settings.places.between(m_context.settings.place, m_prefillEngine.place);
        m_context.latencies.record("prefill", took);
        m_context.speedsOf(m_request.service).observePrefill(m_tokensAhead, took - 2 * roundTrip(reach));
        m_context.health.observe(m_prefillEngine.id, toMilliseconds(took) / std::max(1.0, toMilliseconds(m_expectedRead)), now);
        m_prefillLimit->stop();
        release(m_prefillBooking);
        startDecode();
        return;
    }
    const auto outcome = result ? SendOutcome::NotRun : judgeError(result.error());
    if (outcome != SendOutcome::NotSent) {
        m_context.retries.take(m_request.service, now); // a refused call counts, whether or not it is repeated
    }
    leavePrefill(result ? fmt::format("status {}", result->status) : describe(result.error()));
}

auto StreamRequest::takeHandle(const HttpResponse &response) -> bool
{
    if (response.status != 200) {
        return false;
    }
    const auto prefilled = m_context.protocol.readPrefill(response.body);
    if (!prefilled) {
        m_context.log.write(
            "stream", "prefill_unreadable",
            {{"request", m_request.facts.requestId}, {"engine", m_prefillEngine.id}, {"error", describe(prefilled.error())}});
        return false;
    }
    m_handle = prefilled->handle;
    m_kvSource = m_prefillEngine.address + "/" + prefilled->handle;
    return true;
}

auto StreamRequest::leavePrefill(std::string_view reason) -> void
{
    if (m_done || m_decoding) {
        return;
    }
    m_prefillLimit->stop();
    m_context.client.cancel(std::exchange(m_prefillCall, 0));
    m_context.health.observeFailure(m_prefillEngine.id, m_context.clock.now());
    m_context.counters.at("prefills_left").add();
    m_context.log.write("stream", "prefill_left",
                        {{"request", m_request.facts.requestId},
                         {"engine", m_prefillEngine.id},
                         {"reason", reason},
                         {"took_ms", toMilliseconds(m_context.clock.now() - m_sentAt)},
                         {"expected_ms", toMilliseconds(m_expectedRead)}});
    release(m_prefillBooking);
    m_kvSource.clear();
    // The prompt is now read where the events are made; another engine may have a shorter queue by now.
    if (const auto direct = plan(m_prefillEngine.id); direct) {
        dropReservation();
        m_decodeEngine = *direct->decode;
        m_expectedFirst = direct->firstToken;
        bookDecode(true);
        startDecode();
        return;
    }
    giveUp(false, "no engine has room", retryDelay());
}

auto StreamRequest::freeHandle() -> void
{
    if (m_handle.empty()) {
        return;
    }
    m_context.client.start(m_context.protocol.freeHandle(m_prefillEngine, std::exchange(m_handle, {})), {});
}

} // namespace currantstack
