#include "currantstack/edge/forwarding.h"

namespace currantstack
{

namespace
{

auto promisesNotRun(int status) -> bool
{
    return status == 408 || status == MisdirectedRequest || status == 429 || status == 503;
}

} // namespace

auto upstreamCall(const EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, ForwardSpec spec) -> HttpCall
{
    const auto &incoming = request.exchange->request();
    spec.instance = upstream.id;
    spec.timeLeft = request.deadline() - context.clock.now();
    HttpCall call;
    call.method = incoming.method;
    call.url = urlOf(upstream.address, "/");
    call.target = incoming.target;
    call.headers = context.protocol.forwardHeaders(incoming, spec);
    call.body = incoming.body;
    call.connectTimeout = ConnectLimit;
    call.exactHeaders = true;
    // A kept connection may have died unseen or hold an answer that came late, and libcurl repeats a request that meets a dead one.
    call.freshConnection = true;
    call.forbidReuse = true;
    call.step = spec.prefillOnly ? "prefill" : "forward";
    call.peer = upstream.id;
    return call;
}

auto judgeHead(int status, const AnswerHead &head) -> SendOutcome
{
    if (head.notRun || status == MisdirectedRequest) {
        return SendOutcome::NotRun;
    }
    return mayPassOn(status, head) ? SendOutcome::Answered : SendOutcome::Unknown;
}

auto judgeError(const Error &error) -> SendOutcome
{
    return error.code == ErrorCode::Unreachable ? SendOutcome::NotSent : SendOutcome::Unknown;
}

auto mayPassOn(int status, const AnswerHead &head) -> bool
{
    return head.stamped && head.ours && !head.encoded && !promisesNotRun(status);
}

auto answerFinally(EdgeContext &context, const IncomingRequest &request, const Attempt &attempt, bool timedOut, std::string_view reason,
                   Duration retryAfter) -> void
{
    const auto verdict = attempt.giveUp(timedOut);
    HttpResponse response;
    switch (verdict) {
    case FinalAnswer::Refused:
        response = context.protocol.refusal(retryAfter, reason);
        break;
    case FinalAnswer::BadGateway:
        response = {502, {{"Content-Type", "text/plain"}}, std::string(reason)};
        break;
    case FinalAnswer::TimedOut:
        response = {504, {{"Content-Type", "text/plain"}}, std::string(reason)};
        break;
    }
    context.counters.at(verdict == FinalAnswer::Refused ? "requests_refused" : "requests_failed").add();
    context.log.write("forward", "request_given_up",
                      {{"request", request.facts.requestId},
                       {"route", request.route->name},
                       {"status", response.status},
                       {"reason", reason},
                       {"sends", attempt.sends()},
                       {"retry_after_ms", verdict == FinalAnswer::Refused ? toMilliseconds(retryAfter) : 0.0},
                       {"age_ms", toMilliseconds(context.clock.now() - request.arrivedAt)},
                       {"routes_version", request.table->version}});
    request.exchange->respond(std::move(response));
}

auto name(SendOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case SendOutcome::NotSent:
        return "not_sent";
    case SendOutcome::NotRun:
        return "not_run";
    case SendOutcome::Answered:
        return "answered";
    case SendOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace currantstack
