// Records what calls to upstreams show about this VM's links, and acts on the beginning and the end of a cut.
#pragma once

#include "currantstack/edge/context.h"

namespace currantstack
{

/// Records that the upstream answered on a connection that was opened at `openedAt`.
auto recordReached(EdgeContext &context, const Upstream &upstream, TimePoint openedAt) -> void;

/// Records that the upstream has sent something.
auto recordHeard(EdgeContext &context, const Upstream &upstream) -> void;

/// Records that the upstream has left a call unanswered that was sent at `sentAt` and that sound upstreams answer at once. Unless it has
/// been heard since, it gets probes instead of requests, and the other VMs are told.
auto recordUnanswered(EdgeContext &context, const Upstream &upstream, TimePoint sentAt) -> void;

/// Returns what the directory says now about the process that `upstream` is a copy of.
auto entryStateOf(const EdgeContext &context, const Upstream &upstream) -> EntryState;

/// Returns whether an upstream with another id has registered at the address since.
auto isAddressReused(const EdgeContext &context, const Upstream &upstream) -> bool;

/// Records a call on a connection of its own that failed, if its error says something about the link. An answer that has begun proves it.
auto recordFailedLink(EdgeContext &context, const Upstream &upstream, const Error &error, TimePoint openedAt) -> void;

/// Records a call of this VM's own, such as a probe, that failed for any reason.
auto recordFailedCall(EdgeContext &context, const Upstream &upstream, const Error &error, TimePoint openedAt) -> void;

/// Records that the upstream has ended, because another one answers at its address.
auto recordEnd(EdgeContext &context, const Upstream &upstream) -> void;

/// Records that another VM has found the upstream's end.
auto recordWitness(EdgeContext &context, std::string_view upstream) -> void;

/// Records that the upstream has not answered in time on a connection that it accepted, and that was opened at `openedAt`.
auto recordSilence(EdgeContext &context, const Upstream &upstream, TimePoint openedAt) -> void;

/// Ends the cuts from groups that have no upstreams any more.
auto forgetOldCuts(EdgeContext &context) -> void;

} // namespace currantstack
