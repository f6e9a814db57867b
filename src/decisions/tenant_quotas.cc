#include "currantstack/decisions/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

namespace
{

constexpr double MaxFraction = 2; // more than 1 lets the credit of a VM build up again after a shortage
constexpr double IdleDemandShare = 1e-3; // of the rate; less demand is not reported any more

auto isDue(bool hasChanged, TimePoint reportedAt, double demand, double rate, TimePoint now) -> bool
{
    return hasChanged || (demand > IdleDemandShare * rate && now - reportedAt >= TenantQuotas::RefreshPeriod);
}

} // namespace

auto TenantQuotas::setTenants(const TenantDirectory &tenants, bool isFirstStart, TimePoint now) -> void
{
    std::erase_if(m_buckets, [&tenants](const auto &entry) {
        const auto *tenant = tenants.find(entry.first);
        return tenant == nullptr || tenant->limit.isUnlimited();
    });
    for (const auto &[name, tenant] : tenants.tenants()) {
        if (tenant.limit.isUnlimited()) {
            continue;
        }
        const auto [found, isNew] = m_buckets.try_emplace(name);
        auto &bucket = found->second;
        if (isNew) {
            bucket.level = isFirstStart ? tenant.limit.burst : 0;
            bucket.isAfterRestart = !isFirstStart;
            bucket.refilledAt = bucket.startedAt = bucket.demandAt = now;
        } else {
            refill(bucket, now);
            bucket.level = std::min(tenant.limit.burst, bucket.level + std::max(0.0, tenant.limit.burst - bucket.limit.burst));
        }
        bucket.limit = tenant.limit;
    }
}

auto TenantQuotas::find(std::string_view tenant, TimePoint now) -> Bucket *
{
    const auto found = m_buckets.find(tenant);
    if (found == m_buckets.end()) {
        return nullptr;
    }
    refill(found->second, now);
    return &found->second;
}

auto TenantQuotas::refill(Bucket &bucket, TimePoint now) const -> void
{
    const auto elapsed = toSeconds(now - bucket.refilledAt);
    bucket.refilledAt = now;
    bucket.isAfterRestart = bucket.isAfterRestart && now - bucket.startedAt < m_tolerance.window;
    bucket.level = std::min(bucket.limit.burst, bucket.level + bucket.limit.perSecond * elapsed - assumeSilentPeers(bucket, now));
}

/// Returns the units that silent peers are assumed to have charged since the last call: each goes on at its demand, up to its share.
auto TenantQuotas::assumeSilentPeers(Bucket &bucket, TimePoint now) const -> double
{
    double assumed = 0;
    if (now - bucket.peersCheckedAt < SilenceCheckPeriod) {
        return assumed;
    }
    bucket.peersCheckedAt = now;
    for (auto &[source, peer] : bucket.peers) {
        const auto heard = heardAt(source, peer);
        const auto silence = now - heard;
        if (silence >= SilentAfter && silence < SilentLifetime) {
            const auto units = shareOf(bucket, demandOf(source, peer, now), now) * toSeconds(now - std::max(heard, peer.assumedUntil));
            peer.assumed += units;
            peer.assumedUntil = now;
            assumed += units;
        }
    }
    return assumed;
}

auto TenantQuotas::heardAt(std::string_view source, const Peer &peer) const -> TimePoint
{
    const auto found = m_heard.find(source);
    return found == m_heard.end() ? peer.receivedAt : std::max(peer.receivedAt, found->second);
}

auto TenantQuotas::ownDemand(const Bucket &bucket, TimePoint now) const -> double
{
    return bucket.demand * std::exp(-toSeconds(now - bucket.demandAt) / toSeconds(DemandTime));
}

/// Returns the peer's demand, which falls while it is heard without a report. A silent peer may have as much demand as before.
auto TenantQuotas::demandOf(std::string_view source, const Peer &peer, TimePoint now) const -> double
{
    const auto heard = heardAt(source, peer);
    const auto idle = std::max(0.0, toSeconds(heard - peer.receivedAt - LongestReportPeriod));
    if (now - heard >= SilentLifetime) {
        return 0;
    }
    return idle > 0 ? peer.demand * std::exp(-idle / toSeconds(DemandTime)) : peer.demand;
}

