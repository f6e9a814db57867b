// Which VMs are alive, from heartbeats that spread by announcements between random peers.
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
    Suspected, // gets no new requests from this VM
    Dead, // owns nothing
    Left, // said that it leaves
};

auto name(VmState state) -> std::string_view;

/// One VM as it is announced.
struct Vm
{
    std::string name;
    std::string address; // for peers, "IP:port"
    std::string place;
    std::string region;
    std::int64_t boot = 0; // start of the process, in ms since 1970; part of its request ids
    std::int64_t incarnation = 0; // rises with each start and after each pause
    std::int64_t heartbeat = 0; // rises with each announcement
    bool draining = false;
    bool dead = false; // declared so by the announcer
    bool isShort = false; // an entry without the facts that stay
    std::int64_t revision = 0; // of the configuration in force there
};

/// The VMs as one of them sees them. Every VM judges by the heartbeats that reach it, so that no list is the master.
class Membership
{
public:
    static constexpr std::size_t WholeView = 24; // VMs, up to which news of all reach all within a few announcements
    static constexpr Duration RefusedProbe = milliseconds(900); // taken off the time for each connection that was refused
    static constexpr int OtherPlacePatience = 3; // times longer that VMs of other places are waited for beyond that

    struct Peer
    {
        Vm vm;
        VmState state = VmState::Alive;
        TimePoint heardAt; // when the heartbeat last rose
        bool doubted = false;
    };

    Membership(Vm self, Duration suspectAfter, Duration deadAfter);

    /// Returns the own entry; the heartbeat rises with each call.
    auto beat() -> Vm;
    auto self() const -> const Vm &;
    auto setRevision(std::int64_t revision) -> void;
    auto leave() -> void;

    /// Takes over what a peer announced. Returns whether another VM calls this one dead, which must then begin anew with `reincarnate`.
    auto merge(std::span<const Vm> vms, TimePoint now) -> bool;
    auto reincarnate(std::int64_t incarnation) -> void;

    /// Brings the states up to date and returns the VMs whose state changed.
    auto tick(TimePoint now) -> std::vector<Peer>;

    /// Records that the VM took no connection, or that others call it dead. It is probed from then on, and each failed probe
    /// shortens the time until it is given up; any news of it ends the doubt.
    auto scheduleProbe(std::string_view name, bool refused) -> void;
    auto doubted() const -> std::vector<std::string>;

    /// After a pause of this process its view is stale: no VM is judged until it had time to be heard.
    auto forgive(TimePoint now) -> void;

    /// Returns the names of the VMs that may own things, this one included, sorted.
    auto live() const -> std::vector<std::string>;
    auto livePlace(std::string_view place) const -> std::vector<std::string>;
    auto liveRegion(std::string_view region) const -> std::vector<std::string>;

    auto find(std::string_view name) const -> const Peer *;
    auto peers() const -> const std::map<std::string, Peer, std::less<>> &;

    /// Returns entries to announce: own, then those of the own place, then those heard of most lately, up to `limit`.
    auto digest(std::size_t limit) const -> std::vector<Vm>;

    /// Rises whenever the list of live VMs may have changed.
    auto version() const -> std::int64_t
    {
        return m_version;
    }

    /// Drops VMs that have been dead for the time.
    auto forget(Duration deadFor, TimePoint now) -> void;

private:
    static auto mergeShort(Peer &peer, const Vm &vm, TimePoint now) -> void;

    template<typename Predicate>
    auto liveWhere(Predicate predicate) const -> std::vector<std::string>;

    Vm m_self;
    std::int64_t m_version = 1;
    Duration m_suspectAfter;
    Duration m_deadAfter;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace currantstack
