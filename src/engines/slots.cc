#include "currantstack/slots.h"

#include <algorithm>
#include <cmath>

namespace currantstack
{

namespace
{

constexpr double RateDecaySeconds = 1.0; // time constant of the moving average of the grant rate
constexpr double PrefillCostWeight = 0.3; // of a new sample in the moving average of the cost per token
constexpr double PrefillOverheadMs = 4; // fixed cost of one prefill
constexpr double FullCapacityWeight = 0.3; // engine weight from which all slots may be granted
constexpr double MinCapacityWeight = 0.05; // engine weight below which no slot is granted

} // namespace

auto name(SlotRefusal reason) -> std::string_view
{
    switch (reason) {
    case SlotRefusal::None:
        return "none";
    case SlotRefusal::QueueFull:
        return "queue full";
    case SlotRefusal::DeadlinePassed:
        return "deadline passed in the queue";
    case SlotRefusal::NoEngine:
        return "no engine may take work";
    }
    return "none";
}

auto SlotLedger::addEngine(const Engine &engine, TimePoint earliestGrant) -> void
{
    auto &owned = m_engines[engine.name];
    owned = OwnedEngine();
    owned.config = engine;
    owned.earliestGrant = earliestGrant;
}

auto SlotLedger::removeEngine(std::string_view engine) -> void
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    for (const auto &[id, allocation] : found->second.allocations) {
        --m_usage[found->second.config.pool][allocation.member];
    }
    m_engines.erase(found);
}

auto SlotLedger::updateEngine(const Engine &engine) -> void
{
    const auto found = m_engines.find(engine.name);
    if (found != m_engines.end()) {
        found->second.config = engine;
    }
}

auto SlotLedger::setLimits(std::int64_t maxQueuedRequests, std::int64_t maxQueuedTokens) -> void
{
    m_maxQueuedRequests = maxQueuedRequests;
    m_maxQueuedTokens = maxQueuedTokens;
}

auto SlotLedger::owns(std::string_view engine) const -> bool
{
    return m_engines.contains(engine);
}

auto SlotLedger::ownedEngines() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, engine] : m_engines) {
        names.push_back(name);
    }
    return names;
}

auto SlotLedger::capacityOf(const OwnedEngine &engine) const -> int
{
    if (engine.config.draining || engine.weight < MinCapacityWeight) {
        return 0;
    }
    if (engine.config.role == Role::Prefill) {
        return std::min(MaxPrefillRequests, engine.config.slots);
    }
    // A recovering engine offers all its slots from a low weight on. Healthier engines are still preferred by cost, but no slot
    // stays free while requests are queued.
    const double share = std::min(1.0, engine.weight / FullCapacityWeight);
    return std::max(1, static_cast<int>(std::floor(engine.config.slots * share)));
}

auto SlotLedger::prefillTime(const OwnedEngine &engine, const SlotRequest &request) -> Duration
{
    const auto cached = engine.config.name == request.preferred ? std::min(request.cachedTokens, request.tokens) : 0;
    return fromMilliseconds(PrefillOverheadMs + static_cast<double>(request.tokens - cached) * engine.microsPerToken / 1000);
}

auto SlotLedger::hasCapacityFor(const OwnedEngine &engine, const SlotRequest &request, TimePoint now) const -> bool
{
    if (engine.config.pool != request.pool || now < engine.earliestGrant) {
        return false;
    }
    if (static_cast<int>(engine.allocations.size()) >= capacityOf(engine)) {
        return false;
    }
    if (engine.config.role == Role::Prefill && engine.busyUntil - now > MaxPrefillBacklog) {
        return false;
    }
    if (std::find(request.excludedEngines.begin(), request.excludedEngines.end(), engine.config.name) != request.excludedEngines.end()) {
        return false;
    }
    if (request.suspect) {
        return std::none_of(engine.allocations.begin(), engine.allocations.end(), [](const auto &entry) { return entry.second.suspect; });
    }
    return true;
}

auto SlotLedger::hasEligibleEngine(const SlotRequest &request) const -> bool
{
    return std::any_of(m_engines.begin(), m_engines.end(), [this, &request](const auto &entry) {
        const auto &excludedEngines = request.excludedEngines;
        return entry.second.config.pool == request.pool && capacityOf(entry.second) > 0
            && std::find(excludedEngines.begin(), excludedEngines.end(), entry.first) == excludedEngines.end();
    });
}

auto SlotLedger::cheapestEngine(const SlotRequest &request, TimePoint now) -> OwnedEngine *
{
    OwnedEngine *best = nullptr;
    double bestCost = 0;
    for (auto &[name, engine] : m_engines) {
        if (!hasCapacityFor(engine, request, now)) {
            continue;
        }
        double cost = static_cast<double>(engine.allocations.size() + 1) / std::max(0.01, engine.weight * engine.config.slots);
        if (engine.config.role == Role::Prefill) {
            const auto backlog = std::max(Duration::zero(), engine.busyUntil - now);
            cost = toMilliseconds(backlog + prefillTime(engine, request));
            cost /= std::max(0.01, engine.weight);
        }
        if (best == nullptr || cost < bestCost) {
            best = &engine;
            bestCost = cost;
        }
    }
    return best;
}

