// Owner side of the slot service: allocates the slots of the engines that this VM owns.
#include "currantstack/log.h"
#include "currantstack/slot_service.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr Log SlotLog("slots");
constexpr Duration SlowReportInterval = milliseconds(100); // minimum between reports about one engine

} // namespace

auto SlotService::deliver(const SlotDecision &decision) -> void
{
    if (const auto remote = m_remoteRequests.find(decision.requestId); remote != m_remoteRequests.end()) {
        const auto reply = std::move(remote->second.reply);
        m_remoteRequests.erase(remote);
        Json body = {{"granted", decision.granted}, {"pools", localViews()}};
        if (decision.granted) {
            body["engine"] = decision.engine;
        } else {
            body["reason"] = name(decision.reason);
        }
        return reply(body);
    }
    const auto found = m_pending.find(decision.requestId);
    if (found == m_pending.end()) {
        if (decision.granted) {
            releaseLocal(decision.engine, decision.requestId, {}); // the requester has abandoned the request
        }
        return;
    }
    if (decision.granted) {
        return finish(decision.requestId,
                      SlotGrant{decision.requestId, decision.engine, m_context.settings.name, m_context.clock.now() + GrantLifetime});
    }
    m_context.timeline.add(EventKind::SlotRefused, decision.requestId, m_context.settings.name, name(decision.reason));
    if (decision.reason == SlotRefusal::DeadlinePassed) {
        return finish(decision.requestId, fail(ErrorCode::DeadlineExceeded, "slot", "", "the deadline passed in the queue"));
    }
    found->second.refusedBy.insert(m_context.settings.name);
    dispatch(decision.requestId);
}

auto SlotService::processQueues() -> void
{
    m_queueScheduled = false;
    for (const auto &decision : m_ledger.processQueues(m_context.clock.now())) {
        deliver(decision);
    }
}

auto SlotService::withdraw(const std::string &requestId) -> void
{
    m_remoteRequests.erase(requestId);
    m_ledger.abandon(requestId);
    m_ledger.releaseUnused(requestId, m_context.clock.now());
}

auto SlotService::handleSlotRequest(const std::string &sender, const Json &body, const PeerRouter::Reply &reply) -> void
{
    const auto now = m_context.clock.now();
    auto request = slotRequestFromJson(body, now);
    if (!request) {
        return reply(tl::unexpected(request.error()));
    }
    request->vm = sender;
    const auto id = request->requestId;
    m_remoteRequests[id] = {reply};
    if (const auto decision = m_ledger.requestSlot(std::move(*request), now)) {
        deliver(*decision);
    }
}

auto SlotService::handleRelease(const Json &body) -> void
{
    if (const auto abandoned = body.value("abandon", std::string()); !abandoned.empty()) {
        withdraw(abandoned);
    }
    ValidationErrors errors;
    ObjectReader reader(body, "", errors);
    for (auto &item : reader.objects("items")) {
        const auto engine = item.text("engine");
        const auto id = item.text("id", "");
        const auto observation = readObservation(item);
        if (!errors.empty()) {
            return;
        }
        if (id.empty()) {
            recordObservation(engine, observation);
            applyWeights();
        } else {
            releaseLocal(engine, id, observation);
        }
    }
}

auto SlotService::recordObservation(const std::string &engine, const SlotObservation &observation) -> void
{
    const auto now = m_context.clock.now();
    if (observation.failed) {
        m_health.observeFailure(engine, now);
    } else {
        m_health.observe(engine, observation.ratio, now);
    }
}

auto SlotService::releaseLocal(const std::string &engine, const std::string &requestId, const SlotObservation &observation) -> void
{
    const auto now = m_context.clock.now();
    if (observation.failed || observation.ratio >= HealthTracker::SlowRatio) {
        recordObservation(engine, observation);
        applyWeights();
    }
    if (observation.microsPerToken > 0) {
        m_ledger.observePrefillCost(engine, observation.microsPerToken);
    }
    m_ledger.release(engine, requestId, now);
    if (!std::exchange(m_queueScheduled, true)) {
        m_context.loop.defer([this]() { processQueues(); });
    }
}

