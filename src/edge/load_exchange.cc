#include "currantstack/edge/load_exchange.h"

#include "currantstack/edge/forwarding.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 8192;
constexpr int MaxReceivesPerWakeup = 64; // so that datagrams do not starve callers' requests

auto toNative(const SocketAddress &address) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

auto toAddress(const sockaddr_in &address) -> SocketAddress
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

} // namespace

LoadExchange::LoadExchange(EdgeContext &context, DirectoryController &directory)
    : m_context(context)
    , m_directory(directory)
    , m_peers(context.settings.vm, context.settings.place)
    , m_timer(context.loop.timer([this]() { sendLocalLoads(); }))
    , m_aggregateTimer(context.loop.timer([this]() { sendAggregate(); }))
    // Starting from the wall clock keeps a restarted VM's sequence numbers above those of its previous run.
    , m_sequence(static_cast<std::uint64_t>(epochMilliseconds(context.clock.wall())))
{ }

LoadExchange::~LoadExchange()
{
    if (m_socket >= 0) {
        ev_io_stop(m_context.loop.raw(), &m_io);
        ::close(m_socket);
    }
}

auto LoadExchange::start() -> Result<void>
{
    const auto &bindAddress = m_context.settings.peerAddress;
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = toNative(bindAddress);
    if (m_socket < 0 || ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return fail(ErrorCode::Unavailable, "bind datagrams", bindAddress.text(), std::strerror(errno));
    }
    ev_io_init(&m_io, &LoadExchange::onReadable, m_socket, EV_READ);
    m_io.data = this;
    ev_io_start(m_context.loop.raw(), &m_io);
    m_timer->startRepeating(Period, Period);
    m_aggregateTimer->startRepeating(AggregatePeriod, AggregatePeriod);
    return {};
}

auto LoadExchange::setPeers(const VmRecords &vms) -> void
{
    const auto now = m_context.clock.now();
    for (const auto &[name, record] : vms) {
        m_peers.mergeListed(name, record.place, record.peerAddress, now, record.protocol);
    }
    m_peers.expire(now);
    std::erase_if(m_protocolsHeard, [this](const auto &heard) {
        const bool hasLeft = !m_peers.knows(heard.first);
        if (hasLeft) {
            m_context.tenantQuotas.forget(heard.first);
        }
        return hasLeft;
    });
    countProtocols();
    m_peersListed = true;
    m_context.remoteLoadsAreAggregates = !m_peers.isSmall();
    m_context.rateLimiter.setVms(m_peers.size() + 1);
    const auto reportLag = m_peers.isSmall() ? FleetRateLimiter::SmallFleetLag : FleetRateLimiter::LargeFleetLag;
    m_context.rateLimiter.setReportLag(reportLag);
    m_context.tenantQuotas.setReportLag(reportLag);
}

auto LoadExchange::onReadable(struct ev_loop * /*loop*/, ev_io *watcher, int /*events*/) -> void
{
    static_cast<LoadExchange *>(watcher->data)->receive();
}

auto LoadExchange::receive() -> void
{
    std::array<char, MaxDatagramBytes> buffer{};
    for (int count = 0; count < MaxReceivesPerWakeup; ++count) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        const auto size = ::recvfrom(m_socket, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&from), &length);
        if (size <= 0) {
            return;
        }
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        if (bytes.starts_with(QuarantineMagic)) {
            m_onReport(bytes);
            continue;
        }
        if (bytes.starts_with(OriginMagic)) {
            m_onOrigins(bytes, toAddress(from));
            continue;
        }
        const auto message = decodeLoad(bytes);
        if (!message) {
            m_context.counters.at("datagrams_malformed").add();
            m_context.log.write("load", "datagram_ignored", {{"error", describe(message.error())}});
            continue;
        }
        onMessage(*message, toAddress(from));
        if (message->isAggregate && message->relayInPlace) {
            sendBytes(encodeForPlace(bytes), m_peers.neighbours());
        }
    }
}

auto LoadExchange::observeProtocol(const LoadMessage &message) -> void
{
    const auto protocol = m_peers.setProtocol(message.vm, message.protocol, m_context.clock.now());
    if (!protocol) {
        return;
    }
    const auto [heard, isNew] = m_protocolsHeard.try_emplace(message.vm, protocol->number);
    const auto former = std::exchange(heard->second, protocol->number);
    if (isNew ? former != ProtocolNumber : former != protocol->number) {
        m_context.log.write("load", "peer_protocol",
                            {{"peer", message.vm},
                             {"protocol", protocol->number},
                             {"former", isNew ? 0 : former},
                             {"own", ProtocolNumber},
                             {"takes_relays", protocol->takesRelays}});
    }
    if (isNew || former != protocol->number) {
        countProtocols();
    }
}

