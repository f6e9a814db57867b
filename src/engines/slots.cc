#include "currantstack/slots.h"

#include <algorithm>
#include <cmath>

namespace currantstack
{

namespace
{

constexpr double RateMemory = 1.0; // seconds over which the grant rate is averaged
constexpr double CostWeight = 0.3; // of a new observation of a prefill's cost
constexpr double PrefillOverheadMs = 4; // of one prefill, whatever its length
constexpr double FullCapacityWeight = 0.3;
constexpr double MinCapacityShare = 0.05;

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

auto SlotLedger::addEngine(const Engine &engine, TimePoint openAt) -> void
{
    auto &owned = m_engines[engine.name];
    owned = OwnedEngine();
    owned.info = engine;
    owned.openAt = openAt;
}

auto SlotLedger::disown(std::string_view engine) -> void
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    for (const auto &[id, holding] : found->second.holdings) {
        --m_usage[found->second.info.pool][holding.member];
    }
    m_engines.erase(found);
}

auto SlotLedger::update(const Engine &engine) -> void
{
    const auto found = m_engines.find(engine.name);
    if (found != m_engines.end()) {
        found->second.info = engine;
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
    if (engine.info.leaving || engine.weight < MinCapacityShare) {
        return 0;
    }
    if (engine.info.role == Role::Prefill) {
        return std::min(PrefillDepth, engine.info.slots);
    }
    // An engine that recovers is full-sized early: others are preferred by cost, but no slot idles beside a queue.
    const double share = std::min(1.0, engine.weight / FullCapacityWeight);
    return std::max(1, static_cast<int>(std::floor(engine.info.slots * share)));
}

auto SlotLedger::workOf(const OwnedEngine &engine, const SlotRequest &request) -> Duration
{
    const auto cached = engine.info.name == request.preferred ? std::min(request.cachedTokens, request.tokens) : 0;
    return fromMilliseconds(PrefillOverheadMs + static_cast<double>(request.tokens - cached) * engine.microsPerToken / 1000);
}

auto SlotLedger::canTake(const OwnedEngine &engine, const SlotRequest &request, TimePoint now) const -> bool
{
    if (engine.info.pool != request.pool || now < engine.openAt) {
        return false;
    }
    if (static_cast<int>(engine.holdings.size()) >= capacityOf(engine)) {
        return false;
    }
    if (engine.info.role == Role::Prefill && engine.busyUntil - now > PrefillSlack) {
        return false;
    }
    if (std::find(request.avoid.begin(), request.avoid.end(), engine.info.name) != request.avoid.end()) {
        return false;
    }
    if (request.suspect) {
        return std::none_of(engine.holdings.begin(), engine.holdings.end(), [](const auto &entry) { return entry.second.suspect; });
    }
    return true;
}

auto SlotLedger::hasEngine(const SlotRequest &request) const -> bool
{
    return std::any_of(m_engines.begin(), m_engines.end(), [this, &request](const auto &entry) {
        const auto &avoid = request.avoid;
        return entry.second.info.pool == request.pool && capacityOf(entry.second) > 0
            && std::find(avoid.begin(), avoid.end(), entry.first) == avoid.end();
    });
}

auto SlotLedger::bestEngine(const SlotRequest &request, TimePoint now) -> OwnedEngine *
{
    OwnedEngine *best = nullptr;
    double bestCost = 0;
    for (auto &[name, engine] : m_engines) {
        if (!canTake(engine, request, now)) {
            continue;
        }
        double cost = static_cast<double>(engine.holdings.size() + 1) / std::max(0.01, engine.weight * engine.info.slots);
        if (engine.info.role == Role::Prefill) {
            const auto backlog = std::max(Duration::zero(), engine.busyUntil - now);
            cost = toMilliseconds(backlog + workOf(engine, request));
            cost /= std::max(0.01, engine.weight);
        }
        if (best == nullptr || cost < bestCost) {
            best = &engine;
            bestCost = cost;
        }
    }
    return best;
}

auto SlotLedger::usageOf(const std::string &pool, const std::string &member) const -> int
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
    const double leftUse = usageOf(left.pool, left.member) / std::max(1e-9, left.share);
    const double rightUse = usageOf(right.pool, right.member) / std::max(1e-9, right.share);
    if (left.member != right.member && leftUse != rightUse) {
        return leftUse < rightUse;
    }
    return left.deadline < right.deadline;
}

auto SlotLedger::requestSlot(SlotRequest request, TimePoint now) -> std::optional<SlotDecision>
{
    const auto refuse = [&request](SlotRefusal reason) { return SlotDecision{request.requestId, request.vm, false, "", reason}; };
    if (!hasEngine(request)) {
        return refuse(SlotRefusal::NoEngine);
    }
    if (request.deadline < now) {
        return refuse(SlotRefusal::DeadlinePassed);
    }
    auto &queue = m_queues[request.pool];
    if (queue.empty()) {
        if (auto *engine = bestEngine(request, now)) {
            return grant(*engine, request, now);
        }
    }
    std::int64_t queuedTokens = 0;
    for (const auto &queued : queue) {
        queuedTokens += queued.tokens;
    }
    const bool full = static_cast<std::int64_t>(queue.size()) >= m_maxQueuedRequests || queuedTokens + request.tokens > m_maxQueuedTokens;
    if (full) {
        // A request that would come first displaces the last one, so that a flood cannot fill the queue against others.
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
    Holding holding;
    holding.vm = request.vm;
    holding.member = request.member;
    holding.since = now;
    holding.listedAt = now;
    holding.tokens = request.tokens;
    holding.suspect = request.suspect;
    if (engine.info.role == Role::Prefill) {
        engine.busyUntil = std::max(engine.busyUntil, now) + workOf(engine, request);
    }
    engine.holdings[request.requestId] = std::move(holding);
    ++m_usage[request.pool][request.member];
    auto &[last, rate] = m_rates[request.pool];
    const double passed = std::min(10.0, toSeconds(now - last));
    rate = rate * std::exp(-passed / RateMemory) + 1 / RateMemory;
    last = now;
    return {request.requestId, request.vm, true, engine.info.name, SlotRefusal::None};
}

auto SlotLedger::processQueues(TimePoint now) -> std::vector<SlotDecision>
{
    std::vector<SlotDecision> decisions;
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue, [&decisions, now, this](const SlotRequest &request) {
            const bool late = request.deadline < now;
            if (late || !hasEngine(request)) {
                const auto reason = late ? SlotRefusal::DeadlinePassed : SlotRefusal::NoEngine;
                decisions.push_back({request.requestId, request.vm, false, "", reason});
                return true;
            }
            return false;
        });
        std::vector<SlotRequest> blocked; // suspects that no free engine may take now
        while (!queue.empty()) {
            const auto next = std::min_element(
                queue.begin(), queue.end(), [this](const SlotRequest &left, const SlotRequest &right) { return comesBefore(left, right); });
            auto *engine = bestEngine(*next, now);
            if (engine != nullptr) {
                decisions.push_back(grant(*engine, *next, now));
            } else if (next->suspect || !next->avoid.empty()) {
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

auto SlotLedger::endHolding(OwnedEngine &engine, const std::string &requestId, TimePoint now) -> void
{
    const auto found = engine.holdings.find(requestId);
    if (found == engine.holdings.end()) {
        return;
    }
    --m_usage[engine.info.pool][found->second.member];
    engine.holdings.erase(found);
    if (engine.holdings.empty()) {
        engine.busyUntil = std::min(engine.busyUntil, now);
    }
}

auto SlotLedger::release(std::string_view engine, std::string_view requestId, TimePoint now) -> bool
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.holdings.contains(std::string(requestId))) {
        return false;
    }
    endHolding(found->second, std::string(requestId), now);
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
        endHolding(engine, std::string(requestId), now);
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
        auto &known = found->second.microsPerToken;
        known += CostWeight * (std::clamp(microsPerToken, 0.1 * known, 5 * known) - known);
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
            continue; // its prefill is over; the result expires by itself
        }
        auto holding = owned.holdings.find(request.requestId);
        if (holding == owned.holdings.end()) {
            Holding unknown;
            unknown.vm = request.requestId.substr(0, request.requestId.find('.'));
            unknown.since = now;
            holding = owned.holdings.emplace(request.requestId, std::move(unknown)).first;
            ++m_usage[owned.info.pool][""];
        }
        holding->second.listedAt = now;
    }
    for (const auto &[id, holding] : owned.holdings) {
        if (now - holding.listedAt > Grace) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        endHolding(owned, id, now);
    }
    return ended;
}

