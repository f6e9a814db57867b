#include "currantstack/decisions/fleet_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace currantstack
{

namespace
{

constexpr double DemandTimeS = 2; // over which the demand is averaged
constexpr double MinDemand = 0.1; // requests per second; a VM that wants to send has at least this demand
// A VM saves at its share of the limit times a pace that rises with the bucket's level: 1 if a third is left.
constexpr double PaceGain = 3;
constexpr double MaxPace = 2;
constexpr Duration ShortestSpread = milliseconds(250); // of the return of refused callers
constexpr Duration LongestSpread = seconds(5);
constexpr Duration LongestWait = seconds(60);

} // namespace

auto FleetRateLimiter::Bucket::rate() const -> double
{
    return std::max(MinRate, limit.value_or(MaxRate));
}

auto FleetRateLimiter::Bucket::capacity() const -> double
{
    return std::max(MinBurst, rate() * toSeconds(BurstTime));
}

auto FleetRateLimiter::onRequest(std::string_view service, TimePoint now) -> void
{
    auto found = m_demand.find(service);
    if (found == m_demand.end()) {
        found = m_demand.emplace(std::string(service), Demand{0, now}).first;
    }
    found->second = {demandOf(service, now) + 1 / DemandTimeS, now};
}

auto FleetRateLimiter::demandOf(std::string_view service, TimePoint now) const -> double
{
    const auto found = m_demand.find(service);
    if (found == m_demand.end()) {
        return 0;
    }
    return found->second.perSecond * std::exp(-toSeconds(now - found->second.updatedAt) / DemandTimeS);
}

auto FleetRateLimiter::obtain(const Upstream &upstream, TimePoint now) -> Bucket *
{
    auto found = m_buckets.find(upstream.id);
    if (found != m_buckets.end() && found->second.startedAtMs != upstream.startedAtMs) {
        m_buckets.erase(found);
        found = m_buckets.end();
    }
    if (found == m_buckets.end()) {
        // The VMs start with different amounts, so that those with the same share do not all send at the same time.
        const auto saved = std::uniform_real_distribution<double>(0, 1)(m_random);
        found = m_buckets.emplace(upstream.id, Bucket{}).first;
        auto &bucket = found->second;
        bucket.service = upstream.service;
        bucket.startedAtMs = upstream.startedAtMs;
        bucket.learnedAt = bucket.refilledAt = now;
        bucket.saved = saved;
        bucket.level = MaxRate; // full, once the limit is set
    }
    return &found->second;
}

auto FleetRateLimiter::setLimit(Bucket &bucket, std::optional<double> limit, TimePoint observedAt) -> LimitChange
{
    const auto previous = std::exchange(bucket.limit, limit);
    bucket.observedAt = observedAt;
    if (previous == limit) {
        return LimitChange::None;
    }
    bucket.changed = true;
    bucket.level = std::clamp(bucket.level, -bucket.capacity(), bucket.capacity());
    if (!limit) {
        return LimitChange::Ended;
    }
    return previous ? LimitChange::Changed : LimitChange::Learned;
}

auto FleetRateLimiter::observe(const Upstream &upstream, std::optional<double> limit, TimePoint sentAt, TimePoint now) -> LimitChange
{
    auto *bucket = find(upstream.id, now);
    if (!limit) {
        // A response to an earlier request may have been sent before the one that named the limit.
        const bool ended = bucket != nullptr && bucket->startedAtMs == upstream.startedAtMs && bucket->limit && sentAt > bucket->observedAt;
        return ended ? setLimit(*bucket, limit, now) : LimitChange::None;
    }
    return setLimit(*obtain(upstream, now), limit, now);
}

auto FleetRateLimiter::merge(std::string_view source, std::string_view sender, const Upstream &upstream, const RateLimitReport &report,
                             TimePoint now) -> LimitChange
{
    if (report.startedAtMs != upstream.startedAtMs || (!report.limit && find(upstream.id, now) == nullptr)) {
        return LimitChange::None;
    }
    auto &bucket = *obtain(upstream, now);
    refill(bucket, now);
    auto &peer = bucket.peers[std::string(source)];
    if (peer.sender == sender && report.sent > peer.sent) {
        take(bucket, static_cast<double>(report.sent - peer.sent));
    }
    peer = {std::string(sender), report.sent, report.demand, now};
    const auto observedAt = now - report.age;
    return report.limit != bucket.limit && observedAt > bucket.observedAt ? setLimit(bucket, report.limit, observedAt) : LimitChange::None;
}

auto FleetRateLimiter::take(Bucket &bucket, double count) const -> void
{
    bucket.level = std::max(bucket.level - count, -bucket.capacity());
}

auto FleetRateLimiter::find(std::string_view upstream, TimePoint now) -> Bucket *
{
    const auto found = m_buckets.find(upstream);
    if (found == m_buckets.end()) {
        return nullptr;
    }
    refill(found->second, now);
    return &found->second;
}

auto FleetRateLimiter::refill(Bucket &bucket, TimePoint now) -> void
{
    const auto elapsed = toSeconds(now - bucket.refilledAt);
    bucket.refilledAt = now;
    if (bucket.limit) {
        bucket.level = std::min(bucket.capacity(), bucket.level + bucket.rate() * elapsed);
        // Saving slows down while the VMs send more than the limit, and speeds up while some of them do not use their share.
        const auto pace = std::clamp(PaceGain * bucket.level / bucket.capacity(), 0.0, MaxPace);
        bucket.saved = std::min(MaxSaved, bucket.saved + pace * bucket.rate() * share(bucket, now) * elapsed);
    }
    while (!bucket.recent.empty() && now - bucket.recent.front() >= m_reportLag) {
        bucket.recent.pop_front();
    }
}

/// Returns whether the other VMs have had time to report what they send to the upstream.
auto FleetRateLimiter::knowsOthers(const Bucket &bucket, TimePoint now) const -> bool
{
    return m_vmsKnown && now - bucket.learnedAt >= 2 * m_reportLag;
}

/// Returns this VM's share of the demand for the upstream's service, above 0 and up to 1.
auto FleetRateLimiter::share(const Bucket &bucket, TimePoint now) const -> double
{
    const auto own = std::max(MinDemand, demandOf(bucket.service, now));
    double total = own;
    for (const auto &[source, peer] : bucket.peers) {
        total += now - peer.receivedAt < PeerLifetime ? peer.demand : 0;
    }
    return knowsOthers(bucket, now) ? own / total : 1 / static_cast<double>(m_vms);
}

auto FleetRateLimiter::mayAdmit(std::string_view upstream, TimePoint now) -> bool
{
    const auto *bucket = find(upstream, now);
    if (bucket == nullptr || !bucket->limit) {
        return true;
    }
    if (!knowsOthers(*bucket, now)) {
        const auto fleet = bucket->capacity() + bucket->rate() * toSeconds(now - bucket->learnedAt);
        return static_cast<double>(bucket->sent) + 1 <= share(*bucket, now) * fleet;
    }
    // The others may have sent as much as this VM, in proportion to their demand, since they last reported.
    const auto unreported = static_cast<double>(bucket->recent.size());
    const bool fitsShare = unreported + 1 <= share(*bucket, now) * (bucket->level + unreported);
    return fitsShare || (bucket->saved >= 1 && bucket->level > 0);
}

auto FleetRateLimiter::onSent(std::string_view upstream, TimePoint now) -> void
{
    auto *bucket = find(upstream, now);
    if (bucket == nullptr) {
        return;
    }
    take(*bucket, 1);
    bucket->saved = std::max(0.0, bucket->saved - 1);
    bucket->recent.push_back(now);
    ++bucket->sent;
    bucket->changed = true;
}

auto FleetRateLimiter::limitOf(std::string_view upstream) const -> std::optional<double>
{
    const auto found = m_buckets.find(upstream);
    return found == m_buckets.end() ? std::nullopt : found->second.limit;
}

auto FleetRateLimiter::headroom(std::string_view upstream, TimePoint now) -> double
{
    const auto *bucket = find(upstream, now);
    return bucket == nullptr || !bucket->limit ? 1 : std::clamp(bucket->level / bucket->capacity(), 0.0, 1.0);
}

auto FleetRateLimiter::expectedWait(std::string_view upstream, double ahead, TimePoint now) -> Duration
{
    const auto *bucket = find(upstream, now);
    if (bucket == nullptr || !bucket->limit || (ahead <= 0 && mayAdmit(upstream, now))) {
        return Duration::zero();
    }
    const auto saving = std::max(0.0, ahead + 1 - bucket->saved) / (bucket->rate() * share(*bucket, now));
    const auto filling = std::max(0.0, ahead + 1 - bucket->level) / bucket->rate();
    return std::min<Duration>(LongestWait, fromMilliseconds(1000 * std::max(saving, filling)));
}

auto FleetRateLimiter::retryAfter(const std::vector<std::string_view> &upstreams, TimePoint now) -> Duration
{
    auto wait = LongestSpread;
    double rate = 0;
    double demand = 0;
    for (const auto upstream : upstreams) {
        const auto *bucket = find(upstream, now);
        if (bucket != nullptr && bucket->limit) {
            wait = std::min<Duration>(wait, expectedWait(upstream, 0, now));
            rate += bucket->rate() * share(*bucket, now);
            demand = demandOf(bucket->service, now);
        }
    }
    const auto spread = std::clamp<Duration>(fromMilliseconds(rate > 0 ? 1000 * demand / rate : 0), ShortestSpread, LongestSpread);
    return wait + fromMilliseconds(std::uniform_real_distribution<double>(0, toMilliseconds(spread))(m_random));
}

auto FleetRateLimiter::report(const std::string &upstream, const Bucket &bucket, TimePoint now) const -> RateLimitReport
{
    return {upstream, bucket.startedAtMs, bucket.limit, now - bucket.observedAt, bucket.sent, demandOf(bucket.service, now)};
}

auto FleetRateLimiter::dueReports(TimePoint now) -> std::vector<RateLimitReport>
{
    expire(now);
    std::vector<std::pair<TimePoint, std::string>> due;
    for (const auto &[upstream, bucket] : m_buckets) {
        if (bucket.changed || now - bucket.reportedAt >= RefreshPeriod) {
            due.emplace_back(bucket.reportedAt, upstream);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), MaxReports));
    std::vector<RateLimitReport> reports;
    for (const auto &[reportedAt, upstream] : due) {
        auto &bucket = m_buckets.at(upstream);
        bucket.changed = false;
        bucket.reportedAt = now;
        reports.push_back(report(upstream, bucket, now));
    }
    return reports;
}