auto SlotLedger::slotsInUse(const std::string &pool, const std::string &member) const -> int
{
    const auto usage = m_usage.find(pool);
    if (usage == m_usage.end()) {
        return 0;
    }
    const auto found = usage->second.find(member);
    return found == usage->second.end() ? 0 : found->second;
}

auto SlotLedger::comesBefore(const SlotRequest &left, const SlotRequest &right) const -> bool
{
    if (left.priority != right.priority) {
        return left.priority > right.priority;
    }
    const double leftUsage = slotsInUse(left.pool, left.member) / std::max(1e-9, left.share);
    const double rightUsage = slotsInUse(right.pool, right.member) / std::max(1e-9, right.share);
    if (left.member != right.member && leftUsage != rightUsage) {
        return leftUsage < rightUsage;
    }
    return left.deadline < right.deadline;
}

auto SlotLedger::requestSlot(SlotRequest request, TimePoint now) -> std::optional<SlotDecision>
{
    const auto refuse = [&request](SlotRefusal reason) { return SlotDecision{request.requestId, request.vm, false, "", reason}; };
    if (!hasEligibleEngine(request)) {
        return refuse(SlotRefusal::NoEngine);
    }
    if (request.deadline < now) {
        return refuse(SlotRefusal::DeadlinePassed);
    }
    auto &queue = m_queues[request.pool];
    if (queue.empty()) {
        if (auto *engine = cheapestEngine(request, now)) {
            return grant(*engine, request, now);
        }
    }
    std::int64_t queuedTokens = 0;
    for (const auto &queued : queue) {
        queuedTokens += queued.tokens;
    }
    const bool full = static_cast<std::int64_t>(queue.size()) >= m_maxQueuedRequests || queuedTokens + request.tokens > m_maxQueuedTokens;
    if (full) {
        // A request that precedes the last queued one displaces it, so that a flood by one member cannot lock out the others.
        const auto last = std::max_element(queue.begin(), queue.end(),
                                           [this](const SlotRequest &left, const SlotRequest &right) { return comesBefore(left, right); });
        if (last == queue.end() || !comesBefore(request, *last)) {
            return refuse(SlotRefusal::QueueFull);
        }
        SlotDecision displaced{last->requestId, last->vm, false, "", SlotRefusal::QueueFull};
        *last = std::move(request);
        return displaced;
    }
    queue.push_back(std::move(request));
    return std::nullopt;
}

auto SlotLedger::grant(OwnedEngine &engine, const SlotRequest &request, TimePoint now) -> SlotDecision
{
    Allocation allocation;
    allocation.vm = request.vm;
    allocation.member = request.member;
    allocation.grantedAt = now;
    allocation.listedAt = now;
    allocation.tokens = request.tokens;
    allocation.suspect = request.suspect;
    if (engine.config.role == Role::Prefill) {
        engine.busyUntil = std::max(engine.busyUntil, now) + prefillTime(engine, request);
    }
    engine.allocations[request.requestId] = std::move(allocation);
    ++m_usage[request.pool][request.member];
    auto &[last, rate] = m_rates[request.pool];
    const double elapsed = std::min(10.0, toSeconds(now - last));
    rate = rate * std::exp(-elapsed / RateDecaySeconds) + 1 / RateDecaySeconds;
    last = now;
    return {request.requestId, request.vm, true, engine.config.name, SlotRefusal::None};
}

auto SlotLedger::processQueues(TimePoint now) -> std::vector<SlotDecision>
{
    std::vector<SlotDecision> decisions;
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue, [&decisions, now, this](const SlotRequest &request) {
            const bool expired = request.deadline < now;
            if (expired || !hasEligibleEngine(request)) {
                const auto reason = expired ? SlotRefusal::DeadlinePassed : SlotRefusal::NoEngine;
                decisions.push_back({request.requestId, request.vm, false, "", reason});
                return true;
            }
            return false;
        });
        std::vector<SlotRequest> blocked; // requests whose constraints no free engine meets now; they don't block those behind them
        while (!queue.empty()) {
            const auto next = std::min_element(
                queue.begin(), queue.end(), [this](const SlotRequest &left, const SlotRequest &right) { return comesBefore(left, right); });
            auto *engine = cheapestEngine(*next, now);
            if (engine != nullptr) {
                decisions.push_back(grant(*engine, *next, now));
            } else if (next->suspect || !next->excludedEngines.empty()) {
                blocked.push_back(std::move(*next));
            } else {
                break;
            }
            if (next != queue.end() - 1) {
                *next = std::move(queue.back());
            }
            queue.pop_back();
        }
        for (auto &request : blocked) {
            queue.push_back(std::move(request));
        }
    }
    return decisions;
}

