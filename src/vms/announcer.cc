#include "currantstack/announcer.h"

#include "currantstack/log.h"

#include <algorithm>
#include <random>

namespace currantstack
{

namespace
{

constexpr Log MemberLog("members");
constexpr Duration DiscoveryPeriod = seconds(10);
constexpr std::int64_t MaxJsonInteger = 1LL << 53; // up to which doubles, hence all JSON parsers, represent integers exactly

} // namespace

auto toJson(const Vm &vm) -> Json
{
    Json value = {{"n", vm.name},        {"a", vm.address},     {"p", vm.place},     {"g", vm.region},
                  {"b", vm.startedAtMs}, {"i", vm.incarnation}, {"h", vm.heartbeat}, {"r", vm.revision}};
    if (vm.draining) {
        value["leaving"] = true;
    }
    if (vm.dead) {
        value["dead"] = true;
    }
    return value;
}

auto toPartialJson(const Vm &vm) -> Json
{
    return {{"n", vm.name}, {"i", vm.incarnation}, {"h", vm.heartbeat}, {"r", vm.revision}};
}

auto vmsFromJson(const Json &list) -> std::vector<Vm>
{
    std::vector<Vm> vms;
    if (!list.is_array()) {
        return vms;
    }
    for (const auto &value : list) {
        ValidationErrors errors;
        ObjectReader reader(value, "", errors);
        Vm vm;
        vm.name = reader.text("n");
        vm.address = reader.text("a", "");
        vm.isPartial = vm.address.empty();
        vm.place = reader.text("p", "");
        vm.region = reader.text("g", "");
        vm.startedAtMs = reader.integer("b", 0, MaxJsonInteger, 0);
        vm.incarnation = reader.integer("i", 0, MaxJsonInteger);
        vm.heartbeat = reader.integer("h", 0, MaxJsonInteger);
        vm.revision = reader.integer("r", 0, MaxJsonInteger, 0);
        vm.draining = reader.boolean("leaving", false);
        vm.dead = reader.boolean("dead", false);
        if (errors.empty()) {
            vms.push_back(std::move(vm));
        }
    }
    return vms;
}

Announcer::Announcer(Context &context)
    : m_context(context)
    , m_announceTimer(context.loop.timer([this]() { tick(); }))
    , m_discoveryTimer(context.loop.timer([this]() { discover(); }))
{
    m_context.router.on("/peer/announce",
                        [this](const std::string &sender, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
                            applyAnnouncement(sender, body);
                            auto answer = compose();
                            // A VM that was declared dead must be notified of that even if the digest is full without its entry.
                            const auto *peer = m_context.membership.find(sender);
                            if (peer != nullptr && peer->state == VmState::Dead) {
                                answer["vms"].push_back(toJson(peer->vm));
                            }
                            reply(answer);
                        });
}

auto Announcer::addSection(std::string key, Produce produce, Consume consume) -> void
{
    m_sections.push_back({std::move(key), std::move(produce), std::move(consume)});
}

auto Announcer::onChange(OnChange hook) -> void
{
    m_onChange.push_back(std::move(hook));
}

auto Announcer::onReincarnated(OnReincarnated hook) -> void
{
    m_onReincarnated.push_back(std::move(hook));
}

auto Announcer::start() -> void
{
    m_lastTick = m_context.clock.now();
    m_announceTimer->startRepeating(Duration::zero(), m_context.settings.announcePeriod);
    const auto jitter = std::uniform_int_distribution<int>(0, 1000)(m_context.random);
    m_discoveryTimer->startRepeating(milliseconds(jitter), DiscoveryPeriod);
    for (const auto &peer : m_context.settings.peers) {
        if (!m_context.isSelf(peer.name)) {
            announceTo(peer.address);
        }
    }
}

auto Announcer::compose() -> Json
{
    m_context.membership.nextHeartbeat();
    auto vms = Json::array();
    const bool isFull = m_announcements++ % FullAnnouncementInterval == 0;
    for (const auto &vm : m_context.membership.digest(MaxEntries)) {
        const bool isPartial = !isFull && !m_context.isSelf(vm.name) && !vm.dead && !vm.draining;
        vms.push_back(isPartial ? toPartialJson(vm) : toJson(vm));
    }
    Json body = {{"v", 1}, {"vms", std::move(vms)}};
    for (const auto &section : m_sections) {
        body[section.key] = section.produce();
    }
    return body;
}

auto Announcer::applyAnnouncement(const std::string &sender, const Json &body) -> void
{
    const auto vms = vmsFromJson(body.value("vms", Json::array()));
    if (m_context.membership.merge(vms, m_context.clock.now())) {
        reincarnate("peers declared it dead");
    }
    updateStates();
    for (const auto &section : m_sections) {
        const auto found = body.find(section.key);
        if (found != body.end()) {
            section.consume(sender, *found);
        }
    }
}

auto Announcer::chooseTargets() -> std::vector<std::string>
{
    std::vector<std::string> samePlace;
    std::vector<std::string> live;
    std::vector<std::string> dead;
    for (const auto &[name, peer] : m_context.membership.peers()) {
        if (peer.vm.address.empty()) {
            continue;
        }
        if (peer.state == VmState::Dead) {
            dead.push_back(peer.vm.address);
        } else {
            live.push_back(peer.vm.address);
            if (peer.vm.place == m_context.settings.place) {
                samePlace.push_back(peer.vm.address);
            }
        }
    }
    std::shuffle(live.begin(), live.end(), m_context.random);
    // The VMs of a place own its engines and need each other's state most, so one target is always in the same place.
    if (!samePlace.empty() && live.size() > Fanout) {
        const auto chosen = samePlace[std::uniform_int_distribution<std::size_t>(0, samePlace.size() - 1)(m_context.random)];
        std::erase(live, chosen);
        live.insert(live.begin(), chosen);
    }
    live.resize(std::min<std::size_t>(live.size(), Fanout));
    // In one of 10 periods a dead VM is contacted too, so that both sides of a healed network partition find each other.
    const bool contactDead = std::uniform_int_distribution<int>(0, 9)(m_context.random) == 0;
    if (!dead.empty() && (contactDead || live.empty())) {
        live.push_back(dead[std::uniform_int_distribution<std::size_t>(0, dead.size() - 1)(m_context.random)]);
    }
    if (live.empty() && !m_context.settings.peers.empty()) {
        const auto &seeds = m_context.settings.peers;
        const auto &seed = seeds[std::uniform_int_distribution<std::size_t>(0, seeds.size() - 1)(m_context.random)];
        if (!m_context.isSelf(seed.name)) {
            live.push_back(seed.address);
        }
    }
    return live;
}

auto Announcer::nameOf(std::string_view address) const -> std::string
{
    for (const auto &[name, peer] : m_context.membership.peers()) {
        if (peer.vm.address == address) {
            return name;
        }
    }
    return {};
}

auto Announcer::announceTo(const std::string &address) -> void
{
    m_context.peers.call(address, "/peer/announce", compose(), m_context.config->timeouts.peer, [this, address](const Result<Json> &reply) {
        if (!reply && reply.error().code == ErrorCode::Unreachable) {
            m_context.membership.scheduleProbe(nameOf(address), true);
        }
        if (!reply || !reply->is_object()) {
            return;
        }
        const auto vms = vmsFromJson(reply->value("vms", Json::array()));
        const auto sender = vms.empty() ? std::string() : vms.front().name;
        if (!sender.empty()) {
            applyAnnouncement(sender, *reply);
        }
    });
}

auto Announcer::tick() -> void
{
    const auto now = m_context.clock.now();
    const auto sinceLastTick = now - std::exchange(m_lastTick, now);
    if (sinceLastTick > m_context.settings.suspectAfter) {
        // The process was paused, so its view of the peers is stale and they may have declared it dead.
        m_context.membership.resetTimeouts(now);
        reincarnate("it was paused");
    }
    updateStates();
    for (const auto &address : chooseTargets()) {
        announceTo(address);
    }
    for (const auto &name : m_context.membership.probeTargets()) {
        announceTo(m_context.addressOf(name));
    }
    m_context.membership.removeDead(DeadRetention, now);
}

auto Announcer::updateStates() -> void
{
    for (const auto &peer : m_context.membership.tick(m_context.clock.now())) {
        MemberLog.info("{} is {}", peer.vm.name, name(peer.state));
        m_context.timeline.add(EventKind::VmChanged, "", peer.vm.name, name(peer.state));
    }
    if (std::exchange(m_notifiedVersion, m_context.membership.version()) != m_context.membership.version()) {
        for (const auto &hook : m_onChange) {
            hook();
        }
    }
}

auto Announcer::reincarnate(std::string_view cause) -> void
{
    m_context.membership.reincarnate(epochMilliseconds(m_context.clock.wall()));
    MemberLog.warning("This VM starts a new incarnation: {}", cause);
    m_context.counters.at("vm_reincarnations").add();
    m_context.timeline.add(EventKind::VmChanged, "", m_context.settings.name, cause);
    for (const auto &hook : m_onReincarnated) {
        hook();
    }
}

auto Announcer::announceToAll() -> void
{
    for (const auto &[name, peer] : m_context.membership.peers()) {
        if (peer.state != VmState::Dead) {
            announceTo(peer.vm.address);
        }
    }
}

auto Announcer::announceToRandom() -> void
{
    for (int round = 0; round < 2; ++round) {
        for (const auto &address : chooseTargets()) {
            announceTo(address);
        }
    }
}

auto Announcer::discover() -> void
{
    const bool isAlone = m_context.membership.live().size() < 2;
    if (m_context.settings.platformAddress.empty() || !isAlone) {
        return;
    }
    HttpCall call;
    call.url = urlOf(m_context.settings.platformAddress, "/platform/vms");
    call.totalTimeout = seconds(2);
    HttpHandlers handlers;
    handlers.onDone = [this](const Result<HttpResponse> &response) {
        const auto list = response ? Json::parse(response->body, nullptr, false) : Json();
        if (!list.is_object()) {
            return;
        }
        for (const auto &vm : list.value("vms", Json::array())) {
            const auto address = vm.value("address", std::string());
            if (!m_context.isSelf(vm.value("name", std::string())) && !address.empty()) {
                announceTo(address);
            }
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

} // namespace currantstack
