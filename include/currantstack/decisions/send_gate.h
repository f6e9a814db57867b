// Whether an upstream that was chosen earlier may get a request now.
#pragma once

#include "currantstack/decisions/upstream_directory.h"

#include <string_view>

namespace currantstack
{

/// Why a request is not sent to the upstream that was chosen for it.
enum class SendBlock
{
    None, // it may be sent
    Draining, // the store entry says so
    Removed, // the entry is gone
    Replaced, // another process has the id
    RoleChanged,
    PeerAnnouncedLeaving, // by another VM, while this one cannot read the entries
    AnnouncedLeaving, // by the upstream, in a response
    Paused, // the upstream wants no requests for some time
};

/// What a VM knows of an upstream when it is about to send it a request.
struct UpstreamStanding
{
    const Upstream *entry = nullptr; // in the directory under the upstream's id; null: none. A lapsed entry counts until its grace ends.
    bool peerAnnouncedLeaving = false;
    bool announcedLeaving = false;
    bool paused = false;
};

/// Returns why the upstream may not get a request. `chosen` is its entry as of the choice, which may be seconds old.
auto findSendBlock(const Upstream &chosen, const UpstreamStanding &standing) -> SendBlock;

/// Returns whether the process ends soon, or has ended.
auto isLeaving(SendBlock block) -> bool;

/// Returns the name in logs and metrics, such as "peer_announced_leaving".
auto name(SendBlock block) -> std::string_view;

} // namespace currantstack
