#include "currantstack/decisions/send_gate.h"

namespace currantstack
{

namespace
{

auto isSameProcess(const Upstream &first, const Upstream &second) -> bool
{
    return first.startedAtMs == second.startedAtMs && first.softwareVersion == second.softwareVersion && first.address == second.address;
}

} // namespace

auto findSendBlock(const Upstream &chosen, const UpstreamStanding &standing) -> SendBlock
{
    const auto *entry = standing.entry;
    if (entry == nullptr) {
        return SendBlock::Removed;
    }
    if (!isSameProcess(*entry, chosen)) {
        return SendBlock::Replaced;
    }
    if (entry->draining) {
        return SendBlock::Draining;
    }
    if (entry->role != chosen.role) {
        return SendBlock::RoleChanged;
    }
    if (standing.announcedLeaving) {
        return SendBlock::AnnouncedLeaving;
    }
    if (standing.peerAnnouncedLeaving) {
        return SendBlock::PeerAnnouncedLeaving;
    }
    return standing.paused ? SendBlock::Paused : SendBlock::None;
}

auto isLeaving(SendBlock block) -> bool
{
    switch (block) {
    case SendBlock::Draining:
    case SendBlock::Removed:
    case SendBlock::Replaced:
    case SendBlock::PeerAnnouncedLeaving:
    case SendBlock::AnnouncedLeaving:
        return true;
    case SendBlock::None:
    case SendBlock::RoleChanged:
    case SendBlock::Paused:
        break;
    }
    return false;
}

auto name(SendBlock block) -> std::string_view
{
    switch (block) {
    case SendBlock::None:
        return "none";
    case SendBlock::Draining:
        return "draining";
    case SendBlock::Removed:
        return "removed";
    case SendBlock::Replaced:
        return "replaced";
    case SendBlock::RoleChanged:
        return "role_changed";
    case SendBlock::PeerAnnouncedLeaving:
        return "peer_announced_leaving";
    case SendBlock::AnnouncedLeaving:
        return "announced_leaving";
    case SendBlock::Paused:
        break;
    }
    return "paused";
}

} // namespace currantstack