auto LoadExchange::countProtocols() -> void
{
    auto counts = m_peers.countByProtocol();
    ++counts[ProtocolNumber]; // this VM
    for (const auto &[number, vms] : counts) {
        m_protocolsCounted.insert(number);
    }
    for (const auto number : m_protocolsCounted) {
        m_context.counters.at(fmt::format("vms_by_protocol{{protocol=\"{}\"}}", number)).set(static_cast<std::int64_t>(counts[number]));
    }
}

auto LoadExchange::onMessage(const LoadMessage &message, const SocketAddress &from) -> void
{
    const auto now = m_context.clock.now();
    if (!message.isAggregate && m_peers.merge(message.vm, message.place, from, now)) {
        m_context.log.write("load", "peer_heard", {{"peer", message.vm}, {"place", message.place}, {"address", from.ip}});
    }
    if (message.isAggregate) {
        m_peers.setPlaceCutOff(message.place, message.cutOff, now);
    } else if (message.source == message.vm && message.vm != m_context.settings.vm) {
        m_peers.setCutOff(message.vm, message.cutOff);
        observeProtocol(message);
    }
    if (message.unknownRows > 0) {
        m_context.counters.at("datagram_rows_unknown").add(message.unknownRows);
    }
    m_directory.observeRevisions(message.revisions);
    const bool samePlace = message.place == m_context.settings.place;
    if (message.isAggregate && samePlace && !message.relayInPlace) {
        return; // the VMs of this place report their loads individually
    }
    m_context.loads.merge(message.source, message.sequence, message.loads, now);
    for (const auto &notice : message.exclusions) {
        if (notice.reason == ExclusionReason::Outdated || notice.reason == ExclusionReason::Silent) {
            m_onEndNotice(notice, !message.isAggregate && m_peers.isWitness(message.vm, now));
        } else {
            m_context.exclusions.merge(notice, now);
        }
    }
    mergeLimits(message);
    m_context.tenantQuotas.onHeard(message.source, now);
    for (const auto &report : message.quotas) {
        m_context.tenantQuotas.merge(message.source, message.vm, report, now);
    }
    for (const auto &notice : message.versions) {
        m_context.versions.merge(notice, message.vm, now);
    }
    if (!message.costs.empty()) {
        m_context.costs.merge(message.source, message.costs, now);
    }
}

auto LoadExchange::mergeLimits(const LoadMessage &message) -> void
{
    for (const auto &report : message.limits) {
        const auto *upstream = m_context.directory.find(report.upstream);
        if (upstream != nullptr) {
            const auto change = m_context.rateLimiter.merge(message.source, message.vm, *upstream, report, m_context.clock.now());
            logLimitChange(m_context, *upstream, change, message.vm, report.age);
        }
    }
}

/// Returns the notices that all VMs know. A VM of an earlier build would count the others as messages that it cannot read.
auto LoadExchange::understood(std::vector<ExclusionNotice> notices) const -> std::vector<ExclusionNotice>
{
    if (!m_peers.allHaveProtocol(PeerTable::SilenceProtocol)) {
        std::erase_if(notices, [](const auto &notice) { return notice.reason == ExclusionReason::Silent; });
    }
    return notices;
}

auto LoadExchange::sendLocalLoads() -> void
{
    const auto now = m_context.clock.now();
    auto loads = m_context.loads.own();
    auto limits = m_context.rateLimiter.dueReports(now);
    auto quotas = m_context.tenantQuotas.dueReports(now);
    auto cutOff = m_context.reach.cutOffServices();
    auto bytes = encodeLoad({{}, {}, {}, 0, false, false, {}, {}, {}, loads, {}, {}, cutOff, m_context.ownProtocol()});
    auto notices = understood(m_context.exclusions.ownNotices(now));
    std::set<std::string, std::less<>> excluded;
    for (const auto &notice : notices) {
        excluded.insert(notice.upstream);
    }
    const auto routesVersion = m_directory.revisions().routesVersion; // of which VMs that are behind must learn soon
    const bool hasNewVersion = m_context.versions.generation() != m_versionsSent;
    if (bytes == m_lastLoads && excluded == m_lastExcluded && limits.empty() && quotas.empty() && routesVersion == m_routesVersionSent
        && !hasNewVersion && now - m_sentAt < IdlePeriod) {
        return;
    }
    m_routesVersionSent = routesVersion;
    std::vector<SoftwareVersionNotice> versions;
    if (hasNewVersion || now - m_versionsSentAt >= VersionsPeriod) {
        m_versionsSentAt = now;
        m_versionsSent = m_context.versions.generation();
        versions = m_context.versions.notices(NoticeScope::MixedServices, now);
    }
    m_lastLoads = std::move(bytes);
    m_lastExcluded = std::move(excluded);
    m_sentAt = now;
    std::optional<PeerProtocol> protocol;
    if (now - m_protocolSentAt >= ProtocolPeriod || m_context.ownProtocol() != m_protocolSent) {
        m_protocolSentAt = now;
        m_protocolSent = m_context.ownProtocol();
        protocol = m_protocolSent;
    }
    const auto &settings = m_context.settings;
    send({settings.vm,
          settings.vm,
          settings.place,
          0,
          false,
          false,
          {},
          m_context.localCosts(),
          std::move(notices),
          std::move(loads),
          std::move(limits),
          std::move(versions),
          std::move(cutOff),
          protocol,
          std::move(quotas)},
         m_peers.reportTargets());
}

