// Finds out whether the process that has begun to answer a request is the one that the engine's entry names.
#pragma once

#include "currantstack/decisions/run_owner.h"
#include "currantstack/edge/context.h"

namespace currantstack
{

/// Verifies one run, by reports of its engine that are asked for after the answer has begun.
class RunVerification : public std::enable_shared_from_this<RunVerification>
{
public:
    /// Runs once after `start` has returned, unless the verification is cancelled.
    using Done = std::function<void(RunOwner owner)>;

    RunVerification(EdgeContext &context, Upstream engine, std::string requestId, Done done)
        : m_context(context)
        , m_engine(std::move(engine))
        , m_requestId(std::move(requestId))
        , m_done(std::move(done))
        , m_startedAt(context.clock.now())
    { }

    auto start() -> void;
    auto cancel() -> void;

private:
    auto askForReport() -> void;
    auto onReport(const Result<HttpResponse> &result, TimePoint askedAt) -> void;
    auto processOf(const HttpResponse &report) const -> ReportedProcess;
    auto judge() -> void;

    EdgeContext &m_context;
    Upstream m_engine;
    std::string m_requestId;
    Done m_done;
    TimePoint m_startedAt;
    RunEvidence m_evidence;
    HttpClient::CallId m_call = 0;
};

} // namespace currantstack
