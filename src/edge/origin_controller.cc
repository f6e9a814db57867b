#include "currantstack/edge/origin_controller.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::size_t StreamsPerDatagram = 100; // of 9 bytes each, so that a datagram fits the usual path MTU

} // namespace

OriginController::OriginController(EdgeContext &context, LoadExchange &exchange, VersionRecorder &recorder, const Clock &bootClock,
                                   std::function<void()> readVms)
    : m_context(context)
    , m_exchange(exchange)
    , m_recorder(recorder)
    , m_bootClock(bootClock)
    , m_readVms(std::move(readVms))
    , m_timer(context.loop.timer([this]() { check(); }))
    , m_nextQuestion(std::uniform_int_distribution<std::uint32_t>()(context.random))
{
    context.originHooks = {
        [this](std::string_view firstAttemptId, std::string_view service, SoftwareVersionKey version) {
            announce(firstAttemptId, service, version);
        },
        [this](std::string_view firstAttemptId, OriginFound callback) { find(firstAttemptId, std::move(callback)); },
        [this]() { return mayMissVersions(); },
        [this]() { return mayMissUpstreams(); },
        [this]() -> VersionEvidence {
            return {m_context.versions.currency().currentAt(), m_exchange.mostHeardAt(), m_recorder.isSilent()};
        },
    };
    exchange.setOriginHandler([this](std::string_view bytes, const SocketAddress &from) { onDatagram(bytes, from); });
    context.versions.setLearnedHook([this](const LearnedVersion &version) {
        logLearned(version);
        m_context.loop.defer([&recorder = m_recorder]() { recorder.check(); });
    });
    recorder.setReadHandler([this](TimePoint bootBegunAt, bool isComplete) { onRecordRead(bootBegunAt, isComplete); });
}

auto OriginController::start() -> void
{
    m_timer->startRepeating(CheckPeriod, CheckPeriod);
}

auto OriginController::mayMissVersions() const -> bool
{
    return m_gap.isOpen(m_bootClock.now()) || !m_context.versions.currency().isCurrent(m_context.clock.now());
}

auto OriginController::mayMissUpstreams() const -> bool
{
    const auto knownAt = std::max(m_exchange.mostHeardAt(), m_context.upstreamsCurrentAt);
    return m_gap.isOpen(m_bootClock.now()) || isStoreSilent() || m_context.clock.now() - knownAt >= VersionCurrency::MaxAge;
}

auto OriginController::readRecordIfOutdated() -> void
{
    if (mayMissVersions()) {
        m_recorder.read();
    }
}

auto OriginController::onRecordRead(TimePoint bootBegunAt, bool isComplete) -> void
{
    if (isComplete) {
        m_gap.close(bootBegunAt, m_bootClock.now());
        endSettledInquiries();
    }
}

auto OriginController::askedVms() const -> std::size_t
{
    return std::max(AskedVms, m_exchange.smallFleet().size());
}

auto OriginController::isStoreSilent() const -> bool
{
    return m_context.storeUnreachable || m_recorder.isSilent();
}

auto OriginController::logCurrency(TimePoint now) -> void
{
    const bool isOutdated = m_recorder.isSilent();
    if (isOutdated == m_outdatedSince.has_value()) {
        return;
    }
    m_context.log.writeEvidence("origins", isOutdated ? "versions_outdated" : "versions_current",
                                {{"outdated_ms", m_outdatedSince ? toMilliseconds(now - *m_outdatedSince) : 0.0},
                                 {"recorded_as_of_ms_ago", toMilliseconds(now - m_context.versions.currency().currentAt())},
                                 {"most_vms_heard_ms_ago", toMilliseconds(now - m_exchange.mostHeardAt())},
                                 {"started_or_suspended", m_gap.isOpen(m_bootClock.now())},
                                 {"store_unreachable", m_context.storeUnreachable}});
    m_context.counters.at("versions_outdated").set(isOutdated ? 1 : 0);
    m_outdatedSince = isOutdated ? std::optional(now) : std::nullopt;
}

auto OriginController::logLearned(const LearnedVersion &version) -> void
{
    const auto now = m_context.clock.now();
    m_context.counters.at("software_versions_learned").add();
    m_context.log.writeEvidence("origins", "version_learned",
                                {{"service", version.service},
                                 {"software_version", version.version},
                                 {"told_by", version.toldBy.empty() ? "upstream" : version.toldBy},
                                 {"known_for_ms", toMilliseconds(version.knownFor)},
                                 {"recorded", version.isRecorded},
                                 {"settled", version.isSettled},
                                 {"may_have_streams_in_ms", std::max(0.0, toMilliseconds(version.usedAt - now))},
                                 {"recorded_as_of_ms_ago", toMilliseconds(now - m_context.versions.currency().currentAt())},
                                 {"started_or_suspended", m_gap.isOpen(m_bootClock.now())}});
}