auto SlotLedger::endAllocation(OwnedEngine &engine, const std::string &requestId, TimePoint now) -> void
{
    const auto found = engine.allocations.find(requestId);
    if (found == engine.allocations.end()) {
        return;
    }
    --m_usage[engine.config.pool][found->second.member];
    engine.allocations.erase(found);
    if (engine.allocations.empty()) {
        engine.busyUntil = std::min(engine.busyUntil, now);
    }
}

auto SlotLedger::release(std::string_view engine, std::string_view requestId, TimePoint now) -> bool
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.allocations.contains(std::string(requestId))) {
        return false;
    }
    endAllocation(found->second, std::string(requestId), now);
    return true;
}

auto SlotLedger::abandon(std::string_view requestId) -> void
{
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue, [requestId](const SlotRequest &request) { return request.requestId == requestId; });
    }
}

auto SlotLedger::releaseUnused(std::string_view requestId, TimePoint now) -> void
{
    for (auto &[name, engine] : m_engines) {
        endAllocation(engine, std::string(requestId), now);
    }
}

auto SlotLedger::setWeight(std::string_view engine, double weight) -> void
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        found->second.weight = std::clamp(weight, 0.0, 1.0);
    }
}

auto SlotLedger::observePrefillCost(std::string_view engine, double microsPerToken) -> void
{
    const auto found = m_engines.find(engine);
    if (found != m_engines.end()) {
        auto &average = found->second.microsPerToken;
        average += PrefillCostWeight * (std::clamp(microsPerToken, 0.1 * average, 5 * average) - average);
    }
}

auto SlotLedger::reconcile(std::string_view engine, std::span<const RunningRequest> running, TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> ended;
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return ended;
    }
    auto &owned = found->second;
    for (const auto &request : running) {
        if (request.phase == "exportable") {
            continue; // the prefill has ended; its KV cache expires on its own
        }
        auto allocation = owned.allocations.find(request.requestId);
        if (allocation == owned.allocations.end()) {
            Allocation added;
            added.vm = request.requestId.substr(0, request.requestId.find('.'));
            added.grantedAt = now;
            allocation = owned.allocations.emplace(request.requestId, std::move(added)).first;
            ++m_usage[owned.config.pool][""];
        }
        allocation->second.listedAt = now;
    }
    for (const auto &[id, allocation] : owned.allocations) {
        if (now - allocation.listedAt > UnlistedGrace) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        endAllocation(owned, id, now);
    }
    return ended;
}

auto SlotLedger::dropVm(std::string_view vm) -> std::vector<AllocationId>
{
    std::vector<AllocationId> orphans;
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue, [vm](const SlotRequest &request) { return request.vm == vm; });
    }
    for (const auto &[name, engine] : m_engines) {
        for (const auto &[id, allocation] : engine.allocations) {
            if (allocation.vm == vm) {
                orphans.push_back({name, id});
            }
        }
    }
    return orphans;
}

auto SlotLedger::view(std::string_view pool, TimePoint now) const -> PoolView
{
    PoolView view;
    view.pool = pool;
    double backlog = 0;
    double cost = 0;
    int engines = 0;
    for (const auto &[name, engine] : m_engines) {
        if (engine.config.pool != pool || now < engine.earliestGrant) {
            continue;
        }
        const int capacity = capacityOf(engine);
        const bool busy = engine.config.role == Role::Prefill && engine.busyUntil - now > MaxPrefillBacklog;
        view.capacity += capacity;
        view.free += busy ? 0 : std::max(0, capacity - static_cast<int>(engine.allocations.size()));
        if (capacity > 0) {
            backlog += toMilliseconds(std::max(Duration::zero(), engine.busyUntil - now));
            cost += engine.microsPerToken;
            ++engines;
        }
    }
    if (const auto queue = m_queues.find(pool); queue != m_queues.end()) {
        view.queued = static_cast<int>(queue->second.size());
        for (const auto &request : queue->second) {
            backlog += engines == 0 ? 0 : static_cast<double>(request.tokens) * cost / engines / 1000;
        }
    }
    view.backlogMs = engines == 0 ? 0 : backlog / engines;
    if (const auto rate = m_rates.find(pool); rate != m_rates.end()) {
        view.grantsPerSecond = rate->second.second * std::exp(-std::min(10.0, toSeconds(now - rate->second.first)) / RateDecaySeconds);
    }
    return view;
}

auto SlotLedger::views(TimePoint now) const -> std::vector<PoolView>
{
    std::vector<PoolView> all;
    std::set<std::string> pools;
    for (const auto &[name, engine] : m_engines) {
        if (pools.insert(engine.config.pool).second) {
            all.push_back(view(engine.config.pool, now));
        }
    }
    return all;
}

auto SlotLedger::allocatedSlots(std::string_view engine) const -> int
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : static_cast<int>(found->second.allocations.size());
}

auto SlotLedger::isQueued(std::string_view requestId) const -> bool
{
    for (const auto &[pool, queue] : m_queues) {
        if (std::any_of(queue.begin(), queue.end(), [requestId](const SlotRequest &request) { return request.requestId == requestId; })) {
            return true;
        }
    }
    return false;
}

} // namespace currantstack
