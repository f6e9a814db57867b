#include "currantstack/slot_service.h"

#include "currantstack/log.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr Log SlotLog("slots");
constexpr int MaxTries = 4; // owners asked for one slot
constexpr Duration OtherPlace = milliseconds(1);
constexpr Duration OtherRegion = milliseconds(60);
constexpr Duration TellSlowEvery = milliseconds(100);
constexpr Duration ReplyAllowance = milliseconds(300); // beyond a request's deadline, for the owner's answer

} // namespace

SlotService::SlotService(Context &context, Announcer &announcer, Cancels &cancels)
    : m_context(context)
    , m_cancels(cancels)
    , m_decider(context.loop.timer([this]() { decide(); }))
    , m_lister(context.loop.timer([this]() { listAll(); }))
    , m_mover(context.loop.timer([this]() { moveWaiting(); }))
{
    announcer.section(
        "pools", [this]() { return produceViews(); }, [this](const std::string &vm, const Json &section) { takeViews(vm, section); });
    context.router.on("/peer/slot",
                      [this](const std::string &sender, const Json &body, const ExchangePtr &exchange, const PeerRouter::Reply &reply) {
                          handleAsk(sender, body, reply);
                          exchange->onGone([this, id = body.value("id", std::string())]() { takeBack(id); });
                      });
    context.router.on("/peer/release", [this](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
        handleRelease(body);
        reply(Json{{"pools", produceViews()}});
    });
}

auto SlotService::start() -> void
{
    m_decider->startRepeating(DecidePeriod, DecidePeriod);
    m_lister->startRepeating(ListPeriod, ListPeriod);
    m_mover->startRepeating(Patience / 2, Patience / 2);
    reconsider();
}

auto SlotService::distanceTo(std::string_view vm) const -> Duration
{
    if (m_context.isSelf(vm)) {
        return Duration::zero();
    }
    const auto *peer = m_context.membership.find(vm);
    if (peer == nullptr || peer->vm.region != m_context.settings.region) {
        return OtherRegion;
    }
    return peer->vm.place == m_context.settings.place ? Duration::zero() : OtherPlace;
}

auto SlotService::ownerViews(std::string_view pool, const Ask &ask) -> std::vector<OwnerView>
{
    const auto now = m_context.clock.now();
    std::vector<OwnerView> views;
    auto preferredOwner = std::string();
    if (!ask.request.preferred.empty()) {
        if (const auto *engine = m_context.config->findEngine(ask.request.preferred)) {
            preferredOwner = m_context.ownerOf(*engine);
        }
    }
    const auto &self = m_context.settings.name;
    if (!ask.refusedBy.contains(self)) {
        OwnerView own;
        own.owner = self;
        own.pool = m_ledger.view(pool, now);
        own.isSelf = true;
        own.holdsPrefix = preferredOwner == self;
        views.push_back(std::move(own));
    }
    for (const auto &[vm, entry] : m_views) {
        const auto *peer = m_context.membership.find(vm);
        const auto found = entry.pools.find(pool);
        if (found == entry.pools.end() || peer == nullptr || peer->state != VmState::Alive || ask.refusedBy.contains(vm)) {
            continue;
        }
        OwnerView view;
        view.owner = vm;
        view.pool = found->second;
        view.age = now - entry.heardAt;
        const auto pending = entry.pending.find(pool);
        view.pending = pending == entry.pending.end() ? 0 : pending->second;
        view.distance = distanceTo(vm);
        view.holdsPrefix = preferredOwner == vm;
        views.push_back(std::move(view));
    }
    return views;
}

auto SlotService::bestWait(std::string_view pool, Role role, double prefillMs) -> Duration
{
    auto best = Duration::max();
    for (const auto &view : ownerViews(pool, Ask())) {
        if (view.pool.capacity > 0) {
            best = std::min(best, expectedWait(view, role, prefillMs) + 2 * view.distance);
        }
    }
    return best;
}

auto SlotService::ask(SlotRequest request, Role role, double prefillMs, Done done) -> void
{
    const auto id = request.requestId;
    Ask ask;
    ask.request = std::move(request);
    ask.request.vm = m_context.settings.name;
    ask.role = role;
    ask.prefillMs = prefillMs;
    ask.done = std::move(done);
    m_asks[id] = std::move(ask);
    place(id);
}

auto SlotService::place(const std::string &requestId) -> void
{
    auto &ask = m_asks.at(requestId);
    const auto views = ownerViews(ask.request.pool, ask);
    auto chosen = chooseOwner(views, ask.role, ask.prefillMs, m_context.random);
    if (ask.request.sticky) {
        const auto holder =
            std::find_if(views.begin(), views.end(), [](const OwnerView &view) { return view.holdsPrefix && view.pool.capacity > 0; });
        chosen = holder == views.end() ? chosen : std::optional<std::size_t>(holder - views.begin());
    }
    if (!chosen || ask.tries >= MaxTries) {
        return finish(requestId, fail(ErrorCode::Overloaded, "choose", ask.request.pool, "no owner has a slot for the request"));
    }
    ++ask.tries;
    askOwner(ask, views[*chosen].owner);
}

auto SlotService::askOwner(Ask &ask, const std::string &owner) -> void
{
    ask.owner = owner;
    ask.askedAt = m_context.clock.now();
    m_context.timeline.add(EventKind::SlotAsked, ask.request.requestId, ask.owner);
    if (!m_context.isSelf(ask.owner)) {
        return askPeer(ask);
    }
    if (const auto decision = m_ledger.ask(ask.request, m_context.clock.now())) {
        deliver(*decision);
    }
}

