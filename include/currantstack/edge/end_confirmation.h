// Holds the end of an answer back until its upstream is known to have outlived it.
#pragma once

#include "currantstack/decisions/answer_end.h"
#include "currantstack/edge/context.h"

namespace currantstack
{

/// Confirms the end of one answer that neither a length nor chunks mark, or of a stream whose engine leaves.
class EndConfirmation : public std::enable_shared_from_this<EndConfirmation>
{
public:
    /// `isComplete`: the upstream has outlived its answer. Runs once after `start` has returned, unless it is cancelled.
    using Done = std::function<void(bool isComplete)>;

    /// The answer of the upstream has just ended. `mayRepeat`: another upstream may take over if the end is doubtful.
    EndConfirmation(EdgeContext &context, Upstream upstream, std::string requestId, bool mayRepeat, Done done)
        : m_context(context)
        , m_upstream(std::move(upstream))
        , m_requestId(std::move(requestId))
        , m_done(std::move(done))
        , m_endedAt(context.clock.now())
    {
        m_evidence.isStream = m_upstream.role != EngineRole::None;
        m_evidence.mayRepeat = mayRepeat;
    }

    auto start() -> void;
    auto cancel() -> void;

private:
    auto wait(Duration time) -> void;
    auto onTimer() -> void;
    auto isReplaced() const -> bool;
    auto awaitsEntry() const -> bool;
    auto judge() -> void;
    auto trialCall() const -> HttpCall;
    auto tryConnection() -> void;
    auto onTried(const Result<HttpResponse> &result, TimePoint openedAt) -> void;
    auto onProbed(const HttpResponse &response, TimePoint openedAt) -> ConnectionTrial;

    EdgeContext &m_context;
    Upstream m_upstream;
    std::string m_requestId;
    Done m_done;
    TimePoint m_endedAt;
    Duration m_settleTime = EndSettleTime; // after which an upstream that still answers has outlived its answer
    TimePoint m_dueAt; // of the timer
    AnswerEndEvidence m_evidence;
    std::optional<TimePoint> m_answeredAt; // first answer of a probe after the last that had none
    HttpClient::CallId m_call = 0;
    bool m_sendsProbe = false; // with the trial in flight
    std::unique_ptr<Timer> m_timer;
};

/// Returns the error of a call whose answer's end is doubtful.
auto doubtfulEndError(const Upstream &upstream) -> Error;

} // namespace currantstack