auto LoadExchange::meanPlaceCosts() const -> std::vector<ServiceCost>
{
    std::vector<ServiceCost> result;
    const auto isLocalVm = [](std::string_view source) { return !source.starts_with(AggregatePrefix); };
    for (const auto &local : m_context.localCosts()) {
        result.push_back(m_context.costs.mean(local, isLocalVm, m_context.clock.now()));
    }
    return result;
}

auto LoadExchange::sendAggregate() -> void
{
    const auto now = m_context.clock.now();
    if (m_peers.isSmall() || !m_peers.isAggregator(now)) {
        return;
    }
    const auto &settings = m_context.settings;
    auto loads = m_context.loads.aggregate([](std::string_view source) { return !source.starts_with(AggregatePrefix); }, now);
    send({std::string(AggregatePrefix) + settings.place,
          settings.vm,
          settings.place,
          0,
          true,
          true,
          {},
          meanPlaceCosts(),
          understood(m_context.exclusions.notices(now)),
          std::move(loads),
          m_context.rateLimiter.aggregate(AggregatePrefix, now),
          m_context.versions.notices(NoticeScope::MixedServices, now),
          m_peers.placeCutOff(m_context.reach.cutOffServices(), now),
          {},
          m_context.tenantQuotas.aggregate(AggregatePrefix, now)},
         m_peers.relayTargets(m_sequence));
}

auto LoadExchange::send(LoadMessage message, std::span<const SocketAddress> targets) -> void
{
    const auto loads = std::exchange(message.loads, {});
    message.revisions = m_directory.revisions();
    const auto source = message.source;
    std::size_t first = 0;
    auto &partsBefore = message.isAggregate ? m_aggregateParts : m_localParts;
    // A part that is no longer needed is sent once as empty; otherwise its rows would be counted twice until they expire.
    for (int part = 0; part == 0 || first < loads.size() || part < partsBefore; ++part) {
        const auto last = std::min(loads.size(), first + RowsPerDatagram);
        message.source = part == 0 ? source : fmt::format("{}#{}", source, part);
        message.sequence = ++m_sequence;
        message.loads.assign(loads.begin() + static_cast<std::ptrdiff_t>(first), loads.begin() + static_cast<std::ptrdiff_t>(last));
        first = last;
        sendBytes(encodeLoad(message), targets);
        message.limits.clear(); // they are in the first part
        message.versions.clear();
        message.quotas.clear();
        message.protocol.reset();
    }
    partsBefore = static_cast<int>((loads.size() + RowsPerDatagram - 1) / RowsPerDatagram);
}

auto LoadExchange::sendToAll(std::string_view bytes) -> void
{
    sendBytes(bytes, m_peers.reportTargets());
    if (!m_peers.isSmall()) {
        sendBytes(bytes, m_peers.relayTargets(++m_sequence));
    }
}

auto LoadExchange::sendToHolders(std::string_view bytes, std::uint64_t key, std::size_t count) -> std::size_t
{
    const auto targets = m_peers.holders(key, count);
    sendBytes(bytes, targets);
    return targets.size();
}

auto LoadExchange::sendToPlace(std::string_view bytes) -> void
{
    sendBytes(bytes, m_peers.neighbours());
}

auto LoadExchange::sendToSome(std::string_view bytes, std::size_t count) -> void
{
    sendBytes(bytes, m_peers.sample(count, m_context.random));
}

auto LoadExchange::sendBytes(std::string_view bytes, std::span<const SocketAddress> targets) -> void
{
    for (const auto &peer : targets) {
        const auto address = toNative(peer);
        const auto sent = ::sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        // The next message replaces this one, so a full socket buffer or an unreachable peer is only counted.
        m_context.counters.at(sent < 0 ? "datagrams_not_sent" : "datagrams_sent").add();
    }
    m_context.counters.at("datagram_bytes_sent").add(static_cast<std::int64_t>(bytes.size() * targets.size()));
}

} // namespace currantstack