auto SlotService::moveWaiting() -> void
{
    const auto now = m_context.clock.now();
    std::vector<std::string> impatient;
    for (const auto &[id, ask] : m_asks) {
        if (now - ask.askedAt > Patience && ask.moves < MaxMoves && !ask.request.sticky) {
            impatient.push_back(id);
        }
    }
    for (const auto &id : impatient) {
        const auto found = m_asks.find(id);
        if (found == m_asks.end()) {
            continue;
        }
        auto &ask = found->second;
        const auto views = ownerViews(ask.request.pool, ask);
        const auto current = std::find_if(views.begin(), views.end(), [&ask](const OwnerView &view) { return view.owner == ask.owner; });
        if (current == views.end()) {
            continue;
        }
        const auto sooner = findSooner(views, static_cast<std::size_t>(current - views.begin()), ask.role, ask.prefillMs, MoveMargin);
        if (!sooner) {
            ask.askedAt = now;
            continue;
        }
        ++ask.moves;
        m_context.counters.at("slot_asks_moved").add();
        sendAbandon(ask);
        askOwner(ask, views[*sooner].owner);
    }
}

auto SlotService::sendAbandon(const Ask &ask) -> void
{
    if (m_context.isSelf(ask.owner)) {
        return m_ledger.abandon(ask.request.requestId);
    }
    m_context.peers.cancel(ask.call);
    const Json body = {{"abandon", ask.request.requestId}, {"items", Json::array()}};
    m_context.peers.call(m_context.addressOf(ask.owner), "/peer/release", body, m_context.config->timeouts.peer,
                         [](const Result<Json> &) {});
}

auto SlotService::askPeer(Ask &ask) -> void
{
    const auto now = m_context.clock.now();
    const auto id = ask.request.requestId;
    auto &entry = m_views[ask.owner];
    ++entry.pending[ask.request.pool];
    m_context.counters.at("slot_asks_remote").add();
    const auto timeout = std::max(Duration::zero(), Duration(ask.request.deadline - now)) + ReplyAllowance;
    ask.call = m_context.peers.call(
        m_context.addressOf(ask.owner), "/peer/slot", toJson(ask.request, now), timeout, [this, id](const Result<Json> &reply) {
            const auto found = m_asks.find(id);
            if (found == m_asks.end()) {
                return;
            }
            auto &pending = found->second;
            pending.call = 0;
            if (!reply) {
                pending.refusedBy.insert(pending.owner);
                if (reply.error().code == ErrorCode::Unreachable) {
                    m_context.membership.doubt(pending.owner, false);
                }
                // A grant whose reply was lost ends when the engine does not list it.
                m_context.counters.at("slot_asks_failed").add();
                return place(id);
            }
            takeViews(pending.owner, reply->value("pools", Json::array()));
            if (reply->value("granted", false)) {
                return finish(id, SlotGrant{id, reply->value("engine", std::string()), pending.owner, m_context.clock.now() + GrantLife});
            }
            m_context.timeline.add(EventKind::SlotRefused, id, pending.owner, reply->value("reason", std::string()));
            if (m_context.clock.now() >= pending.request.deadline) {
                return finish(id, fail(ErrorCode::DeadlineExceeded, "slot", pending.owner, "the deadline passed in the queue"));
            }
            pending.refusedBy.insert(pending.owner);
            place(id);
        });
}

auto SlotService::finish(const std::string &requestId, Result<SlotGrant> result) -> void
{
    const auto found = m_asks.find(requestId);
    if (found == m_asks.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    m_asks.erase(found);
    if (result) {
        m_context.timeline.add(EventKind::SlotGranted, requestId, result->engine);
    }
    done(std::move(result));
}

auto SlotService::abandon(const std::string &requestId) -> void
{
    const auto found = m_asks.find(requestId);
    if (found == m_asks.end()) {
        return;
    }
    sendAbandon(found->second);
    m_asks.erase(found);
}

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

auto SlotService::release(const std::string &engine, const std::string &requestId, const SlotObservation &seen) -> void
{
    const auto *info = m_context.config->findEngine(engine);
    if (info == nullptr) {
        return;
    }
    if (seen.failed || seen.ratio != 1) {
        noteLocal(engine, seen);
    }
    const auto owner = m_context.ownerOf(*info);
    if (m_context.isSelf(owner)) {
        return releaseLocal(engine, requestId, seen);
    }
    Json item = {{"engine", engine}, {"id", requestId}};
    writeObservation(item, seen);
    auto &batch = m_releases[owner];
    if (batch.is_null()) {
        batch = Json::array();
    }
    batch.push_back(std::move(item));
    if (!std::exchange(m_flushScheduled, true)) {
        m_context.loop.defer([this]() { flushReleases(); });
    }
}

auto SlotService::flushReleases() -> void
{
    m_flushScheduled = false;
    for (auto &[owner, items] : std::exchange(m_releases, {})) {
        const auto address = m_context.addressOf(owner);
        if (address.empty()) {
            continue; // the next owner learns it from the engine's list
        }
        m_context.peers.call(address, "/peer/release", {{"items", std::move(items)}}, m_context.config->timeouts.peer,
                             [this, vm = owner](const Result<Json> &reply) {
                                 if (reply) {
                                     takeViews(vm, reply->value("pools", Json::array()));
                                 }
                             });
    }
}

auto SlotService::handleRelease(const Json &body) -> void
{
    if (const auto abandoned = body.value("abandon", std::string()); !abandoned.empty()) {
        takeBack(abandoned);
    }
    Faults faults;
    ObjectReader reader(body, "", faults);
    for (auto &item : reader.objects("items")) {
        const auto engine = item.text("engine");
        const auto id = item.text("id", "");
        const auto seen = readObservation(item);
        if (!faults.empty()) {
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