auto TenantQuotas::othersDemand(const Bucket &bucket, TimePoint now) const -> double
{
    double demand = 0;
    for (const auto &[source, peer] : bucket.peers) {
        demand += demandOf(source, peer, now);
    }
    return demand;
}

/// Returns the units per second that a VM or place with this demand gets.
auto TenantQuotas::shareOf(const Bucket &bucket, double demand, TimePoint now) const -> double
{
    const auto total = ownDemand(bucket, now) + othersDemand(bucket, now);
    return total > 0 ? std::min(demand, bucket.limit.perSecond * demand / total) : 0;
}

auto TenantQuotas::overdraft(const Bucket &bucket) const -> double
{
    const auto allowed = bucket.limit.perSecond * toSeconds(m_tolerance.window) + bucket.limit.burst;
    const auto tolerated = m_tolerance.overage * allowed + m_tolerance.slack;
    return (bucket.isAfterRestart ? RestartOverdraftShare : OverdraftShare) * tolerated;
}

auto TenantQuotas::overdraft(std::string_view tenant) const -> double
{
    const auto found = m_buckets.find(tenant);
    return found == m_buckets.end() ? 0 : overdraft(found->second);
}

auto TenantQuotas::admit(std::string_view tenant, double charge, TimePoint now) -> QuotaDecision
{
    auto *bucket = find(tenant, now);
    if (bucket == nullptr) {
        return {};
    }
    bucket->demand = ownDemand(*bucket, now) + charge / toSeconds(DemandTime);
    bucket->demandAt = now;
    bucket->largestCharge = std::max(bucket->largestCharge, charge);
    QuotaDecision decision;
    decision.level = bucket->level;
    const auto others = othersDemand(*bucket, now);
    decision.demand = others + bucket->demand;
    for (const auto &[source, peer] : bucket->peers) {
        decision.reportAge = std::max<Duration>(decision.reportAge, now - heardAt(source, peer));
    }
    const auto rate = bucket->limit.perSecond;
    const auto margin = overdraft(*bucket);
    const auto unreported = others * toSeconds(m_reportLag);
    const auto shortage = charge + unreported - margin - bucket->level;
    if (shortage > 0) {
        const auto pace = 1 + bucket->level / (rate * toSeconds(LevelingTime));
        decision.fraction = std::clamp(rate / decision.demand * pace, 0.0, MaxFraction);
        bucket->credit = std::min(bucket->credit + decision.fraction * charge, bucket->largestCharge);
        decision.admitted = bucket->credit >= charge && bucket->level > -margin;
        bucket->credit -= decision.admitted ? charge : 0;
    }
    if (decision.admitted) {
        bucket->level -= charge;
        bucket->charged += charge;
    } else {
        decision.retryAfter = retryAfter(*bucket, shortage, decision.demand);
    }
    return decision;
}

/// Returns a random time after the bucket has room again. The times are spread such that callers come back at about the quota's rate.
auto TenantQuotas::retryAfter(const Bucket &bucket, double shortage, double demand) -> Duration
{
    const auto rate = bucket.limit.perSecond;
    const auto spread = std::uniform_real_distribution<double>(0, demand / rate)(m_random); // seconds
    const auto wait = fromMilliseconds(1000 * std::min(shortage / rate + spread, toSeconds(LongestRetryAfter)));
    return std::clamp<Duration>(wait, ShortestRetryAfter, LongestRetryAfter);
}

auto TenantQuotas::refund(std::string_view tenant, double charge, TimePoint now) -> void
{
    if (auto *bucket = find(tenant, now)) {
        bucket->level = std::min(bucket->limit.burst, bucket->level + charge);
        bucket->charged -= charge;
    }
}

