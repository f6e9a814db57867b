// Which VMs tell one another of their load, so that nothing grows with VMs times VMs.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/socket_address.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The other VMs, from the store's list and from their own datagrams.
class PeerTable
{
public:
    /// A fleet up to this size tells every VM everything; a larger one tells its own place, and sums to the others.
    static constexpr std::size_t SmallFleet = 16;
    /// A VM that is not in the store's list and was not heard for so long is forgotten.
    static constexpr Duration Memory = seconds(10);
    /// A listed VM is kept for longer, as the list is read only from time to time.
    static constexpr Duration ListMemory = seconds(40);
    /// The VM that sums up a place is chosen among those heard within this time.
    static constexpr Duration Fresh = milliseconds(1500);

    PeerTable(std::string self, std::string place)
        : m_self(std::move(self))
        , m_place(std::move(place))
    { }

    /// Takes in one VM of the store's list.
    auto mergeListed(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now) -> void;

    /// Takes in that a VM was heard. Returns true where it was not known.
    auto merge(std::string_view vm, std::string_view place, const SocketAddress &address, TimePoint now) -> bool;

    /// Forgets the VMs that are neither listed nor heard.
    auto expire(TimePoint now) -> void;

    /// Returns whom this VM tells of each change of its own work.
    auto reportTargets() const -> std::vector<SocketAddress>;

    /// Returns the VMs of the own place.
    auto neighbours() const -> std::vector<SocketAddress>;

    /// Returns one VM of each other place, another one at each turn.
    auto relayTargets(std::uint64_t turn) const -> std::vector<SocketAddress>;

    /// Returns whether this VM sums up its place's work for the others: the first by name of those heard lately.
    auto isAggregator(TimePoint now) const -> bool;

    /// Returns how many VMs, this one included, are known to tell this one of what they know: those heard lately, or the whole
    /// fleet where most neighbours are heard and so pass on what the other places tell.
    auto reportingVms(TimePoint now) const -> std::size_t;

    auto isSmall() const -> bool
    {
        return m_peers.size() < SmallFleet;
    }

    auto size() const -> std::size_t
    {
        return m_peers.size();
    }

private:
    struct Peer
    {
        std::string place;
        SocketAddress address;
        TimePoint heardAt;
        TimePoint listedAt;
    };

    std::string m_self;
    std::string m_place;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace currantstack
