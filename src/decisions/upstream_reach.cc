#include "currantstack/decisions/upstream_reach.h"

#include <algorithm>

namespace currantstack
{

auto UpstreamReach::onReached(const Upstream &upstream, TimePoint openedAt) -> std::vector<Upstream>
{
    auto &outcome = m_outcomes[upstream.id];
    outcome.reachedAt = std::max(outcome.reachedAt, openedAt);
    auto &group = m_groups[{upstream.service, upstream.role}];
    group.reachedAt = std::max(group.reachedAt, openedAt);
    group.triedAt = std::max(group.triedAt, openedAt);
    if (group.isCutOff && openedAt > outcome.failedAt) {
        if (group.answered.empty()) {
            group.failed.clear(); // the links may have come back with this answer
        }
        group.answered.insert(upstream.id);
        group.failed.erase(upstream.id);
    }
    m_refusals.erase(upstream.id);
    std::vector<Upstream> proved;
    std::erase_if(m_refusals, [&](const auto &entry) {
        const bool isProved =
            !entry.second.isDoubtful && entry.second.openedAt < openedAt && entry.second.upstream.service == upstream.service;
        if (isProved) {
            proved.push_back(entry.second.upstream);
        }
        return isProved;
    });
    return proved;
}

auto UpstreamReach::onFailed(const Upstream &upstream, TimePoint openedAt) -> void
{
    auto &outcome = m_outcomes[upstream.id];
    outcome.failedAt = std::max(outcome.failedAt, openedAt);
    auto &group = m_groups[{upstream.service, upstream.role}];
    group.answered.erase(upstream.id);
    group.triedAt = std::max(group.triedAt, openedAt);
    if (group.isCutOff && openedAt > group.reachedAt) {
        group.failed.insert(upstream.id);
    }
}

auto UpstreamReach::onLate(const Upstream &upstream, TimePoint openedAt, TimePoint now) -> void
{
    auto &outcome = m_outcomes[upstream.id];
    if (openedAt <= outcome.reachedAt) {
        return;
    }
    auto &group = m_groups[{upstream.service, upstream.role}];
    group.triedAt = std::max(group.triedAt, openedAt);
    if (outcome.lateSince <= outcome.reachedAt || openedAt - outcome.lateSince > OutcomeLifetime) {
        outcome.lateSince = openedAt;
    }
    outcome.lateSince = std::min(outcome.lateSince, openedAt);
    if (now - outcome.lateSince >= SilenceUntilFailed) {
        onFailed(upstream, openedAt);
    }
}

auto UpstreamReach::isLate(std::string_view upstream, TimePoint now) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end() && found->second.lateSince > found->second.reachedAt
        && now - found->second.lateSince < OutcomeLifetime;
}

auto UpstreamReach::nextLate(std::span<const Upstream *const> group, TimePoint now) -> const Upstream *
{
    const Upstream *next = nullptr;
    for (const auto *upstream : group) {
        if (!isLate(upstream->id, now)) {
            continue;
        }
        if (next == nullptr || m_outcomes[upstream->id].probedAt < m_outcomes[next->id].probedAt) {
            next = upstream;
        }
    }
    if (group.empty()) {
        return nullptr;
    }
    const auto state = m_groups.find({group.front()->service, group.front()->role});
    if (state == m_groups.end()) {
        return nullptr;
    }
    state->second.isSilent = state->second.isSilent && next != nullptr;
    return state->second.isSilent ? next : nullptr;
}

auto UpstreamReach::onProbe(const Upstream &upstream, TimePoint now) -> void
{
    if (const auto found = m_outcomes.find(upstream.id); found != m_outcomes.end()) {
        found->second.probedAt = now;
    }
    if (auto &group = m_groups[{upstream.service, upstream.role}]; group.isCutOff) {
        group.probedAt.insert_or_assign(upstream.id, now);
        group.triedAt = now;
    }
}

/// Returns the number of upstreams that have not failed since the first answer.
auto UpstreamReach::mayBeReached(const Group &group, std::span<const Upstream *const> upstreams) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(upstreams.begin(), upstreams.end(), [&group](const auto *upstream) { return !group.failed.contains(upstream->id); }));
}

auto UpstreamReach::onRefused(const Upstream &upstream, TimePoint openedAt) -> void
{
    onFailed(upstream, openedAt);
    m_refusals.insert_or_assign(upstream.id, Refusal{upstream, openedAt, m_groups[{upstream.service, upstream.role}].isCutOff});
}

auto UpstreamReach::update(std::span<const Upstream *const> group, TimePoint now) -> std::optional<Change>
{
    if (group.empty()) {
        return std::nullopt;
    }
    const GroupKey key{group.front()->service, group.front()->role};
    // Lost links to one group make a single failure at another one credible.
    const bool isCutOffElsewhere =
        std::any_of(m_groups.begin(), m_groups.end(), [&key](const auto &entry) { return entry.first != key && entry.second.isCutOff; });
    auto &state = m_groups[key];
    const auto late = std::count_if(group.begin(), group.end(), [this, now](const auto *upstream) { return isLate(upstream->id, now); });
    state.isSilent = state.isSilent || static_cast<std::size_t>(late) >= std::min(FailuresUntilCutOff, group.size());
    if (state.isCutOff) {
        if (state.answered.empty() || state.answered.size() < std::min(AnswersUntilReached, mayBeReached(state, group))) {
            return std::nullopt;
        }
        state.isCutOff = false;
        return Change{false, state.answered.size(), now - state.reachedAt};
    }
    const bool oneSuffices = isCutOffElsewhere && now - state.reachedAt > RecentAnswer;
    Change change{true, 0, Duration::zero()};
    for (const auto *upstream : group) {
        const auto found = m_outcomes.find(upstream->id);
        if (found != m_outcomes.end() && found->second.failedAt > state.reachedAt && now - found->second.failedAt < OutcomeLifetime) {
            ++change.upstreams;
            change.oldest = std::max<Duration>(change.oldest, now - found->second.failedAt);
        }
    }
    if (change.upstreams == 0 || change.upstreams < (oneSuffices ? 1 : std::min(FailuresUntilCutOff, group.size()))) {
        return std::nullopt;
    }
    state.isCutOff = true;
    state.answered.clear();
    state.failed.clear();
    state.probedAt.clear();
    for (auto &[id, refusal] : m_refusals) {
        refusal.isDoubtful = refusal.isDoubtful || (refusal.upstream.service == key.service && refusal.upstream.role == key.role);
    }
    return change;
}

