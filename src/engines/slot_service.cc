#include "currantstack/slot_service.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MaxTries = 4; // owners asked for one slot
constexpr Duration OtherPlace = milliseconds(1);
constexpr Duration OtherRegion = milliseconds(60);
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
                          exchange->onDisconnect([this, id = body.value("id", std::string())]() { takeBack(id); });
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
    m_context.timeline.add(EventKind::SlotRequested, ask.request.requestId, ask.owner);
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

} // namespace currantstack
