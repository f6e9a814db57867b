#include "currantstack/edge/directory_controller.h"

#include "currantstack/edge/forwarding.h"

#include <set>

namespace currantstack
{

namespace
{

constexpr std::size_t TableBytesPerDocumentByte = 8; // of the routes in force and of their reading
constexpr Duration ExpiryCheckPeriod = milliseconds(250);

auto name(UpstreamChange change) -> std::string_view
{
    switch (change) {
    case UpstreamChange::None:
        return "none";
    case UpstreamChange::Joined:
        return "joined";
    case UpstreamChange::Updated:
        return "updated";
    case UpstreamChange::Restarted:
        return "restarted";
    case UpstreamChange::Draining:
        return "leaving";
    case UpstreamChange::Removed:
        break;
    }
    return "gone";
}

} // namespace

DirectoryController::DirectoryController(EdgeContext &context, const StoreCodec &codec, Store &store, RoutesHook onRoutesInForce)
    : m_context(context)
    , m_codec(codec)
    , m_onRoutesInForce(std::move(onRoutesInForce))
    , m_routes(context.loop, context.clock, context.random, store, context.log, codec.routesPrefix(),
               {[this](const StoreRange &range, const StoreFollower::Interruption & /*interruption*/) { onRoutes(range.values); },
                [this](std::span<const StoreEvent> events) {
                    for (const auto &event : events) {
                        if (!event.deleted) {
                            onRoutes({&event.value, 1});
                        }
                    }
                }},
               CatchUp::Needs::LatestState)
    , m_upstreams(context.loop, context.clock, context.random, store, context.log, codec.upstreamsPrefix(),
                  {[this](const StoreRange &range, const auto &interruption) { onUpstreams(range, interruption); },
                   [this](std::span<const StoreEvent> events) { onUpstreamEvents(events); },
                   [this]() { m_context.storeUnreachable = true; }})
    , m_routesTimer(context.loop.timer([this]() { m_context.formerRoutes.expire(m_context.clock.now()); }))
    , m_expiryTimer(context.loop.timer([this]() { removeExpired(); }))
    , m_rereadTimer(context.loop.timer([this]() { m_upstreams.readAgain(); }))
    , m_startedAt(context.clock.now())
    , m_routesMemory(context.memory.grant(MemoryUse::Tables))
{
    m_context.routesCurrentAt = [this]() { return m_routes.currentSince(); };
    m_context.readUpstreams = [this]() { m_upstreams.readAgain(); };
    m_context.directory.setRecognizer([](const Upstream & /*upstream*/) { return false; }); // until a configuration names the services
}

auto DirectoryController::observeRevisions(const StoreRevisions &revisions) -> void
{
    m_routes.observeRevision(revisions.routes);
    m_upstreams.observeRevision(revisions.upstreams);
    const auto own = m_context.routeTable ? m_context.routeTable->version : 0;
    if (revisions.routesVersion > std::max(own, m_context.peerRoutesVersion)) {
        const auto now = m_context.clock.now();
        const auto since = m_routesBehindSince.value_or(now);
        m_routesBehindSince = since;
        m_context.counters.at("routes_version_of_peers").set(revisions.routesVersion);
        m_context.log.write("directory", "routes_behind",
                            {{"version", own}, {"peer_version", revisions.routesVersion}, {"behind_ms", toMilliseconds(now - since)}});
    }
    if (revisions.routesVersion >= m_context.peerRoutesVersion || !m_context.hasOutdatedRoutes()) {
        m_context.peerRoutesVersion = revisions.routesVersion;
        m_context.peerRoutesReportedAt = m_context.clock.now();
    }
}

auto DirectoryController::revisions() const -> StoreRevisions
{
    return {m_routes.lastChangeRevision(), m_upstreams.lastChangeRevision(), m_context.routeTable ? m_context.routeTable->version : 0};
}

auto DirectoryController::isComplete() const -> bool
{
    const bool catchesUp = m_context.hasOutdatedRoutes() && m_context.clock.now() - m_startedAt < LongestCatchUp;
    return m_context.routeTable != nullptr && m_upstreamsRead && !catchesUp;
}

auto DirectoryController::onRoutes(std::span<const StoreValue> values) -> void
{
    for (const auto &value : values) {
        if (m_codec.isRoutes(value.key)) {
            applyRoutes(value);
        }
    }
}

auto DirectoryController::onUpstreams(const StoreRange &range, const StoreFollower::Interruption &interruption) -> void
{
    if (interruption.wasUnreachable || interruption.returnedFromCopy) {
        m_mayHaveExpired = true;
        m_reachableSince = m_context.clock.now();
    }
    std::set<std::string> seen;
    if (interruption.returnedFromCopy) {
        m_rereadTimer->startOnce(RewriteTime);
    }
    for (const auto &value : range.values) {
        applyUpstream(value, interruption.returnedFromCopy, {});
        seen.insert(m_codec.idOf(value.key));
    }
    for (const auto &id : m_context.directory.ids()) {
        if (!seen.contains(id)) {
            onDeleted(id);
        }
    }
    m_unreadableUpstreams.retain(range.values);
    m_upstreamsRead = true;
    m_context.upstreamsReadAt = m_context.clock.now();
    m_context.storeUnreachable = false;
    if (!interruption.returnedFromCopy) { // otherwise entries of live upstreams may be missing
        confirmUpstreams();
    }
}

auto DirectoryController::onUpstreamEvents(std::span<const StoreEvent> events) -> void
{
    for (const auto &event : events) {
        if (event.deleted) {
            m_unreadableUpstreams.remove(event.value.key);
            onDeleted(m_codec.idOf(event.value.key));
        } else {
            applyUpstream(event.value, false, m_upstreams.eventsWrittenAfter());
        }
    }
    confirmUpstreams();
}

auto DirectoryController::confirmUpstreams() -> void
{
    m_context.upstreamsCurrentAt = m_upstreams.currentSince();
}

auto DirectoryController::applyRoutes(const StoreValue &value) -> void
{
    auto routeTable = m_codec.decodeRoutes(value);
    if (!routeTable) {
        if (!m_unreadableRoutes.add(value)) {
            return;
        }
        m_context.log.write("directory", "routes_unreadable", {{"revision", value.modRevision}, {"error", describe(routeTable.error())}});
        return;
    }
    m_unreadableRoutes.remove(value.key);
    const auto previousVersion = m_context.routeTable ? m_context.routeTable->version : 0;
    if (m_context.routeTable && routeTable->version <= previousVersion) {
        return;
    }
    routeTable->indexRanks();
    if (m_context.routeTable) {
        m_context.formerRoutes.add(m_context.routeTable, m_context.clock.now());
        m_routesTimer->startOnce(RouteHistory::Lifetime);
    }
    m_routesMemory.set(TableBytesPerDocumentByte * value.value.size());
    m_context.routeTable = std::make_shared<RouteTable>(std::move(*routeTable));
    m_context.routesReadAt = m_context.clock.now();
    m_context.directory.setRecognizer(
        [routeTable = m_context.routeTable](const Upstream &upstream) { return recognizes(*routeTable, upstream); });
    m_context.directory.forEach([this](const Upstream &upstream) { observeVersion(upstream); });
    m_onRoutesInForce(*m_context.routeTable);
    m_context.counters.at("routes_version").set(m_context.routeTable->version);
    const auto behindSince = m_routesBehindSince.value_or(m_context.routesReadAt);
    if (m_context.routeTable->version >= m_context.peerRoutesVersion) {
        m_routesBehindSince.reset();
    }
    m_context.log.write("directory", "routes_in_force",
                        {{"version", m_context.routeTable->version},
                         {"former", previousVersion},
                         {"peer_version", m_context.peerRoutesVersion},
                         {"behind_ms", toMilliseconds(m_context.routesReadAt - behindSince)},
                         {"revision", value.modRevision},
                         {"routes", m_context.routeTable->routes.size()},
                         {"services", m_context.routeTable->services.size()}});
}

auto DirectoryController::applyUpstream(const StoreValue &value, bool isFromCopy, TimePoint writtenAfter) -> void
{
    auto upstream = m_codec.decodeUpstream(value);
    if (!upstream) {
        ignoreUpstream(value, upstream.error());
        return;
    }
    m_unreadableUpstreams.remove(value.key);
    const auto entry = *upstream;
    observeVersion(entry);
    const auto *previous = m_context.directory.find(entry.id);
    const auto previousIncarnation = previous == nullptr ? std::string() : incarnationOf(*previous);
    const auto change = isFromCopy ? m_context.directory.applyFromCopy(std::move(*upstream), m_context.clock.now())
                                   : m_context.directory.apply(std::move(*upstream), writtenAfter);
    if (change == UpstreamChange::Restarted) {
        m_context.crashDetector.onRemoved(previousIncarnation, m_context.clock.now());
        removeLimit(entry);
    }
    if (change == UpstreamChange::Joined || change == UpstreamChange::Restarted) {
        m_context.health.reset(entry.id);
        m_context.exclusions.reset(entry.id, m_context.clock.now());
        m_context.silence.reset(entry.id);
    }
    if (change == UpstreamChange::Updated) {
        m_context.exclusions.onCurrent(entry.id, m_context.clock.now());
    }
    if (change == UpstreamChange::Draining) {
        m_context.exclusions.add({entry.id, ExclusionReason::Draining, EngineRole::None, ExclusionList::DrainingLifetime},
                                 m_context.clock.now());
    }
    if (change != UpstreamChange::None) {
        m_context.log.write("directory", "upstream_changed",
                            {{"upstream", entry.id},
                             {"change", name(change)},
                             {"service", entry.service},
                             {"address", entry.address},
                             {"place", entry.place},
                             {"role", name(entry.role)},
                             {"software_version", entry.softwareVersion},
                             {"revision", value.modRevision}});
    }
    m_context.counters.at("upstreams_known").set(static_cast<std::int64_t>(m_context.directory.size()));
}

auto DirectoryController::observeVersion(const Upstream &upstream) -> void
{
    const auto now = m_context.clock.now();
    if (m_context.directory.isRecognized(upstream)) {
        m_context.versions.observe(upstream.service, upstream.softwareVersion, now, now);
    }
}

auto DirectoryController::ignoreUpstream(const StoreValue &value, const Error &error) -> void
{
    const auto id = m_codec.idOf(value.key);
    const bool wasKnown = m_context.directory.find(id) != nullptr;
    if (m_unreadableUpstreams.add(value)) {
        m_context.log.write(
            "directory", "entry_ignored",
            {{"key", excerpt(value.key)}, {"revision", value.modRevision}, {"was_known", wasKnown}, {"error", describe(error)}});
    }
    if (wasKnown) {
        removeUpstream(id, false); // no evidence that the upstream ended
    }
}

auto DirectoryController::onDeleted(const std::string &id) -> void
{
    const auto now = m_context.clock.now();
    const bool mayHaveExpired = m_mayHaveExpired && now - m_reachableSince < ExpiryWindow;
    const auto *entry = m_context.directory.find(id);
    const auto incarnation = entry == nullptr ? std::string() : incarnationOf(*entry);
    if (removeUpstream(id, mayHaveExpired) == UpstreamChange::Removed) {
        m_context.crashDetector.onRemoved(incarnation, now);
        m_context.exclusions.add({id, ExclusionReason::Draining, EngineRole::None, ExclusionList::DrainingLifetime}, now);
    }
    if (mayHaveExpired) {
        m_expiryTimer->startOnce(ExpiryCheckPeriod);
    }
}

auto DirectoryController::removeUpstream(const std::string &id, bool mayHaveExpired) -> UpstreamChange
{
    const auto *entry = m_context.directory.find(id);
    if (entry != nullptr && !mayHaveExpired) {
        removeLimit(*entry);
    }
    const auto change = m_context.directory.remove(id, mayHaveExpired, m_context.clock.now());
    LogFields fields = {{"upstream", excerpt(id)}, {"change", name(change)}};
    if (mayHaveExpired) {
        fields["store_back_ms"] = toMilliseconds(m_context.clock.now() - m_reachableSince);
    }
    m_context.log.write("directory", mayHaveExpired ? "upstream_lapsed" : "upstream_changed", std::move(fields));
    m_context.counters.at("upstreams_known").set(static_cast<std::int64_t>(m_context.directory.size()));
    return change;
}

auto DirectoryController::removeLimit(const Upstream &upstream) -> void
{
    if (m_context.rateLimiter.limitOf(upstream.id)) {
        m_context.rateLimiter.remove(upstream.id);
        logLimitChange(m_context, upstream, LimitChange::Ended, m_context.settings.vm, Duration::zero());
    }
}

auto DirectoryController::removeExpired() -> void
{
    for (const auto &upstream : m_context.directory.expired(m_context.clock.now())) {
        removeLimit(upstream);
    }
    for (const auto &id : m_context.directory.expire(m_context.clock.now())) {
        m_context.log.write("directory", "upstream_changed", {{"upstream", id}, {"change", "gone"}});
    }
    if (m_context.clock.now() - m_reachableSince < ExpiryWindow + UpstreamDirectory::ExpiryGrace) {
        m_expiryTimer->startOnce(ExpiryCheckPeriod);
    }
}

} // namespace currantstack