auto UpstreamReach::isCutOff(std::string_view service, EngineRole role) const -> bool
{
    const auto found = m_groups.find({std::string(service), role});
    return found != m_groups.end() && found->second.isCutOff;
}

auto UpstreamReach::isCutOff(std::string_view service) const -> bool
{
    return isCutOff(service, EngineRole::None) || isCutOff(service, EngineRole::Decode);
}

auto UpstreamReach::isUnreached(std::string_view upstream, TimePoint now) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end() && found->second.failedAt > found->second.reachedAt && now - found->second.failedAt < OutcomeLifetime;
}

auto UpstreamReach::hasReached(std::string_view upstream, TimePoint since) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end() && found->second.reachedAt >= since;
}

auto UpstreamReach::onServed(const Upstream &upstream, TimePoint at) -> void
{
    auto &outcome = m_outcomes[upstream.id];
    outcome.servedAt = std::max(outcome.servedAt, at);
}

auto UpstreamReach::hasServed(std::string_view upstream, TimePoint since) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end() && found->second.servedAt >= since;
}

auto UpstreamReach::onAnswered(const Upstream &upstream, TimePoint sentAt, TimePoint begunAt) -> void
{
    auto &answered = m_outcomes[upstream.id].answered;
    answered.push_back({sentAt, begunAt});
    if (answered.size() > MaxAnsweredCalls) {
        answered.pop_front();
    }
}

auto UpstreamReach::hasOutlived(std::string_view upstream, TimePoint time, Duration margin) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end()
        && std::any_of(found->second.answered.begin(), found->second.answered.end(),
                       [time, margin](const auto &call) { return call.sentAt <= time && call.begunAt >= time + margin; });
}

auto UpstreamReach::onOtherAnswered(const Upstream &upstream, TimePoint now) -> void
{
    m_outcomes[upstream.id].otherAt = now;
}

auto UpstreamReach::hasOtherAnswered(std::string_view upstream, TimePoint since) const -> bool
{
    const auto found = m_outcomes.find(upstream);
    return found != m_outcomes.end() && found->second.otherAt >= since;
}

/// Returns when the upstream was last tried, or probed during the present cut, whose probes count for longer than other outcomes.
auto UpstreamReach::triedAt(const Upstream &upstream) const -> TimePoint
{
    TimePoint result;
    if (const auto found = m_outcomes.find(upstream.id); found != m_outcomes.end()) {
        result = std::max(found->second.failedAt, found->second.reachedAt);
    }
    if (const auto group = m_groups.find({upstream.service, upstream.role}); group != m_groups.end() && group->second.isCutOff) {
        const auto found = group->second.probedAt.find(upstream.id);
        result = found == group->second.probedAt.end() ? result : std::max(result, found->second);
    }
    return result;
}

auto UpstreamReach::nextProbe(std::span<const Upstream *const> group) const -> const Upstream *
{
    const Upstream *next = nullptr;
    for (const auto *upstream : group) {
        const auto state = m_groups.find({upstream->service, upstream->role});
        if (state != m_groups.end() && state->second.answered.contains(upstream->id)) {
            continue;
        }
        if (next == nullptr || triedAt(*upstream) < triedAt(*next)) {
            next = upstream;
        }
    }
    return next;
}

auto UpstreamReach::cutOffServices() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto &[key, group] : m_groups) {
        if (group.isCutOff && key.role != EngineRole::Prefill) {
            result.push_back(key.service);
        }
    }
    return result;
}

auto UpstreamReach::unprovedServices() const -> std::vector<std::string>
{
    std::set<std::string> services;
    for (const auto &[id, refusal] : m_refusals) {
        if (!refusal.isDoubtful) {
            services.insert(refusal.upstream.service);
        }
    }
    return {services.begin(), services.end()};
}

auto UpstreamReach::nextDoubtful() const -> const Upstream *
{
    for (const auto &[id, refusal] : m_refusals) {
        if (refusal.isDoubtful && !isCutOff(refusal.upstream.service, refusal.upstream.role)) {
            return &refusal.upstream;
        }
    }
    return nullptr;
}

auto UpstreamReach::expire(TimePoint now) -> std::vector<GroupKey>
{
    std::erase_if(m_outcomes, [now](const auto &entry) {
        const auto &outcome = entry.second;
        return now - std::max({outcome.reachedAt, outcome.servedAt, outcome.failedAt, outcome.lateSince, outcome.otherAt})
            > OutcomeLifetime;
    });
    std::erase_if(m_refusals, [now](const auto &entry) { return now - entry.second.openedAt > OutcomeLifetime; });
    std::vector<GroupKey> forgotten;
    std::erase_if(m_groups, [now, &forgotten](const auto &entry) {
        const bool isOld = now - entry.second.triedAt > OutcomeLifetime;
        if (isOld && entry.second.isCutOff) {
            forgotten.push_back(entry.first);
        }
        return isOld;
    });
    return forgotten;
}

} // namespace currantstack