auto TenantQuotas::merge(std::string_view source, std::string_view sender, const QuotaReport &report, TimePoint now) -> void
{
    auto *bucket = find(report.tenant, now);
    if (bucket == nullptr) {
        return;
    }
    const auto [found, isNew] = bucket->peers.try_emplace(std::string(source));
    auto &peer = found->second;
    double units = 0;
    if (isNew) {
        // What was charged before this VM began to count is not known. The peer may have charged for a while before it was heard.
        const auto age = toSeconds(std::min<Duration>(now - bucket->startedAt, FormationTime));
        units = std::min(report.charged, report.demand * age);
    } else if (peer.sender == sender) {
        units = std::max(0.0, report.charged - peer.charged); // less: the peer has restarted
    } else {
        // Another VM adds up the place now and may have begun to count at another time.
        const auto since = std::max(peer.receivedAt, peer.assumedUntil);
        units = peer.assumed + shareOf(*bucket, peer.demand, now) * toSeconds(std::min<Duration>(now - since, SilentAfter));
    }
    bucket->level = std::min(bucket->limit.burst, bucket->level + peer.assumed - units);
    if (now - bucket->startedAt < JoinTime) {
        bucket->level = std::min(bucket->level, report.level);
    }
    peer = {std::string(sender), report.charged, report.demand, now, now, 0};
}

auto TenantQuotas::onHeard(std::string_view source, TimePoint now) -> void
{
    if (m_buckets.empty()) {
        return;
    }
    const auto found = m_heard.find(source);
    if (found == m_heard.end()) {
        m_heard.emplace(source, now);
        return;
    }
    if (now - found->second >= SilentAfter) {
        for (auto &[tenant, bucket] : m_buckets) {
            bucket.peersCheckedAt = {};
            refill(bucket, now); // what was assumed until now is set off against the peer's next report
        }
    }
    found->second = now;
}

auto TenantQuotas::dueReports(TimePoint now) -> std::vector<QuotaReport>
{
    std::vector<std::pair<TimePoint, Bucket *>> due;
    std::map<const Bucket *, std::string_view> names;
    for (auto &[tenant, bucket] : m_buckets) {
        if (isDue(bucket.charged > bucket.reportedCharged, bucket.reportedAt, ownDemand(bucket, now), bucket.limit.perSecond, now)) {
            due.emplace_back(bucket.reportedAt, &bucket);
            names.emplace(&bucket, tenant);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), MaxReports));
    std::vector<QuotaReport> reports;
    for (const auto &[reportedAt, bucket] : due) {
        refill(*bucket, now);
        bucket->reportedAt = now;
        bucket->reportedCharged = std::max(bucket->reportedCharged, bucket->charged); // refunds are set off against later charges
        reports.push_back({std::string(names.at(bucket)), bucket->reportedCharged, ownDemand(*bucket, now), bucket->level});
    }
    return reports;
}

auto TenantQuotas::aggregate(std::string_view aggregatePrefix, TimePoint now) -> std::vector<QuotaReport>
{
    std::vector<QuotaReport> reports;
    for (auto &[tenant, bucket] : m_buckets) {
        refill(bucket, now);
        QuotaReport sum{tenant, std::max(bucket.reportedCharged, bucket.charged), ownDemand(bucket, now), bucket.level};
        for (const auto &[source, peer] : bucket.peers) {
            if (!source.starts_with(aggregatePrefix)) {
                sum.charged += peer.charged + peer.assumed;
                sum.demand += demandOf(source, peer, now);
            }
        }
        if (isDue(sum.charged != bucket.aggregatedCharged, bucket.aggregatedAt, sum.demand, bucket.limit.perSecond, now)) {
            bucket.aggregatedCharged = sum.charged;
            bucket.aggregatedAt = now;
            reports.push_back(std::move(sum));
        }
    }
    // A random part of a long list, so that each message carries others.
    if (reports.size() > MaxReports) {
        std::shuffle(reports.begin(), reports.end(), m_random);
        for (auto dropped = reports.begin() + MaxReports; dropped != reports.end(); ++dropped) {
            m_buckets.at(dropped->tenant).aggregatedAt = {};
        }
        reports.resize(MaxReports);
    }
    return reports;
}

auto TenantQuotas::forget(std::string_view source) -> void
{
    for (auto &[tenant, bucket] : m_buckets) {
        if (const auto found = bucket.peers.find(source); found != bucket.peers.end()) {
            bucket.peers.erase(found);
        }
    }
    if (const auto found = m_heard.find(source); found != m_heard.end()) {
        m_heard.erase(found);
    }
}

auto TenantQuotas::level(std::string_view tenant, TimePoint now) -> std::optional<double>
{
    const auto *bucket = find(tenant, now);
    return bucket == nullptr ? std::nullopt : std::optional(bucket->level);
}

} // namespace currantstack
