// The owner's part of the slot service: it decides who gets the slots of its engines.
#include "currantstack/log.h"
#include "currantstack/slot_service.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr Log SlotLog("slots");
constexpr Duration TellSlowEvery = milliseconds(100);

} // namespace

auto SlotService::deliver(const SlotDecision &decision) -> void
{
    if (const auto remote = m_remote.find(decision.requestId); remote != m_remote.end()) {
        const auto reply = std::move(remote->second.reply);
        m_remote.erase(remote);
        Json body = {{"granted", decision.granted}, {"pools", produceViews()}};
        if (decision.granted) {
            body["engine"] = decision.engine;
        } else {
            body["reason"] = name(decision.reason);
        }
        return reply(body);
    }
    const auto found = m_asks.find(decision.requestId);
    if (found == m_asks.end()) {
        if (decision.granted) {
            releaseLocal(decision.engine, decision.requestId, {}); // the asker is gone
        }
        return;
    }
    if (decision.granted) {
        return finish(decision.requestId,
                      SlotGrant{decision.requestId, decision.engine, m_context.settings.name, m_context.clock.now() + GrantLife});
    }
    m_context.timeline.add(EventKind::SlotRefused, decision.requestId, m_context.settings.name, name(decision.reason));
    if (decision.reason == SlotRefusal::DeadlinePassed) {
        return finish(decision.requestId, fail(ErrorCode::DeadlineExceeded, "slot", "", "the deadline passed in the queue"));
    }
    found->second.refusedBy.insert(m_context.settings.name);
    place(decision.requestId);
}

auto SlotService::decide() -> void
{
    m_decideScheduled = false;
    for (const auto &decision : m_ledger.decide(m_context.clock.now())) {
        deliver(decision);
    }
}

auto SlotService::takeBack(const std::string &requestId) -> void
{
    m_remote.erase(requestId);
    m_ledger.abandon(requestId);
    m_ledger.releaseUnused(requestId, m_context.clock.now());
}

auto SlotService::handleAsk(const std::string &sender, const Json &body, const PeerRouter::Reply &reply) -> void
{
    const auto now = m_context.clock.now();
    auto request = slotRequestFromJson(body, now);
    if (!request) {
        return reply(tl::unexpected(request.error()));
    }
    request->vm = sender;
    const auto id = request->requestId;
    m_remote[id] = {reply};
    if (const auto decision = m_ledger.ask(std::move(*request), now)) {
        deliver(*decision);
    }
}

auto SlotService::handleRelease(const Json &body) -> void
{
    if (const auto abandoned = body.value("abandon", std::string()); !abandoned.empty()) {
        takeBack(abandoned);
    }
    ValidationErrors errors;
    ObjectReader reader(body, "", errors);
    for (auto &item : reader.objects("items")) {
        const auto engine = item.text("engine");
        const auto id = item.text("id", "");
        const auto seen = readObservation(item);
        if (!errors.empty()) {
            return;
        }
        if (id.empty()) {
            noteLocal(engine, seen);
            applyWeights();
        } else {
            releaseLocal(engine, id, seen);
        }
    }
}

auto SlotService::noteLocal(const std::string &engine, const SlotObservation &seen) -> void
{
    const auto now = m_context.clock.now();
    if (seen.failed) {
        m_health.observeFailure(engine, now);
    } else {
        m_health.observe(engine, seen.ratio, now);
    }
}

auto SlotService::releaseLocal(const std::string &engine, const std::string &requestId, const SlotObservation &seen) -> void
{
    const auto now = m_context.clock.now();
    if (seen.failed || seen.ratio >= HealthTracker::SlowRatio) {
        noteLocal(engine, seen);
        applyWeights();
    }
    if (seen.microsPerToken > 0) {
        m_ledger.observePrefillCost(engine, seen.microsPerToken);
    }
    m_ledger.release(engine, requestId, now);
    if (!std::exchange(m_decideScheduled, true)) {
        m_context.loop.defer([this]() { decide(); });
    }
}

auto SlotService::observe(const std::string &engine, const SlotObservation &seen) -> void
{
    const auto now = m_context.clock.now();
    noteLocal(engine, seen);
    if (!seen.failed && seen.ratio < HealthTracker::SlowRatio) {
        return;
    }
    const auto *info = m_context.config->findEngine(engine);
    if (info == nullptr) {
        return;
    }
    const auto owner = m_context.ownerOf(*info);
    if (m_context.isSelf(owner)) {
        return applyWeights();
    }
    if (now - m_toldSlow[engine] < TellSlowEvery) {
        return;
    }
    m_toldSlow[engine] = now;
    Json item = {{"engine", engine}};
    writeObservation(item, seen);
    m_context.peers.call(m_context.addressOf(owner), "/peer/release", {{"items", {std::move(item)}}}, m_context.config->timeouts.peer,
                         [](const Result<Json> &) {});
}