auto SlotLedger::dropVm(std::string_view vm) -> std::vector<Holder>
{
    std::vector<Holder> orphans;
    for (auto &[pool, queue] : m_queues) {
        std::erase_if(queue, [vm](const SlotRequest &request) { return request.vm == vm; });
    }
    for (const auto &[name, engine] : m_engines) {
        for (const auto &[id, holding] : engine.holdings) {
            if (holding.vm == vm) {
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
        if (engine.info.pool != pool || now < engine.openAt) {
            continue;
        }
        const int capacity = capacityOf(engine);
        const bool busy = engine.info.role == Role::Prefill && engine.busyUntil - now > PrefillSlack;
        view.capacity += capacity;
        view.free += busy ? 0 : std::max(0, capacity - static_cast<int>(engine.holdings.size()));
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
        view.grantsPerSecond = rate->second.second * std::exp(-std::min(10.0, toSeconds(now - rate->second.first)) / RateMemory);
    }
    return view;
}

auto SlotLedger::views(TimePoint now) const -> std::vector<PoolView>
{
    std::vector<PoolView> all;
    std::set<std::string> pools;
    for (const auto &[name, engine] : m_engines) {
        if (pools.insert(engine.info.pool).second) {
            all.push_back(view(engine.info.pool, now));
        }
    }
    return all;
}

auto SlotLedger::allocatedSlots(std::string_view engine) const -> int
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : static_cast<int>(found->second.holdings.size());
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