auto OriginController::announce(std::string_view firstAttemptId, std::string_view service, SoftwareVersionKey version) -> void
{
    const auto stream = streamKey(firstAttemptId);
    m_context.origins.record(stream, {version, m_context.clock.now(), true});
    if (m_context.versions.isMixed(service) || !m_exchange.smallFleet().empty() || isStoreSilent()) {
        m_context.counters.at("stream_origins_told").add();
        m_exchange.sendToHolders(encodeOrigins({{{version, {stream}}}, {}, {}}), stream, Copies);
    }
}

auto OriginController::find(std::string_view firstAttemptId, OriginFound callback) -> void
{
    const auto stream = streamKey(firstAttemptId);
    const auto now = m_context.clock.now();
    if (const auto known = m_context.origins.find(stream, now)) {
        callback(known);
        return;
    }
    m_gap.begin(m_bootClock.now());
    auto &inquiry = m_inquiries[stream];
    inquiry.callbacks.push_back(std::move(callback));
    if (inquiry.timer) {
        return; // asked already, for an earlier return of the caller
    }
    inquiry.begunAt = now;
    inquiry.timer = m_context.loop.timer([this, stream]() { ask(stream); });
    readRecordIfOutdated();
    ask(stream);
}

auto OriginController::ask(Fingerprint stream) -> void
{
    auto &inquiry = m_inquiries[stream];
    if (!m_exchange.knowsPeers() && inquiry.listWaits < MaxListWaits) {
        if (m_inquiries.size() == 1 && inquiry.listWaits == 0) {
            m_readVms();
        }
        ++inquiry.listWaits;
        inquiry.timer->startOnce(ListWaitPeriod);
        return;
    }
    readRecordIfOutdated();
    const bool isCurrent = !mayMissVersions();
    const bool isAlone = inquiry.asks > 0 && inquiry.asked == 0;
    if ((isAlone && isCurrent) || inquiry.asks++ >= (isCurrent ? MaxAsks : MaxAsksIfOutdated)) {
        resolve(stream, std::nullopt);
        return;
    }
    m_context.counters.at("stream_origins_asked").add();
    // The other VMs are asked to read the record only after the store has not answered this one for a period.
    OriginMessage question{{}, {stream}, {}};
    if (inquiry.asks > 1 && !isCurrent) {
        question.asksForAllVersions = true;
        question.question = askForAllVersions();
    }
    inquiry.asked = m_exchange.sendToHolders(encodeOrigins(question), stream, askedVms());
    inquiry.timer->startOnce(inquiry.asked == 0 && !isAlone ? Duration::zero() : AskPeriod);
}

/// Returns the number of a question that is asked now.
auto OriginController::askForAllVersions() -> std::uint32_t
{
    const auto now = m_context.clock.now();
    while (!m_questions.empty() && now - m_questions.front().askedAt >= QuestionLifetime) {
        m_questions.pop_front();
    }
    m_questions.push_back({m_nextQuestion++, now, m_bootClock.now()});
    return m_questions.back().number;
}

/// Ends the inquiries that no VM can answer, and all of them if the origin of a stream no longer matters.
auto OriginController::endSettledInquiries() -> void
{
    if (mayMissVersions()) {
        return;
    }
    const bool matters = !m_context.versions.mixedServices().empty();
    std::vector<Fingerprint> settled;
    for (const auto &[stream, inquiry] : m_inquiries) {
        if (!matters || inquiry.isUnknown()) {
            settled.push_back(stream);
        }
    }
    for (const auto stream : settled) {
        resolve(stream, std::nullopt);
    }
}

auto OriginController::resolve(Fingerprint stream, std::optional<StreamOrigin> origin) -> void
{
    const auto found = m_inquiries.find(stream);
    if (found == m_inquiries.end()) {
        return;
    }
    // The timer may be running this function, so that it ends with the current call.
    auto inquiry = std::make_shared<Inquiry>(std::move(found->second));
    m_inquiries.erase(found);
    inquiry->timer->stop();
    m_context.loop.defer([inquiry]() { inquiry->timer.reset(); });
    m_context.log.write("origins", "inquiry_ended",
                        {{"stream", fingerprintText(stream)},
                         {"known", origin.has_value()},
                         {"asked", inquiry->asked},
                         {"unaware", inquiry->unaware.size()},
                         {"asks", inquiry->asks},
                         {"took_ms", toMilliseconds(m_context.clock.now() - inquiry->begunAt)}});
    for (const auto &callback : inquiry->callbacks) {
        callback(origin);
    }
}

auto OriginController::onDatagram(std::string_view bytes, const SocketAddress &from) -> void
{
    const auto message = decodeOrigins(bytes);
    if (!message) {
        m_context.counters.at("datagrams_malformed").add();
        m_context.log.write("origins", "datagram_ignored", {{"from", from.text()}, {"error", describe(message.error())}});
        return;
    }
    if (message->report) {
        onReport(*message->report, from);
    }
    for (const auto &row : message->told) {
        onTold(row, from);
    }
    if (!message->asked.empty()) {
        answer(*message, from);
    }
}

