// The work that all VMs have under way at each upstream, as this VM knows it.
#pragma once

#include "currantstack/clock.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Work that was given to one upstream and is not done.
struct InFlightWork
{
    double promptTokens = 0; // still to be read there
    double kvTokens = 0; // memory that its requests take when they are complete
    int requests = 0;

    auto operator+=(const InFlightWork &other) -> InFlightWork &;
    auto operator-=(const InFlightWork &other) -> InFlightWork &;
    auto isEmpty() const -> bool;
};

struct UpstreamLoad
{
    std::string upstream;
    InFlightWork work;
};

/// Own work to the moment, and that of other VMs as they last told it.
class LoadTable
{
public:
    /// After this a VM's word counts no more: it is dead, or its work has long changed.
    static constexpr Duration ReportLifetime = milliseconds(1500);

    auto add(std::string_view upstream, const InFlightWork &work) -> void;
    auto remove(std::string_view upstream, const InFlightWork &work) -> void;

    /// Replaces all that the VM has said before. A message with a lower sequence number than the last one is ignored.
    auto merge(std::string_view vm, std::uint64_t sequence, std::span<const UpstreamLoad> works, TimePoint now) -> void;

    /// Returns the work of all VMs at the upstream.
    auto total(std::string_view upstream, TimePoint now) const -> InFlightWork;

    /// Returns this VM's own work, without idle upstreams.
    auto own() const -> std::vector<UpstreamLoad>;

    /// Returns the sum of the own work and that of the sources that the hook admits.
    auto aggregate(const std::function<bool(std::string_view source)> &admits, TimePoint now) const -> std::vector<UpstreamLoad>;

    auto reportingPeers(TimePoint now) const -> std::size_t;

private:
    using Works = std::map<std::string, InFlightWork, std::less<>>;

    struct Peer
    {
        std::uint64_t sequence = 0;
        TimePoint heardAt;
        Works works;
    };

    Works m_own;
    std::map<std::string, Peer, std::less<>> m_peers;
};

} // namespace currantstack
