#include "currantstack/edge/forwarding.h"

namespace currantstack
{

namespace
{

auto impliesNotRun(int status) -> bool
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
    call.connectTimeout = ConnectTimeout;
    call.exactHeaders = true;
    // A reused connection may be dead or hold a late answer to an earlier request, and libcurl repeats a request on a dead connection.
    call.freshConnection = true;
    call.closeAfterwards = true;
    call.step = spec.prefillOnly ? "prefill" : "forward";
    call.peer = upstream.id;
    return call;
}

auto classifyHead(int status, const AnswerHead &head) -> SendOutcome
{
    if (head.notRun || status == MisdirectedRequest) {
        return SendOutcome::NotRun;
    }
    return mayForward(status, head) ? SendOutcome::Answered : SendOutcome::Unknown;
}

auto classifyError(const Error &error) -> SendOutcome
{
    return error.code == ErrorCode::Unreachable ? SendOutcome::NotSent : SendOutcome::Unknown;
}

auto mayForward(int status, const AnswerHead &head) -> bool
{
    return head.fromUpstream && head.matchesRequest && !head.encoded && !impliesNotRun(status);
}

auto respondWithError(EdgeContext &context, const IncomingRequest &request, const Attempt &attempt, bool timedOut, std::string_view reason,
                      Duration retryAfter) -> void
{
    const auto answer = attempt.giveUp(timedOut);
    HttpResponse response;
    switch (answer) {
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
    context.counters.at(answer == FinalAnswer::Refused ? "requests_refused" : "requests_failed").add();
    context.log.write("forward", "request_given_up",
                      {{"request", request.metadata.requestId},
                       {"route", request.route->name},
                       {"status", response.status},
                       {"reason", reason},
                       {"sends", attempt.sends()},
                       {"retry_after_ms", answer == FinalAnswer::Refused ? toMilliseconds(retryAfter) : 0.0},
                       {"age_ms", toMilliseconds(context.clock.now() - request.arrivedAt)},
                       {"routes_version", request.routeTable->version}});
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