auto OriginController::onReport(const VersionReport &report, const SocketAddress &from) -> void
{
    for (const auto &notice : report.versions) {
        m_context.versions.merge(notice, from.text(), m_context.clock.now());
    }
    const auto asked = std::find_if(m_questions.begin(), m_questions.end(),
                                    [&report](const auto &question) { return question.number == report.question; });
    if (report.isComplete && asked != m_questions.end() && !m_recorder.isInDoubt()) {
        m_gap.close(asked->bootAskedAt, m_bootClock.now());
        m_context.versions.currency().confirm(asked->askedAt - report.age);
    }
}

auto OriginController::onTold(const StreamsOfVersion &row, const SocketAddress &from) -> void
{
    const auto now = m_context.clock.now();
    for (const auto stream : row.streams) {
        if (row.version != AnySoftwareVersion) {
            m_context.origins.record(stream, {row.version, now, false});
            resolve(stream, m_context.origins.find(stream, now));
            continue;
        }
        const auto inquiry = m_inquiries.find(stream);
        if (inquiry == m_inquiries.end()) {
            continue;
        }
        inquiry->second.unaware.insert(from.text());
    }
    endSettledInquiries();
}

/// Returns the versions to tell a VM that asks, those of plain services left out unless there are several.
auto OriginController::versionsFor(const OriginMessage &question) const -> std::vector<SoftwareVersionNotice>
{
    const auto scope = question.asksForAllVersions ? NoticeScope::AllServices : NoticeScope::MixedServices;
    auto notices = m_context.versions.notices(scope, m_context.clock.now());
    std::erase_if(notices, [this](const auto &notice) {
        const auto *service = m_context.routeTable ? m_context.routeTable->service(notice.service) : nullptr;
        return !notice.isRecorded && !m_context.versions.isMixed(notice.service) && (service == nullptr || !service->engine);
    });
    return notices;
}

auto OriginController::answer(const OriginMessage &question, const SocketAddress &from) -> void
{
    OriginMessage message;
    const auto now = m_context.clock.now();
    if (question.asksForAllVersions) {
        readRecordIfOutdated();
    }
    message.report = {!mayMissVersions(), versionsFor(question), now - m_context.versions.currency().currentAt(), question.question};
    for (const auto stream : question.asked) {
        const auto origin = m_context.origins.find(stream, now);
        message.told.push_back({origin ? origin->version : AnySoftwareVersion, {stream}});
    }
    m_exchange.sendTo(encodeOrigins(message), from);
}

auto OriginController::check() -> void
{
    const auto now = m_context.clock.now();
    if (m_context.directory.size() > 0) {
        m_gap.tick(m_bootClock.now()); // it opens when the store has been read
    }
    if (m_gap.isOpen(m_bootClock.now())) {
        m_recorder.readAgain();
    }
    if (m_gap.isOpen(m_bootClock.now()) || isStoreSilent()) {
        m_recorder.onInterrupted();
    }
    m_recorder.check();
    logCurrency(now);
    if (now - m_refreshedAt >= RefreshPeriod) {
        refreshVersions(now);
    }
    auto mixed = m_context.versions.mixedServices();
    const bool anyNew =
        std::any_of(mixed.begin(), mixed.end(), [this](const auto &service) { return !std::ranges::count(m_mixedServices, service); });
    if (mixed != m_mixedServices) {
        m_context.log.writeEvidence("origins", "mixed_services_changed",
                                    {{"services", mixed}, {"streams_known", m_context.origins.size()}});
        m_context.counters.at("services_of_several_versions").set(static_cast<std::int64_t>(mixed.size()));
        m_mixedServices = std::move(mixed);
    }
    const bool isSilent = isStoreSilent();
    const bool hasFallenSilent = isSilent && !std::exchange(m_wasSilent, isSilent);
    m_wasSilent = isSilent;
    if (anyNew || hasFallenSilent) {
        tellRelayedStreams(now);
    }
}

auto OriginController::refreshVersions(TimePoint now) -> void
{
    m_refreshedAt = now;
    m_context.directory.forEach([this, now](const Upstream &upstream) {
        if (m_context.directory.isRecognized(upstream)) {
            m_context.versions.observe(upstream.service, upstream.softwareVersion, now, now);
        }
    });
    m_context.versions.expire(now);
    m_context.origins.expire(now);
}

auto OriginController::tellRelayedStreams(TimePoint now) -> void
{
    std::map<std::pair<SocketAddress, SoftwareVersionKey>, std::vector<Fingerprint>> rows;
    for (const auto &[stream, version] : m_context.origins.relayedSince(now - ToldAge)) {
        for (const auto &holder : m_exchange.holders(stream, Copies)) {
            rows[{holder, version}].push_back(stream);
        }
    }
    for (const auto &[target, streams] : rows) {
        for (std::size_t first = 0; first < streams.size(); first += StreamsPerDatagram) {
            const auto count = std::min(StreamsPerDatagram, streams.size() - first);
            const std::span<const Fingerprint> part(streams.data() + first, count);
            m_exchange.sendTo(encodeOrigins({{{target.second, {part.begin(), part.end()}}}, {}, {}}), target.first);
        }
    }
}

} // namespace currantstack