auto FleetRateLimiter::aggregate(std::string_view aggregatePrefix, TimePoint now) -> std::vector<RateLimitReport>
{
    std::vector<RateLimitReport> reports;
    for (const auto &[upstream, bucket] : m_buckets) {
        auto sum = report(upstream, bucket, now);
        for (const auto &[source, peer] : bucket.peers) {
            if (source.starts_with(aggregatePrefix)) {
                continue;
            }
            sum.sent += peer.sent;
            sum.demand += now - peer.receivedAt < PeerLifetime ? peer.demand : 0;
        }
        reports.push_back(std::move(sum));
    }
    // A random part of a long list, so that each message carries others.
    std::shuffle(reports.begin(), reports.end(), m_random);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

auto FleetRateLimiter::expire(TimePoint now) -> void
{
    std::erase_if(m_buckets, [now](const auto &entry) { return !entry.second.limit && now - entry.second.observedAt >= EndedLifetime; });
}

auto FleetRateLimiter::remove(std::string_view upstream) -> void
{
    if (const auto found = m_buckets.find(upstream); found != m_buckets.end()) {
        m_buckets.erase(found);
    }
}

auto FleetRateLimiter::limitedUpstreams(std::string_view service) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_buckets.begin(), m_buckets.end(), [service](const auto &entry) {
        return entry.second.service == service && entry.second.limit.has_value();
    }));
}

} // namespace currantstack
