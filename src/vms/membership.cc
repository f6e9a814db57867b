#include "currantstack/membership.h"

#include <algorithm>

namespace currantstack
{

auto name(VmState state) -> std::string_view
{
    switch (state) {
    case VmState::Alive:
        return "alive";
    case VmState::Suspected:
        return "suspected";
    case VmState::Dead:
        return "dead";
    case VmState::Draining:
        return "left";
    }
    return "dead";
}

Membership::Membership(Vm self, Duration suspectAfter, Duration deadAfter)
    : m_self(std::move(self))
    , m_suspectAfter(suspectAfter)
    , m_deadAfter(deadAfter)
{ }

auto Membership::nextHeartbeat() -> Vm
{
    ++m_self.heartbeat;
    return m_self;
}

auto Membership::self() const -> const Vm &
{
    return m_self;
}

auto Membership::setRevision(std::int64_t revision) -> void
{
    m_self.revision = revision;
}

auto Membership::startDraining() -> void
{
    m_self.draining = true;
    ++m_version;
}

auto Membership::merge(std::span<const Vm> vms, TimePoint now) -> bool
{
    bool reportedDead = false;
    for (const auto &vm : vms) {
        if (vm.name == m_self.name) {
            reportedDead = reportedDead || (vm.dead && vm.incarnation >= m_self.incarnation);
            continue;
        }
        auto found = m_peers.find(vm.name);
        if (vm.isPartial) {
            if (found != m_peers.end()) {
                mergePartial(found->second, vm, now);
            }
            continue;
        }
        if (found == m_peers.end()) {
            if (vm.dead) {
                continue; // an unknown VM that is already dead is not added
            }
            ++m_version;
            m_peers.emplace(vm.name, Peer{vm, vm.draining ? VmState::Draining : VmState::Alive, now});
            continue;
        }
        auto &peer = found->second;
        const bool newer = vm.incarnation > peer.vm.incarnation
            || (vm.incarnation == peer.vm.incarnation && vm.heartbeat > peer.vm.heartbeat && !(peer.state == VmState::Dead));
        if (vm.dead && vm.incarnation >= peer.vm.incarnation) {
            scheduleProbe(vm.name, false);
        }
        if (newer && !vm.dead) {
            m_version += peer.vm.draining != vm.draining || peer.vm.place != vm.place || peer.vm.incarnation != vm.incarnation ? 1 : 0;
            peer.vm = vm;
            peer.receivedAt = now;
            peer.probing = false;
        }
    }
    return reportedDead;
}

auto Membership::mergePartial(Peer &peer, const Vm &vm, TimePoint now) -> void
{
    const bool newer = vm.incarnation == peer.vm.incarnation && vm.heartbeat > peer.vm.heartbeat;
    if (newer && peer.state != VmState::Dead) {
        peer.vm.heartbeat = vm.heartbeat;
        peer.vm.revision = vm.revision;
        peer.receivedAt = now;
        peer.probing = false;
    }
}

auto Membership::reincarnate(std::int64_t incarnation) -> void
{
    m_self.incarnation = std::max(m_self.incarnation + 1, incarnation);
    m_self.heartbeat = 0;
}

auto Membership::tick(TimePoint now) -> std::vector<Peer>
{
    std::vector<Peer> changed;
    for (auto &[name, peer] : m_peers) {
        const bool isRemotePlace = m_peers.size() >= FullViewVms && peer.vm.place != m_self.place;
        const int timeoutFactor = isRemotePlace ? RemotePlaceTimeoutFactor : 1;
        auto state = VmState::Alive;
        if (peer.vm.draining) {
            state = VmState::Draining;
        }
        if (now - peer.receivedAt > timeoutFactor * m_suspectAfter) {
            state = VmState::Suspected;
        }
        if (now - peer.receivedAt > timeoutFactor * m_deadAfter) {
            state = VmState::Dead;
        }
        if (state != peer.state) {
            peer.state = state;
            ++m_version;
            peer.vm.dead = state == VmState::Dead;
            changed.push_back(peer);
        }
    }
    return changed;
}

auto Membership::scheduleProbe(std::string_view name, bool refused) -> void
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || found->second.state == VmState::Dead) {
        return;
    }
    found->second.probing = true;
    if (refused) {
        found->second.receivedAt -= RefusedProbePenalty;
    }
}

auto Membership::probeTargets() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.probing && peer.state != VmState::Dead) {
            names.push_back(name);
        }
    }
    return names;
}

auto Membership::resetTimeouts(TimePoint now) -> void
{
    for (auto &[name, peer] : m_peers) {
        if (peer.state != VmState::Dead) {
            peer.receivedAt = now;
        }
    }
}

template<typename Predicate>
auto Membership::liveWhere(Predicate predicate) const -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (!m_self.draining && predicate(m_self)) {
        names.push_back(m_self.name);
    }
    for (const auto &[name, peer] : m_peers) {
        const bool isLive = peer.state == VmState::Alive || peer.state == VmState::Suspected;
        if (isLive && !peer.vm.draining && predicate(peer.vm)) {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

auto Membership::live() const -> std::vector<std::string>
{
    return liveWhere([](const Vm &) { return true; });
}

auto Membership::liveInPlace(std::string_view place) const -> std::vector<std::string>
{
    return liveWhere([place](const Vm &vm) { return vm.place == place; });
}

auto Membership::liveInRegion(std::string_view region) const -> std::vector<std::string>
{
    return liveWhere([region](const Vm &vm) { return vm.region == region; });
}

auto Membership::find(std::string_view name) const -> const Peer *
{
    const auto found = m_peers.find(name);
    return found == m_peers.end() ? nullptr : &found->second;
}

auto Membership::peers() const -> const std::map<std::string, Peer, std::less<>> &
{
    return m_peers;
}

auto Membership::digest(std::size_t limit) const -> std::vector<Vm>
{
    std::vector<const Peer *> sorted;
    for (const auto &[name, peer] : m_peers) {
        sorted.push_back(&peer);
    }
    std::sort(sorted.begin(), sorted.end(), [this](const Peer *left, const Peer *right) {
        const bool leftIsLocal = left->vm.place == m_self.place;
        const bool rightIsLocal = right->vm.place == m_self.place;
        return leftIsLocal != rightIsLocal ? leftIsLocal : left->receivedAt > right->receivedAt;
    });
    std::vector<Vm> entries{m_self};
    for (const auto *peer : sorted) {
        if (entries.size() >= limit) {
            break;
        }
        entries.push_back(peer->vm);
    }
    return entries;
}

auto Membership::removeDead(Duration deadFor, TimePoint now) -> void
{
    std::erase_if(m_peers, [deadFor, now](const auto &entry) {
        return entry.second.state == VmState::Dead && now - entry.second.receivedAt > deadFor;
    });
}

} // namespace currantstack
