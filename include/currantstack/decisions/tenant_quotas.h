// Keeps the requests of each tenant, at all VMs together, within the tenant's quota.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/decisions/tenant_directory.h"
#include "currantstack/placement.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// What one VM, or all VMs of a place together, report of a tenant.
struct QuotaReport
{
    std::string tenant;
    double charged = 0; // units since the reporter began to count; never decreases
    double demand = 0; // units per second that were offered, including refused requests
    double level = 0; // of the reporter's copy of the bucket
};

struct QuotaDecision
{
    bool admitted = true;
    Duration retryAfter = Duration::zero(); // of a refusal
    double level = 0; // of the bucket before the request
    double demand = 0; // units per second at all VMs
    double fraction = 1; // of the offered units that are admitted while the bucket is short
    Duration reportAge = Duration::zero(); // of the oldest report that the decision rests on
};

/// A token bucket for each tenant, of which every VM keeps a copy. The copy is refilled at the quota's rate; a VM takes its own charges
/// from it at once, and those of other VMs when they report them. There is no leader and no exchange per request.
///
/// While the bucket has room, also for what others may have charged since they last reported, each request is admitted. The tolerance
/// counts as room, so that a tenant within its quota is not refused because of charges that are merely assumed. While it has none, each VM
/// admits the same fraction of what it is offered; so the VMs need not know their shares, and a VM with few requests admits its part as
/// well.
///
/// Load: a tenant that sends several times its quota, at one VM or at all, beside others that stay within theirs.
class TenantQuotas
{
public:
    static constexpr double OverdraftShare = 0.5; // of the tolerance
    static constexpr double RestartOverdraftShare = 0.25; // in the first window after a restart, which forgets what was overdrawn before
    static constexpr Duration DemandTime = seconds(1); // over which the demand is averaged; several times the lag of reports
    static constexpr Duration LevelingTime = seconds(2); // in which the bucket returns to its target while the quota is exceeded
    static constexpr Duration LongestReportPeriod = milliseconds(300); // while a VM or place has requests of the tenant
    static constexpr Duration RefreshPeriod = seconds(1); // between reports of a tenant that charges nothing but has demand
    static constexpr Duration SilentAfter = seconds(1); // without any message; several in a row may be lost
    static constexpr Duration SilenceCheckPeriod = milliseconds(100);
    static constexpr Duration SilentLifetime = seconds(30); // in which a silent VM is assumed to go on; longer than common network cuts
    static constexpr Duration FormationTime = seconds(3); // until the VMs of a fleet that has started hear each other
    static constexpr Duration JoinTime = seconds(1); // after the start, in which the levels of others are taken over
    static constexpr Duration ShortestRetryAfter = milliseconds(250);
    static constexpr Duration LongestRetryAfter = seconds(5);
    static constexpr std::size_t MaxReports = 24; // in one message

    explicit TenantQuotas(Random &random)
        : m_random(random)
    { }

    auto setTolerance(const QuotaTolerance &tolerance) -> void
    {
        m_tolerance = tolerance;
    }

    /// Sets how long it takes until the other VMs have counted a charge of this VM.
    auto setReportLag(Duration lag) -> void
    {
        m_reportLag = lag;
    }

    /// Sets the tenants of a new configuration. A raised burst is available at once; a lowered one cuts the bucket. A new bucket is full if
    /// this is the first start of the whole fleet; otherwise it is empty, as its tenant may have used it at other VMs.
    auto setTenants(const TenantDirectory &tenants, bool isFirstStart, TimePoint now) -> void;

    /// Decides on a request and charges it if it is admitted.
    auto admit(std::string_view tenant, double charge, TimePoint now) -> QuotaDecision;

    /// Gives back the charge of an admitted request that was not run.
    auto refund(std::string_view tenant, double charge, TimePoint now) -> void;

    /// Records what another VM or place reports. `source` names it; `sender` is the VM that counted the charges.
    auto merge(std::string_view source, std::string_view sender, const QuotaReport &report, TimePoint now) -> void;

    /// Records a message of another VM or place, also one without a report: its tenants have charged nothing since the last report.
    auto onHeard(std::string_view source, TimePoint now) -> void;

    /// Returns the reports that are due, the oldest first.
    auto dueReports(TimePoint now) -> std::vector<QuotaReport>;

    /// Returns reports that add up this VM and the VMs whose source does not begin with `aggregatePrefix`.
    auto aggregate(std::string_view aggregatePrefix, TimePoint now) -> std::vector<QuotaReport>;

    /// Drops what a VM has reported that is no longer part of the fleet.
    auto forget(std::string_view source) -> void;

    /// Returns the units that all VMs together may still charge, or nothing if the tenant has no quota.
    auto level(std::string_view tenant, TimePoint now) -> std::optional<double>;

    /// Returns by how much a bucket may be overdrawn: a part of the tolerance. The rest is for charges that are not reported yet.
    auto overdraft(std::string_view tenant) const -> double;

private:
    /// The last report of another VM or place.
    struct Peer
    {
        std::string sender;
        double charged = 0;
        double demand = 0;
        TimePoint receivedAt;
        TimePoint assumedUntil; // of `assumed`
        double assumed = 0; // units taken from the bucket for the time since the peer was last heard
    };

    struct Bucket
    {
        QuotaLimit limit;
        double level = 0;
        TimePoint refilledAt;
        TimePoint peersCheckedAt; // for silence
        TimePoint startedAt;
        bool isAfterRestart = false; // less than a window ago
        double demand = 0; // units per second offered to this VM
        TimePoint demandAt;
        double credit = 0; // units that this VM may admit while the bucket is short
        double largestCharge = 0;
        double charged = 0; // by this VM, without refunds
        double reportedCharged = 0;
        TimePoint reportedAt;
        double aggregatedCharged = 0;
        TimePoint aggregatedAt;
        std::map<std::string, Peer, std::less<>> peers; // by source
    };

    auto find(std::string_view tenant, TimePoint now) -> Bucket *;
    auto refill(Bucket &bucket, TimePoint now) const -> void;
    auto ownDemand(const Bucket &bucket, TimePoint now) const -> double;
    auto heardAt(std::string_view source, const Peer &peer) const -> TimePoint;
    auto demandOf(std::string_view source, const Peer &peer, TimePoint now) const -> double;
    auto othersDemand(const Bucket &bucket, TimePoint now) const -> double;
    auto shareOf(const Bucket &bucket, double demand, TimePoint now) const -> double;
    auto assumeSilentPeers(Bucket &bucket, TimePoint now) const -> double;
    auto overdraft(const Bucket &bucket) const -> double;
    auto retryAfter(const Bucket &bucket, double shortage, double demand) -> Duration;

    Random &m_random;
    QuotaTolerance m_tolerance;
    Duration m_reportLag = milliseconds(150);
    std::map<std::string, Bucket, std::less<>> m_buckets; // by tenant
    std::map<std::string, TimePoint, std::less<>> m_heard; // last message, by source
};

} // namespace currantstack
