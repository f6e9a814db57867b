// Keeps the requests of all VMs to an upstream within the rate that the upstream has named.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/placement.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// What one VM, or all VMs of a place together, know of an upstream's limit and how they use it.
struct RateLimitReport
{
    std::string upstream;
    std::int64_t startedAtMs = 0; // of the upstream, see `Upstream`
    std::optional<double> limit; // requests per second; none: the upstream has stopped naming one
    Duration age = Duration::zero(); // of the response that says so
    std::uint64_t sent = 0; // requests that the reporter has sent since it began to count
    double demand = 0; // requests per second for the upstream's service at the reporter
};

enum class LimitChange
{
    None,
    Learned,
    Changed,
    Ended,
};

/// A token bucket for each limited upstream, of which every VM keeps a copy. The copy is refilled at the limit; a VM takes its own
/// requests from it at once, and those of other VMs when they report them. A request is admitted if this VM's part of the bucket,
/// by its share of the demand, has room for it, or if this VM has saved up a request at its share of the limit. So the VMs need not
/// coordinate for each request, and a request that was sent too early is paid back later.
///
/// Used by every call that sends a caller's request to an upstream, whatever its role.
class FleetRateLimiter
{
public:
    static constexpr double MinRate = 0.25; // requests per second to an upstream that names less, so that the end of its limit is noticed
    static constexpr std::size_t AssumedVms = 8; // until this VM knows the others
    static constexpr double MaxRate = 1e6; // requests per second; a field with more is treated as malformed
    static constexpr Duration BurstTime = seconds(1); // the bucket holds the requests of this time,
    static constexpr double MinBurst = 2; // but at least this many
    static constexpr double MaxSaved = 2; // requests that a VM saves up
    static constexpr Duration PeerLifetime = milliseconds(2500); // of the demand in a report; several reports in a row may be lost
    static constexpr Duration RefreshPeriod = milliseconds(600); // between reports of an upstream to which nothing is sent
    static constexpr Duration EndedLifetime = seconds(10); // in which the end of a limit is reported
    static constexpr Duration SmallFleetLag = milliseconds(150); // until requests of this VM are counted by the others
    static constexpr Duration LargeFleetLag = milliseconds(700);
    static constexpr std::size_t MaxReports = 24; // in one message

    explicit FleetRateLimiter(Random &random)
        : m_random(random)
    { }

    /// Sets how long it takes until the other VMs have counted a request of this VM.
    auto setReportLag(Duration lag) -> void
    {
        m_reportLag = lag;
    }

    /// Sets the number of VMs, this one included. It is used until they have reported their demand.
    auto setVms(std::size_t count) -> void
    {
        m_vms = std::max<std::size_t>(1, count);
        m_vmsKnown = true;
    }

    /// Records a request of a caller for the service, whether or not it can be sent.
    auto onRequest(std::string_view service, TimePoint now) -> void;

    /// Records the limit that a response of the upstream names, or that it names none, to a request sent at `sentAt`.
    auto observe(const Upstream &upstream, std::optional<double> limit, TimePoint sentAt, TimePoint now) -> LimitChange;

    /// Records what another VM or place reports. `source` names it; `sender` is the VM that counted the requests.
    auto merge(std::string_view source, std::string_view sender, const Upstream &upstream, const RateLimitReport &report, TimePoint now)
        -> LimitChange;

    /// Returns whether a request may be sent to the upstream now.
    auto mayAdmit(std::string_view upstream, TimePoint now) -> bool;

    /// Counts a request that is sent to the upstream.
    auto onSent(std::string_view upstream, TimePoint now) -> void;

    auto limitOf(std::string_view upstream) const -> std::optional<double>;

    /// Returns the part of the upstream's bucket that is left, 0 to 1; 1 if it is not limited.
    auto headroom(std::string_view upstream, TimePoint now) -> double;

    /// Returns the expected time until this VM may send one more request after `ahead` others.
    auto expectedWait(std::string_view upstream, double ahead, TimePoint now) -> Duration;

    /// Returns a random time after which a caller may come back that was refused because of the limits of these upstreams. The times
    /// are spread such that callers come back at about the rate at which this VM may send.
    auto retryAfter(const std::vector<std::string_view> &upstreams, TimePoint now) -> Duration;

    /// Returns the reports that are due, the oldest first: those that changed, and the others every `RefreshPeriod`.
    auto dueReports(TimePoint now) -> std::vector<RateLimitReport>;

    /// Returns reports that add up this VM and the VMs whose source does not begin with `aggregatePrefix`.
    auto aggregate(std::string_view aggregatePrefix, TimePoint now) -> std::vector<RateLimitReport>;

    /// Drops an upstream that has ended or restarted.
    auto remove(std::string_view upstream) -> void;

    /// Returns the number of upstreams of the service that name a limit.
    auto limitedUpstreams(std::string_view service) const -> std::size_t;

private:
    struct Demand
    {
        double perSecond = 0;
        TimePoint updatedAt;
    };

    /// The last report of another VM or place.
    struct Peer
    {
        std::string sender;
        std::uint64_t sent = 0;
        double demand = 0;
        TimePoint receivedAt;
    };

    struct Bucket
    {
        std::string service;
        std::int64_t startedAtMs = 0;
        std::optional<double> limit;
        TimePoint observedAt; // the latest response that named a limit or its end, as far as known
        TimePoint learnedAt; // when this VM began to count; a moment later it knows the demand of the others
        double level = 0; // requests that all VMs together may send; negative if they have sent too many
        double saved = 0; // requests that this VM may send by its share of the limit
        TimePoint refilledAt;
        std::uint64_t sent = 0;
        std::deque<TimePoint> recent; // requests of this VM that others may not have counted yet
        std::map<std::string, Peer, std::less<>> peers; // by source
        bool changed = true; // since the last report
        TimePoint reportedAt;

        auto rate() const -> double;
        auto capacity() const -> double;
    };

    auto find(std::string_view upstream, TimePoint now) -> Bucket *;
    auto obtain(const Upstream &upstream, TimePoint now) -> Bucket *;
    auto setLimit(Bucket &bucket, std::optional<double> limit, TimePoint observedAt) -> LimitChange;
    auto take(Bucket &bucket, double count) const -> void;
    auto refill(Bucket &bucket, TimePoint now) -> void;
    auto demandOf(std::string_view service, TimePoint now) const -> double;
    auto knowsOthers(const Bucket &bucket, TimePoint now) const -> bool;
    auto share(const Bucket &bucket, TimePoint now) const -> double;
    auto report(const std::string &upstream, const Bucket &bucket, TimePoint now) const -> RateLimitReport;
    auto expire(TimePoint now) -> void;

    Random &m_random;
    Duration m_reportLag = SmallFleetLag;
    std::size_t m_vms = AssumedVms;
    bool m_vmsKnown = false;
    std::map<std::string, Demand, std::less<>> m_demand; // by service
    std::map<std::string, Bucket, std::less<>> m_buckets; // by upstream
};

} // namespace currantstack
