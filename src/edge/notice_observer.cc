#include "currantstack/edge/notice_observer.h"

#include "currantstack/edge/forwarding.h"

namespace currantstack
{

namespace
{

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

} // namespace

auto observeNotices(EdgeContext &context, const Upstream &upstream, int status, const AnswerHead &head) -> void
{
    if (status == MisdirectedRequest || head.namesOtherRequest) {
        return;
    }
    if (head.leaving) {
        observeLeaving(context, upstream, status);
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
    HttpHandlers handlers;
    handlers.onDone = [&context, upstream](const Result<HttpResponse> &result) { observeNotices(context, upstream, result); };
    context.client.start(std::move(call), std::move(handlers));
}

auto mayGetRequest(const EdgeContext &context, const Upstream &upstream) -> bool
{
    return context.notices.mayGetRequest(upstream);
}

} // namespace currantstack
