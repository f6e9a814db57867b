#include "currantstack/edge/notice_observer.h"

#include "currantstack/edge/forwarding.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxLoggedValue = 100; // bytes
// Bounds of the range over which the callers that were refused for a pause come back, and its share of the pause.
constexpr Duration ShortestSpread = milliseconds(100);
constexpr Duration LongestSpread = seconds(1);
constexpr double SpreadShare = 0.2;

auto observeLeaving(EdgeContext &context, const Upstream &upstream, int status) -> void
{
    const auto now = context.clock.now();
    if (!context.notices.onLeaving(upstream, now)) {
        return;
    }
    context.exclusions.add({upstream.id, ExclusionReason::Draining, EngineRole::None, ExclusionList::DrainingLifetime}, now);
    const auto *entry = context.directory.find(upstream.id);
    context.counters.at("upstreams_announced_leaving").add();
    context.log.write("notices", "upstream_announced_leaving",
                      {{"upstream", upstream.id},
                       {"service", upstream.service},
                       {"started_at_ms", upstream.startedAtMs},
                       {"status", status},
                       {"entry_draining", entry == nullptr || entry->draining},
                       {"store_unreachable", context.storeUnreachable}});
}

auto observePause(EdgeContext &context, const Upstream &upstream, const NamedPause &pause) -> void
{
    const auto value = pause.text.substr(0, MaxLoggedValue);
    if (!pause.duration || *pause.duration > UpstreamNotices::LongestPause) {
        context.counters.at("pauses_unreadable").add();
        context.log.write("notices", "pause_unreadable",
                          {{"upstream", upstream.id}, {"value", value}, {"outcome", pause.duration ? "shortened" : "ignored"}});
    }
    const auto now = context.clock.now();
    if (pause.duration && context.notices.onPause(upstream, *pause.duration, now)) {
        context.counters.at("upstream_pauses").add();
        context.log.write("notices", "upstream_pauses",
                          {{"upstream", upstream.id},
                           {"service", upstream.service},
                           {"value", value},
                           {"pause_ms", toMilliseconds(context.notices.pauseLeft(upstream, now))}});
    }
}

} // namespace

auto observeNotices(EdgeContext &context, const Upstream &upstream, int status, const AnswerHead &head) -> void
{
    if (status == MisdirectedRequest) {
        context.reach.onOtherAnswered(upstream, context.clock.now());
    }
    if (status == MisdirectedRequest || head.namesOtherRequest) {
        return;
    }
    if (head.leaving) {
        observeLeaving(context, upstream, status);
    }
    if (!head.pause.text.empty()) {
        observePause(context, upstream, head.pause);
    }
}

auto observeNotices(EdgeContext &context, const Upstream &upstream, const Result<HttpResponse> &result) -> void
{
    if (result) {
        observeNotices(context, upstream, result->status, context.protocol.parseHead(result->status, result->headers, {}));
    }
}

auto startRelease(EdgeContext &context, const Upstream &upstream, HttpCall call) -> void
{
    if (context.notices.pauseLeft(upstream, context.clock.now()) > Duration::zero()) {
        return;
    }
    HttpHandlers handlers;
    handlers.onDone = [&context, upstream](const Result<HttpResponse> &result) { observeNotices(context, upstream, result); };
    context.client.start(std::move(call), std::move(handlers));
}

auto mayGetRequest(const EdgeContext &context, const Upstream &upstream) -> bool
{
    return context.notices.mayGetRequest(upstream, context.clock.now());
}

auto pauseOf(const EdgeContext &context, std::string_view service, const UpstreamFilter &filter) -> Duration
{
    auto shortest = Duration::max();
    for (const auto *upstream : context.directory.usable(service)) {
        if (filter(*upstream) && !context.notices.isLeaving(*upstream)) {
            shortest = std::min(shortest, context.notices.pauseLeft(*upstream, context.clock.now()));
        }
    }
    return shortest == Duration::max() ? Duration::zero() : shortest;
}

auto retryAfterPause(EdgeContext &context, Duration pause) -> Duration
{
    const auto spreadMs = std::clamp(SpreadShare * toMilliseconds(pause), toMilliseconds(ShortestSpread), toMilliseconds(LongestSpread));
    return pause + fromMilliseconds(std::uniform_real_distribution<double>(0, spreadMs)(context.random));
}

auto logRefusalForPause(EdgeContext &context, const IncomingRequest &request, Duration pause, Duration retryAfter) -> void
{
    context.counters.at("requests_refused_for_pauses").add();
    context.log.write("notices", "request_refused_for_pause",
                      {{"request", request.metadata.requestId},
                       {"service", request.service},
                       {"pause_ms", toMilliseconds(pause)},
                       {"retry_after_ms", toMilliseconds(retryAfter)}});
}

} // namespace currantstack
