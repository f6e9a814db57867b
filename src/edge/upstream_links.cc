#include "currantstack/edge/upstream_links.h"

namespace currantstack
{

namespace
{

auto groupOf(const EdgeContext &context, std::string_view service, EngineRole role) -> std::vector<const Upstream *>
{
    auto upstreams = context.directory.usable(service);
    std::erase_if(upstreams, [role](const auto *upstream) { return upstream->role != role; });
    return upstreams;
}

auto setCutOffCounter(EdgeContext &context, std::string_view service, EngineRole role, bool isCutOff) -> void
{
    context.counters.at(fmt::format("upstreams_cut_off{{service=\"{}\",role=\"{}\"}}", service, name(role))).set(isCutOff ? 1 : 0);
}

auto updateLinks(EdgeContext &context, const Upstream &upstream) -> void
{
    const auto group = groupOf(context, upstream.service, upstream.role);
    const auto change = context.reach.update(group, context.clock.now());
    if (!change) {
        return;
    }
    setCutOffCounter(context, upstream.service, upstream.role, change->isCutOff);
    context.log.write("links", change->isCutOff ? "upstreams_cut_off" : "upstreams_reached_again",
                      {{"service", upstream.service},
                       {"role", name(upstream.role)},
                       {"upstreams", change->upstreams},
                       {"of", group.size()},
                       {"oldest_ms", toMilliseconds(change->oldest)},
                       {"vms_that_reach_it", context.relayHooks.candidates ? context.relayHooks.candidates(upstream.service).size() : 0}});
    // Requests that wait for capacity go to another VM, or may be placed again.
    context.loop.defer([&context]() { context.pendingQueue.retryHeads(); });
}

/// Excludes the upstream unless its entry was replaced meanwhile. The other VMs verify the announcement.
auto excludeEnded(EdgeContext &context, const Upstream &upstream, bool isProved) -> void
{
    const auto now = context.clock.now();
    const auto *entry = context.directory.find(upstream.id);
    if (entry != nullptr && incarnationOf(*entry) == incarnationOf(upstream)) {
        context.exclusions.add({upstream.id, ExclusionReason::Outdated, EngineRole::None, ExclusionList::OutdatedLifetime}, now);
        context.log.write("links", "entry_outdated", {{"upstream", upstream.id}, {"service", upstream.service}, {"proved", isProved}});
    }
}

/// Records that the upstream's host refuses this VM, which reaches others of the service.
auto recordRefusal(EdgeContext &context, const Upstream &upstream) -> void
{
    const auto now = context.clock.now();
    const bool isProved = context.endEvidence.onRefused(upstream, context.mayHaveWitnesses(), now);
    if (isProved) {
        context.crashDetector.onEndProved(incarnationOf(upstream), now);
    }
    excludeEnded(context, upstream, isProved);
}

} // namespace

auto recordEnd(EdgeContext &context, const Upstream &upstream) -> void
{
    context.crashDetector.onEndProved(incarnationOf(upstream), context.clock.now());
    excludeEnded(context, upstream, true);
}

auto recordWitness(EdgeContext &context, std::string_view upstream) -> void
{
    const auto now = context.clock.now();
    if (const auto ended = context.endEvidence.onWitness(upstream, now)) {
        context.crashDetector.onEndProved(incarnationOf(*ended), now);
    }
}

auto recordHeard(EdgeContext &context, const Upstream &upstream) -> void
{
    context.silence.onHeard(upstream.id, context.clock.now());
    context.exclusions.onHeard(upstream.id);
}

auto recordUnanswered(EdgeContext &context, const Upstream &upstream, TimePoint sentAt) -> void
{
    const auto now = context.clock.now();
    // Plain upstreams may answer only when a slot is free. A VM that is cut off would suspect all upstreams.
    if (upstream.role == EngineRole::None || context.reach.isCutOff(upstream.service, upstream.role)
        || !context.silence.onUnanswered(upstream, sentAt, now)) {
        return;
    }
    context.exclusions.add({upstream.id, ExclusionReason::Silent, EngineRole::None, UpstreamSilence::SuspicionLifetime}, now);
    context.counters.at("calls_unanswered").add();
    context.log.write("links", "upstream_silent",
                      {{"upstream", upstream.id},
                       {"service", upstream.service},
                       {"unanswered", context.silence.unanswered(upstream.id)},
                       {"call_ms", toMilliseconds(now - sentAt)}});
}

auto entryStateOf(const EdgeContext &context, const Upstream &upstream) -> EntryState
{
    const auto *entry = context.directory.find(upstream.id);
    if (entry == nullptr) {
        return EntryState::Removed;
    }
    return entry->startedAtMs == upstream.startedAtMs ? EntryState::Present : EntryState::Replaced;
}

auto isAddressReused(const EdgeContext &context, const Upstream &upstream) -> bool
{
    bool result = false;
    context.directory.forEach([&](const Upstream &other) {
        const bool isNewer = other.startedAtMs > upstream.startedAtMs || other.revision > upstream.revision;
        const bool isOther = other.address == upstream.address && other.id != upstream.id;
        result = result || (isOther && isNewer && context.directory.isRecognized(other));
    });
    return result;
}

auto recordReached(EdgeContext &context, const Upstream &upstream, TimePoint openedAt) -> void
{
    recordHeard(context, upstream);
    context.endEvidence.onReached(upstream.id);
    for (const auto &ended : context.reach.onReached(upstream, openedAt)) {
        recordRefusal(context, ended);
    }
    if (context.reach.isCutOff(upstream.service, upstream.role)) {
        updateLinks(context, upstream);
    }
}

auto recordFailedCall(EdgeContext &context, const Upstream &upstream, const Error &error, TimePoint openedAt) -> void
{
    if (error.code == ErrorCode::Unreachable || error.connectionClosed || error.connectionRefused) {
        recordFailedLink(context, upstream, error, openedAt);
    } else {
        recordSilence(context, upstream, openedAt);
        recordUnanswered(context, upstream, openedAt);
    }
}

auto recordFailedLink(EdgeContext &context, const Upstream &upstream, const Error &error, TimePoint openedAt) -> void
{
    if (error.answerBegun) {
        recordReached(context, upstream, openedAt);
        return;
    }
    if (error.connectionRefused) {
        context.reach.onRefused(upstream, openedAt);
    } else if (error.code == ErrorCode::Unreachable || error.connectionClosed) {
        context.reach.onFailed(upstream, openedAt);
    } else {
        return;
    }
    updateLinks(context, upstream);
    const bool isAnswered = error.connectionRefused || error.connectionReset || error.connectionClosed;
    if (error.code == ErrorCode::Unreachable && !isAnswered) {
        recordUnanswered(context, upstream, openedAt);
    }
}

auto recordSilence(EdgeContext &context, const Upstream &upstream, TimePoint openedAt) -> void
{
    context.reach.onLate(upstream, openedAt, context.clock.now());
    updateLinks(context, upstream);
}

auto forgetOldCuts(EdgeContext &context) -> void
{
    for (const auto &[service, role] : context.reach.expire(context.clock.now())) {
        setCutOffCounter(context, service, role, false);
        context.log.write("links", "cut_forgotten", {{"service", service}, {"role", name(role)}});
    }
}

} // namespace currantstack