auto SlotService::applyWeights() -> void
{
    const auto now = m_context.clock.now();
    std::map<std::string, std::vector<std::string>> pools;
    for (const auto &name : m_ledger.ownedEngines()) {
        if (const auto *engine = m_context.config->findEngine(name)) {
            pools[engine->pool].push_back(name);
        }
    }
    for (const auto &[pool, engines] : pools) {
        for (const auto &[engine, weight] : m_health.weights(engines, m_context.config->limits.maxEjectedShare, now)) {
            m_ledger.setWeight(engine, weight);
        }
    }
}

auto SlotService::reconsider() -> void
{
    m_ledger.setLimits(m_context.config->limits.maxQueuedRequests, m_context.config->limits.maxQueuedTokens);
    std::set<std::string> mine;
    for (const auto &engine : m_context.config->engines) {
        if (!m_context.isSelf(m_context.ownerOf(engine))) {
            continue;
        }
        mine.insert(engine.name);
        if (m_ledger.owns(engine.name)) {
            m_ledger.update(engine);
            continue;
        }
        // The engine's list is read before the first grant, and the old owner's grants have run out by then.
        m_ledger.adopt(engine, TimePoint::max());
        m_unread.insert(engine.name);
        m_context.timeline.add(EventKind::OwnershipChanged, "", engine.name, "adopted");
        m_context.loop.after(GrantLife, [this, name = engine.name]() { listEngine(name); });
        SlotLog.debug("This VM owns {} now", engine.name);
    }
    for (const auto &name : m_ledger.ownedEngines()) {
        if (!mine.contains(name)) {
            m_ledger.disown(name);
            m_unread.erase(name);
            m_context.timeline.add(EventKind::OwnershipChanged, "", name, "given up");
        }
    }
}

auto SlotService::surrender() -> void
{
    for (const auto &name : m_ledger.ownedEngines()) {
        m_ledger.disown(name);
    }
    m_unread.clear();
    m_views.clear();
    reconsider();
}

auto SlotService::listAll() -> void
{
    applyWeights();
    for (const auto &name : m_ledger.ownedEngines()) {
        if (!m_unread.contains(name)) {
            listEngine(name);
        }
    }
}

auto SlotService::listEngine(const std::string &engine) -> void
{
    const auto *info = m_context.config->findEngine(engine);
    if (info == nullptr || !m_ledger.owns(engine)) {
        return;
    }
    HttpCall call;
    call.url = urlOf(info->address, "/v1/requests");
    call.connectTimeout = m_context.config->timeouts.connect;
    call.totalTimeout = seconds(1);
    call.step = "engine list";
    call.peer = engine;
    HttpHandlers handlers;
    handlers.onDone = [this, engine](const Result<HttpResponse> &response) {
        const auto *found = m_context.config->findEngine(engine);
        if (found == nullptr || !m_ledger.owns(engine)) {
            return;
        }
        auto body = response ? parseJson(response->body, "engine list") : Result<Json>(tl::unexpected(response.error()));
        auto running = body ? runningFromJson(*body) : Result<std::vector<RunningRequest>>(tl::unexpected(body.error()));
        if (!running) {
            m_health.observeFailure(engine, m_context.clock.now());
            m_context.counters.at("engine_lists_failed").add();
            if (m_unread.contains(engine)) {
                m_context.loop.after(GrantLife, [this, engine]() { listEngine(engine); });
            }
            return;
        }
        const auto now = m_context.clock.now();
        if (m_unread.erase(engine) > 0) {
            m_ledger.adopt(*found, now);
        }
        dropOrphans(*found, *running);
        m_ledger.reconcile(engine, *running, now);
        decide();
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto SlotService::isGone(const RunningRequest &request) const -> bool
{
    const auto dot = request.requestId.find('.');
    if (dot == std::string::npos) {
        return false;
    }
    const auto vm = request.requestId.substr(0, dot);
    const auto boot = std::atoll(request.requestId.c_str() + dot + 1);
    if (m_context.isSelf(vm)) {
        return false; // the own relays cancel their own
    }
    const auto *peer = m_context.membership.find(vm);
    if (peer == nullptr) {
        return milliseconds(request.ageMs) > UnknownVmAge;
    }
    return peer->state == VmState::Dead || boot < peer->vm.boot;
}

auto SlotService::dropOrphans(const Engine &engine, std::span<const RunningRequest> running) -> void
{
    for (const auto &request : running) {
        if (isGone(request)) {
            m_context.counters.at("orphans_cancelled").add();
            m_cancels.cancel(engine.name, engine.address, request.requestId, "its VM is gone");
        }
    }
}

auto SlotService::produceViews() -> Json
{
    auto list = Json::array();
    for (const auto &view : m_ledger.views(m_context.clock.now())) {
        list.push_back(toJson(view));
    }
    return list;
}

auto SlotService::takeViews(const std::string &vm, const Json &section) -> void
{
    if (!section.is_array() || m_context.isSelf(vm)) {
        return;
    }
    PeerViews views;
    views.heardAt = m_context.clock.now();
    for (const auto &value : section) {
        if (auto view = poolViewFromJson(value)) {
            const auto pool = view->pool;
            views.pools[pool] = std::move(*view);
        }
    }
    m_views[vm] = std::move(views);
}

} // namespace currantstack
