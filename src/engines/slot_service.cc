#include "currantstack/slot_service.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MaxAttempts = 4; // owners tried for one slot, without moves
constexpr Duration CrossPlaceLatency = milliseconds(1); // one way, within a region
constexpr Duration CrossRegionLatency = milliseconds(60); // one way
constexpr Duration ReplyAllowance = milliseconds(300); // time for the owner's reply after the request's deadline

} // namespace

SlotService::SlotService(Context &context, Announcer &announcer, RequestCanceller &canceller)
    : m_context(context)
    , m_canceller(canceller)
    , m_queueTimer(context.loop.timer([this]() { processQueues(); }))
    , m_reconcileTimer(context.loop.timer([this]() { reconcileAll(); }))
    , m_moveTimer(context.loop.timer([this]() { moveQueued(); }))
{
    announcer.addSection(
        "pools", [this]() { return localViews(); }, [this](const std::string &vm, const Json &section) { mergeViews(vm, section); });
    context.router.on("/peer/slot",
                      [this](const std::string &sender, const Json &body, const ExchangePtr &exchange, const PeerRouter::Reply &reply) {
                          handleSlotRequest(sender, body, reply);
                          exchange->onDisconnect([this, id = body.value("id", std::string())]() { withdraw(id); });
                      });
    context.router.on("/peer/release", [this](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
        handleRelease(body);
        reply(Json{{"pools", localViews()}});
    });
}

auto SlotService::start() -> void
{
    m_queueTimer->startRepeating(QueuePeriod, QueuePeriod);
    m_reconcileTimer->startRepeating(ReconcilePeriod, ReconcilePeriod);
    m_moveTimer->startRepeating(MoveDelay / 2, MoveDelay / 2);
    updateOwnedEngines();
}

auto SlotService::latencyTo(std::string_view vm) const -> Duration
{
    if (m_context.isSelf(vm)) {
        return Duration::zero();
    }
    const auto *peer = m_context.membership.find(vm);
    if (peer == nullptr || peer->vm.region != m_context.settings.region) {
        return CrossRegionLatency;
    }
    return peer->vm.place == m_context.settings.place ? Duration::zero() : CrossPlaceLatency;
}

auto SlotService::ownerViews(std::string_view pool, const PendingRequest &pending) -> std::vector<OwnerView>
{
    const auto now = m_context.clock.now();
    std::vector<OwnerView> views;
    auto preferredOwner = std::string();
    if (!pending.request.preferred.empty()) {
        if (const auto *engine = m_context.config->findEngine(pending.request.preferred)) {
            preferredOwner = m_context.ownerOf(*engine);
        }
    }
    const auto &self = m_context.settings.name;
    if (!pending.refusedBy.contains(self)) {
        OwnerView local;
        local.owner = self;
        local.pool = m_ledger.view(pool, now);
        local.isSelf = true;
        local.holdsPrefix = preferredOwner == self;
        views.push_back(std::move(local));
    }
    for (const auto &[vm, entry] : m_views) {
        const auto *peer = m_context.membership.find(vm);
        const auto found = entry.pools.find(pool);
        if (found == entry.pools.end() || peer == nullptr || peer->state != VmState::Alive || pending.refusedBy.contains(vm)) {
            continue;
        }
        OwnerView view;
        view.owner = vm;
        view.pool = found->second;
        view.age = now - entry.receivedAt;
        const auto sent = entry.sentSinceReport.find(pool);
        view.sentSinceReport = sent == entry.sentSinceReport.end() ? 0 : sent->second;
        view.latency = latencyTo(vm);
        view.holdsPrefix = preferredOwner == vm;
        views.push_back(std::move(view));
    }
    return views;
}

auto SlotService::shortestWait(std::string_view pool, Role role, double prefillMs) -> Duration
{
    auto best = Duration::max();
    for (const auto &view : ownerViews(pool, PendingRequest())) {
        if (view.pool.capacity > 0) {
            best = std::min(best, expectedWait(view, role, prefillMs) + 2 * view.latency);
        }
    }
    return best;
}

auto SlotService::requestSlot(SlotRequest request, Role role, double prefillMs, Done done) -> void
{
    const auto id = request.requestId;
    PendingRequest pending;
    pending.request = std::move(request);
    pending.request.vm = m_context.settings.name;
    pending.role = role;
    pending.prefillMs = prefillMs;
    pending.done = std::move(done);
    m_pending[id] = std::move(pending);
    dispatch(id);
}

auto SlotService::dispatch(const std::string &requestId) -> void
{
    auto &pending = m_pending.at(requestId);
    const auto views = ownerViews(pending.request.pool, pending);
    auto chosen = chooseOwner(views, pending.role, pending.prefillMs, m_context.random);
    if (pending.request.sticky) {
        const auto holder =
            std::find_if(views.begin(), views.end(), [](const OwnerView &view) { return view.holdsPrefix && view.pool.capacity > 0; });
        chosen = holder == views.end() ? chosen : std::optional<std::size_t>(holder - views.begin());
    }
    if (!chosen || pending.attempts >= MaxAttempts) {
        return finish(requestId, fail(ErrorCode::Overloaded, "choose", pending.request.pool, "no owner has a slot for the request"));
    }
    ++pending.attempts;
    sendToOwner(pending, views[*chosen].owner);
}