auto SlotService::observe(const std::string &engine, const SlotObservation &observation) -> void
{
    const auto now = m_context.clock.now();
    recordObservation(engine, observation);
    if (!observation.failed && observation.ratio < HealthTracker::SlowRatio) {
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
    if (now - m_slowReportedAt[engine] < SlowReportInterval) {
        return;
    }
    m_slowReportedAt[engine] = now;
    Json item = {{"engine", engine}};
    writeObservation(item, observation);
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

auto SlotService::updateOwnedEngines() -> void
{
    m_ledger.setLimits(m_context.config->limits.maxQueuedRequests, m_context.config->limits.maxQueuedTokens);
    std::set<std::string> owned;
    for (const auto &engine : m_context.config->engines) {
        if (!m_context.isSelf(m_context.ownerOf(engine))) {
            continue;
        }
        owned.insert(engine.name);
        if (m_ledger.owns(engine.name)) {
            m_ledger.updateEngine(engine);
            continue;
        }
        // The first grant waits until the engine's request list has been read, after the previous owner's grants have expired.
        m_ledger.addEngine(engine, TimePoint::max());
        m_unreconciled.insert(engine.name);
        m_context.timeline.add(EventKind::OwnershipChanged, "", engine.name, "adopted");
        m_context.loop.after(GrantLifetime, [this, name = engine.name]() { reconcileEngine(name); });
        SlotLog.debug("This VM now owns {}", engine.name);
    }
    for (const auto &name : m_ledger.ownedEngines()) {
        if (!owned.contains(name)) {
            m_ledger.removeEngine(name);
            m_unreconciled.erase(name);
            m_context.timeline.add(EventKind::OwnershipChanged, "", name, "released");
        }
    }
}

auto SlotService::onOwnershipLost() -> void
{
    for (const auto &name : m_ledger.ownedEngines()) {
        m_ledger.removeEngine(name);
    }
    m_unreconciled.clear();
    m_views.clear();
    updateOwnedEngines();
}

auto SlotService::reconcileAll() -> void
{
    applyWeights();
    for (const auto &name : m_ledger.ownedEngines()) {
        if (!m_unreconciled.contains(name)) {
            reconcileEngine(name);
        }
    }
}

auto SlotService::reconcileEngine(const std::string &engine) -> void
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
            if (m_unreconciled.contains(engine)) {
                m_context.loop.after(GrantLifetime, [this, engine]() { reconcileEngine(engine); });
            }
            return;
        }
        const auto now = m_context.clock.now();
        if (m_unreconciled.erase(engine) > 0) {
            m_ledger.addEngine(*found, now);
        }
        cancelOrphans(*found, *running);
        m_ledger.reconcile(engine, *running, now);
        processQueues();
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto SlotService::isOrphan(const RunningRequest &request) const -> bool
{
    const auto dot = request.requestId.find('.');
    if (dot == std::string::npos) {
        return false;
    }
    const auto vm = request.requestId.substr(0, dot);
    const auto startedAtMs = std::atoll(request.requestId.c_str() + dot + 1);
    if (m_context.isSelf(vm)) {
        return false; // local relays cancel their own requests
    }
    const auto *peer = m_context.membership.find(vm);
    if (peer == nullptr) {
        return milliseconds(request.ageMs) > UnknownVmGrace;
    }
    return peer->state == VmState::Dead || startedAtMs < peer->vm.startedAtMs;
}

auto SlotService::cancelOrphans(const Engine &engine, std::span<const RunningRequest> running) -> void
{
    for (const auto &request : running) {
        if (isOrphan(request)) {
            m_context.counters.at("orphans_cancelled").add();
            m_canceller.cancel(engine.name, engine.address, request.requestId, "its VM is dead, restarted or unknown");
        }
    }
}

auto SlotService::localViews() -> Json
{
    auto list = Json::array();
    for (const auto &view : m_ledger.views(m_context.clock.now())) {
        list.push_back(toJson(view));
    }
    return list;
}

auto SlotService::mergeViews(const std::string &vm, const Json &section) -> void
{
    if (!section.is_array() || m_context.isSelf(vm)) {
        return;
    }
    PeerViews views;
    views.receivedAt = m_context.clock.now();
    for (const auto &value : section) {
        if (auto view = poolViewFromJson(value)) {
            const auto pool = view->pool;
            views.pools[pool] = std::move(*view);
        }
    }
    m_views[vm] = std::move(views);
}

} // namespace currantstack
