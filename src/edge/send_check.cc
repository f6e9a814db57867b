#include "currantstack/edge/send_check.h"

namespace currantstack
{

auto sendBlockOf(const EdgeContext &context, const Upstream &upstream) -> SendBlock
{
    const auto now = context.clock.now();
    UpstreamStanding standing;
    standing.entry = context.directory.find(upstream.id);
    // Only engines are avoided on the word of other VMs.
    standing.peerAnnouncedLeaving =
        upstream.role != EngineRole::None && context.storeUnreachable && context.exclusions.isAnnouncedDraining(upstream.id, now);
    standing.announcedLeaving = context.notices.isLeaving(upstream);
    standing.paused = context.notices.pauseLeft(upstream, now) > Duration::zero();
    return findSendBlock(upstream, standing);
}

auto maySend(EdgeContext &context, const IncomingRequest &request, const Upstream &upstream, std::string_view way, TimePoint chosenAt)
    -> bool
{
    const auto block = sendBlockOf(context, upstream);
    if (block == SendBlock::None) {
        return true;
    }
    const auto *entry = context.directory.find(upstream.id);
    context.counters.at(fmt::format("sends_prevented{{way=\"{}\",reason=\"{}\"}}", way, name(block))).add();
    context.log.write("forward", "send_prevented",
                      {{"request", request.metadata.requestId},
                       {"upstream", upstream.id},
                       {"way", way},
                       {"reason", name(block)},
                       {"chosen_ms_ago", toMilliseconds(context.clock.now() - chosenAt)},
                       {"chosen_revision", upstream.revision},
                       {"revision", entry == nullptr ? 0 : entry->revision},
                       {"store_unreachable", context.storeUnreachable}});
    return false;
}

} // namespace currantstack