auto SlotService::sendToOwner(PendingRequest &pending, const std::string &owner) -> void
{
    pending.owner = owner;
    pending.requestedAt = m_context.clock.now();
    m_context.timeline.add(EventKind::SlotRequested, pending.request.requestId, pending.owner);
    if (!m_context.isSelf(pending.owner)) {
        return sendToPeer(pending);
    }
    if (const auto decision = m_ledger.requestSlot(pending.request, m_context.clock.now())) {
        deliver(*decision);
    }
}

auto SlotService::moveQueued() -> void
{
    const auto now = m_context.clock.now();
    std::vector<std::string> overdue;
    for (const auto &[id, pending] : m_pending) {
        if (now - pending.requestedAt > MoveDelay && pending.moves < MaxMoves && !pending.request.sticky) {
            overdue.push_back(id);
        }
    }
    for (const auto &id : overdue) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end()) {
            continue;
        }
        auto &pending = found->second;
        const auto views = ownerViews(pending.request.pool, pending);
        const auto current =
            std::find_if(views.begin(), views.end(), [&pending](const OwnerView &view) { return view.owner == pending.owner; });
        if (current == views.end()) {
            continue;
        }
        const auto faster =
            findFasterOwner(views, static_cast<std::size_t>(current - views.begin()), pending.role, pending.prefillMs, MinMoveGain);
        if (!faster) {
            pending.requestedAt = now;
            continue;
        }
        ++pending.moves;
        m_context.counters.at("slot_asks_moved").add();
        sendAbandon(pending);
        sendToOwner(pending, views[*faster].owner);
    }
}

auto SlotService::sendAbandon(const PendingRequest &pending) -> void
{
    if (m_context.isSelf(pending.owner)) {
        return m_ledger.abandon(pending.request.requestId);
    }
    m_context.peers.cancel(pending.call);
    const Json body = {{"abandon", pending.request.requestId}, {"items", Json::array()}};
    m_context.peers.call(m_context.addressOf(pending.owner), "/peer/release", body, m_context.config->timeouts.peer,
                         [](const Result<Json> &) {});
}

auto SlotService::sendToPeer(PendingRequest &pending) -> void
{
    const auto now = m_context.clock.now();
    const auto id = pending.request.requestId;
    auto &entry = m_views[pending.owner];
    ++entry.sentSinceReport[pending.request.pool];
    m_context.counters.at("slot_asks_remote").add();
    const auto timeout = std::max(Duration::zero(), Duration(pending.request.deadline - now)) + ReplyAllowance;
    pending.call = m_context.peers.call(
        m_context.addressOf(pending.owner), "/peer/slot", toJson(pending.request, now), timeout, [this, id](const Result<Json> &reply) {
            const auto found = m_pending.find(id);
            if (found == m_pending.end()) {
                return;
            }
            auto &answered = found->second;
            answered.call = 0;
            if (!reply) {
                answered.refusedBy.insert(answered.owner);
                if (reply.error().code == ErrorCode::Unreachable) {
                    m_context.membership.scheduleProbe(answered.owner, false);
                }
                // If a grant's reply was lost, the owner ends the allocation because the engine does not list the request.
                m_context.counters.at("slot_asks_failed").add();
                return dispatch(id);
            }
            mergeViews(answered.owner, reply->value("pools", Json::array()));
            if (reply->value("granted", false)) {
                return finish(id,
                              SlotGrant{id, reply->value("engine", std::string()), answered.owner, m_context.clock.now() + GrantLifetime});
            }
            m_context.timeline.add(EventKind::SlotRefused, id, answered.owner, reply->value("reason", std::string()));
            if (m_context.clock.now() >= answered.request.deadline) {
                return finish(id, fail(ErrorCode::DeadlineExceeded, "slot", answered.owner, "the deadline passed in the queue"));
            }
            answered.refusedBy.insert(answered.owner);
            dispatch(id);
        });
}

auto SlotService::finish(const std::string &requestId, Result<SlotGrant> result) -> void
{
    const auto found = m_pending.find(requestId);
    if (found == m_pending.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    m_pending.erase(found);
    if (result) {
        m_context.timeline.add(EventKind::SlotGranted, requestId, result->engine);
    }
    done(std::move(result));
}

auto SlotService::abandon(const std::string &requestId) -> void
{
    const auto found = m_pending.find(requestId);
    if (found == m_pending.end()) {
        return;
    }
    sendAbandon(found->second);
    m_pending.erase(found);
}

auto SlotService::release(const std::string &engine, const std::string &requestId, const SlotObservation &observation) -> void
{
    const auto *info = m_context.config->findEngine(engine);
    if (info == nullptr) {
        return;
    }
    if (observation.failed || observation.ratio != 1) {
        recordObservation(engine, observation);
    }
    const auto owner = m_context.ownerOf(*info);
    if (m_context.isSelf(owner)) {
        return releaseLocal(engine, requestId, observation);
    }
    Json item = {{"engine", engine}, {"id", requestId}};
    writeObservation(item, observation);
    auto &batch = m_pendingReleases[owner];
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
    for (auto &[owner, items] : std::exchange(m_pendingReleases, {})) {
        const auto address = m_context.addressOf(owner);
        if (address.empty()) {
            continue; // the next owner reads the free slots from the engine's request list
        }
        m_context.peers.call(address, "/peer/release", {{"items", std::move(items)}}, m_context.config->timeouts.peer,
                             [this, vm = owner](const Result<Json> &reply) {
                                 if (reply) {
                                     mergeViews(vm, reply->value("pools", Json::array()));
                                 }
                             });
    }
}

} // namespace currantstack
