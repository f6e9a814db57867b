#include "currantstack/edge/run_verification.h"

#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/upstream_links.h"

namespace currantstack
{

namespace
{

constexpr Duration ReportTimeout = milliseconds(400); // of one report
constexpr Duration ReportPause = milliseconds(50); // between two reports

} // namespace

auto RunVerification::start() -> void
{
    m_evidence.namesStart = m_engine.startedAtMs != 0;
    askForReport();
}

auto RunVerification::cancel() -> void
{
    m_done = nullptr;
    m_context.client.cancel(std::exchange(m_call, 0));
}

auto RunVerification::askForReport() -> void
{
    if (!m_done) {
        return;
    }
    ++m_evidence.reports;
    auto call = m_context.protocol.probeCall(m_engine, "");
    call.connectTimeout = ReportTimeout;
    call.totalTimeout = ReportTimeout;
    call.step = "verify run";
    HttpHandlers handlers;
    handlers.onDone = [self = shared_from_this(), askedAt = m_context.clock.now()](const Result<HttpResponse> &result) {
        self->onReport(result, askedAt);
    };
    m_call = m_context.client.start(std::move(call), std::move(handlers));
}

auto RunVerification::onReport(const Result<HttpResponse> &result, TimePoint askedAt) -> void
{
    m_call = 0;
    if (!m_done) {
        return;
    }
    if (result) {
        recordReached(m_context, m_engine, askedAt);
    } else {
        recordFailedLink(m_context, m_engine, result.error(), askedAt);
    }
    m_evidence.report = result ? processOf(*result) : ReportedProcess::NoAnswer;
    if (m_evidence.report == ReportedProcess::Other) {
        m_context.reach.onOtherAnswered(m_engine, m_context.clock.now());
        recordEnd(m_context, m_engine);
    }
    judge();
}

auto RunVerification::processOf(const HttpResponse &report) const -> ReportedProcess
{
    if (m_context.protocol.responderOf(report, m_engine) == Responder::Other) {
        return ReportedProcess::Other;
    }
    // A refusal may be the engine's as well, but names no start.
    return m_context.protocol.parseReport(report) ? ReportedProcess::Same : ReportedProcess::Unidentified;
}

auto RunVerification::judge() -> void
{
    m_evidence.entry = entryStateOf(m_context, m_engine);
    const auto owner = judgeRunOwner(m_evidence);
    if (owner == RunOwner::Undecided) {
        m_context.loop.after(ReportPause, [self = shared_from_this()]() { self->askForReport(); });
        return;
    }
    m_context.counters.at(fmt::format("runs_verified{{owner=\"{}\"}}", name(owner))).add();
    m_context.log.write("stream", "run_verified",
                        {{"request", m_requestId},
                         {"engine", m_engine.id},
                         {"software_version", m_engine.softwareVersion},
                         {"started_ms", m_engine.startedAtMs},
                         {"entry", name(m_evidence.entry)},
                         {"report", m_evidence.report ? name(*m_evidence.report) : "none"},
                         {"reports", m_evidence.reports},
                         {"took_ms", toMilliseconds(m_context.clock.now() - m_startedAt)},
                         {"owner", name(owner)}});
    const auto done = std::exchange(m_done, nullptr);
    done(owner);
}

} // namespace currantstack
