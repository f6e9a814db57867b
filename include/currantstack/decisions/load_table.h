// In-flight work of all VMs at each upstream, as known to this VM.
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

/// Work that was sent to one upstream and is not finished.
struct InFlightWork
{
    double promptTokens = 0; // still to be prefilled there
    double kvTokens = 0; // KV cache that its requests occupy when they are complete
    int requests = 0;
    // Of these, the part of requests with the highest rank among the service's routes, if they have several.
    double urgentPromptTokens = 0;
    int urgentRequests = 0;

    auto operator+=(const InFlightWork &other) -> InFlightWork &;
    auto operator-=(const InFlightWork &other) -> InFlightWork &;
    auto isEmpty() const -> bool;
};

struct UpstreamLoad
{
    std::string upstream;
    InFlightWork work;
};

/// Begins the source of a report that adds up the VMs of a place; the place's name follows.
inline constexpr std::string_view AggregatePrefix = "place:";

/// Combines this VM's current work with the last reports of other VMs.
class LoadTable
{
public:
    /// A report expires after this: its sender has failed, or its work has changed since.
    static constexpr Duration ReportLifetime = milliseconds(1500);

    auto add(std::string_view upstream, const InFlightWork &work) -> void;
    auto remove(std::string_view upstream, const InFlightWork &work) -> void;

    /// Replaces the report of the source: a VM, or a place for an aggregate. A report with a lower sequence number than the
    /// last one is ignored unless the last one has expired.
    auto merge(std::string_view source, std::uint64_t sequence, std::span<const UpstreamLoad> loads, TimePoint now) -> void;

    /// Returns the work of all VMs at the upstream.
    auto total(std::string_view upstream, TimePoint now) const -> InFlightWork;

    /// Returns the VMs of this place, besides this one, that report requests at the upstream, or waiting for it if it is a service.
    auto localReporters(std::string_view upstream, TimePoint now) const -> std::vector<std::string_view>;

    /// Returns the requests that the VMs of another place report together at the upstream, or waiting for it if it is a service.
    auto requestsOfPlace(std::string_view place, std::string_view upstream, TimePoint now) const -> int;

    /// Returns this VM's own work, without idle upstreams.
    auto own() const -> std::vector<UpstreamLoad>;

    /// Returns the sum of this VM's own work and the work of the sources for which `accepts` returns true.
    auto aggregate(const std::function<bool(std::string_view source)> &accepts, TimePoint now) const -> std::vector<UpstreamLoad>;

    /// Returns the number of sources whose report has not expired.
    auto reportingPeers(TimePoint now) const -> std::size_t;

private:
    using WorkByUpstream = std::map<std::string, InFlightWork, std::less<>>;

    struct Report
    {
        std::uint64_t sequence = 0;
        TimePoint receivedAt;
        WorkByUpstream work;
    };

    WorkByUpstream m_local;
    std::map<std::string, Report, std::less<>> m_reports; // by source
};

} // namespace currantstack
