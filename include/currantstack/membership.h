// Failure detection and membership: which VMs are alive, by heartbeats that gossip carries between random peers.
#pragma once

#include "currantstack/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

enum class VmState
{
    Alive,
    Suspected, // no recent heartbeat; gets no new slot requests from this VM
    Dead, // no heartbeat for longer; owns nothing
    Draining, // draining; owns nothing
};

auto name(VmState state) -> std::string_view;

/// The announced state of a VM.
struct Vm
{
    std::string name;
    std::string address; // for peers, "IP:port"
    std::string place;
    std::string region;
    std::int64_t startedAtMs = 0; // start of the process, in ms since 1970; part of its request ids
    std::int64_t incarnation = 0; // increases when the process starts, was paused or was declared dead
    std::int64_t heartbeat = 0; // increases with each announcement, from 0 in each incarnation
    bool draining = false;
    bool dead = false; // the announcing VM considers this one dead
    bool isPartial = false; // has only the name, incarnation, heartbeat and revision
    std::int64_t revision = 0; // of the configuration in force there
};

/// The VMs as seen by one of them. Each VM detects failures from the heartbeats that reach it; there is no authoritative list.
class Membership
{
public:
    static constexpr std::size_t FullViewVms = 24; // up to this many VMs, a heartbeat reaches all within a few announcements
    static constexpr Duration RefusedProbePenalty = milliseconds(900); // by which a refused connection shortens the timeouts
    static constexpr int RemotePlaceTimeoutFactor = 3; // for the timeouts of VMs in other places, in fleets larger than `FullViewVms`

    struct Peer
    {
        Vm vm;
        VmState state = VmState::Alive;
        TimePoint receivedAt; // when the last new heartbeat was received, minus `RefusedProbePenalty` for each refused probe
        bool probing = false; // the VM may be dead and is probed until its next heartbeat
    };

    Membership(Vm self, Duration suspectAfter, Duration deadAfter);

    /// Increments the heartbeat and returns the entry of this VM.
    auto nextHeartbeat() -> Vm;
    auto self() const -> const Vm &;
    auto setRevision(std::int64_t revision) -> void;
    auto startDraining() -> void;

    /// Merges the entries that a peer announced. Returns whether one of them declares this VM dead; `reincarnate` must then be called.
    auto merge(std::span<const Vm> vms, TimePoint now) -> bool;

    /// Starts a new incarnation of this VM, so that peers accept its heartbeats again.
    auto reincarnate(std::int64_t incarnation) -> void;

    /// Updates the states by the timeouts and returns the VMs whose state changed.
    auto tick(TimePoint now) -> std::vector<Peer>;

    /// Has the VM probed in each period until its next heartbeat, because it did not respond or a peer declares it dead. Each refused
    /// connection shortens the time until it counts as dead.
    auto scheduleProbe(std::string_view name, bool refused) -> void;
    auto probeTargets() const -> std::vector<std::string>;

    /// Restarts the timeouts of all VMs that are not dead. After a pause of this process their last heartbeats are stale.
    auto resetTimeouts(TimePoint now) -> void;

    /// Returns the sorted names of the VMs that can own engines and shards, including this VM: alive or suspected, and not draining.
    auto live() const -> std::vector<std::string>;
    auto liveInPlace(std::string_view place) const -> std::vector<std::string>;
    auto liveInRegion(std::string_view region) const -> std::vector<std::string>;

    auto find(std::string_view name) const -> const Peer *;
    auto peers() const -> const std::map<std::string, Peer, std::less<>> &;

    /// Returns up to `limit` entries to announce: this VM, then VMs of its place, then others, each with the latest heartbeats first.
    auto digest(std::size_t limit) const -> std::vector<Vm>;

    /// Increases whenever the list of live VMs may have changed.
    auto version() const -> std::int64_t
    {
        return m_version;
    }

    /// Removes dead VMs whose last heartbeat is older than `deadFor`.
    auto removeDead(Duration deadFor, TimePoint now) -> void;

private:
    static auto mergePartial(Peer &peer, const Vm &vm, TimePoint now) -> void;

    template<typename Predicate>
    auto liveWhere(Predicate predicate) const -> std::vector<std::string>;

    Vm m_self;
    std::int64_t m_version = 1;
    Duration m_suspectAfter;
    Duration m_deadAfter;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace currantstack
