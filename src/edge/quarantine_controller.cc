#include "currantstack/edge/quarantine_controller.h"

#include "currantstack/decisions/answer_end.h"
#include "currantstack/edge/forwarding.h"
#include "currantstack/edge/quarantine_message.h"

namespace currantstack
{

namespace
{

constexpr std::size_t MaxLoggedRequests = 16; // per crash

} // namespace

QuarantineController::QuarantineController(EdgeContext &context, const StoreCodec &codec, Store &store, LoadExchange &exchange)
    : m_context(context)
    , m_exchange(exchange)
    , m_stored(context, codec, store, [this](const QuarantineEntry &entry) { onStored(entry); })
    , m_timer(context.loop.timer([this]() { check(); }))
{
    context.crashDetector.setHooks(
        {[this](const std::string &incarnation, std::vector<Traits> requests, TimePoint at) {
             onCrash(incarnation, std::move(requests), at);
         },
         [this](const Upstream &upstream) { m_context.loop.after(ProofDelay, [this, upstream]() { probe(upstream, 1); }); }});
    exchange.setReportHandler([this](std::string_view bytes) { onDatagram(bytes); });
}

auto QuarantineController::start() -> void
{
    m_stored.start();
    m_timer->startRepeating(CheckPeriod, CheckPeriod);
}

/// Opens a connection to find out whether the upstream still runs. One that is closed at once is tried again, as at the end of an answer.
auto QuarantineController::probe(const Upstream &upstream, int trial) -> void
{
    auto call = connectOnlyCall(upstream.address, ConnectTimeout);
    call.step = "probe";
    call.peer = upstream.id;
    HttpHandlers handlers;
    handlers.onDone = [this, upstream, trial, openedAt = m_context.clock.now()](const Result<HttpResponse> &result) {
        const auto incarnation = incarnationOf(upstream);
        const auto shown = trialOf(result);
        const bool refused = shown == ConnectionTrial::Refused;
        const bool alive = shown == ConnectionTrial::Open || (shown == ConnectionTrial::Closed && trial >= MaxEndTrials);
        m_context.counters.at("crash_probes").add();
        m_context.log.write("quarantine", "upstream_probed",
                            {{"upstream", upstream.id},
                             {"result",
                              alive         ? "alive"
                                  : refused ? "refused"
                                            : describe(result.error())}});
        if (alive) {
            m_context.crashDetector.onAlive(incarnation);
        } else if (refused) {
            m_context.reach.onRefused(upstream, openedAt); // proves a crash once this VM's links are known to work
        } else if (shown == ConnectionTrial::Closed) {
            m_context.loop.after(EndTrialPause, [this, upstream, trial]() { probe(upstream, trial + 1); });
        }
    };
    m_context.client.start(std::move(call), std::move(handlers));
}

auto QuarantineController::onCrash(const std::string &incarnation, std::vector<Traits> requests, TimePoint at) -> void
{
    const auto now = m_context.clock.now();
    auto texts = nlohmann::json::array();
    for (const auto &traits : std::span(requests).first(std::min(requests.size(), MaxLoggedRequests))) {
        texts.push_back(fingerprintTexts(traits));
    }
    m_context.counters.at("upstream_crashes_observed").add();
    m_context.log.write("quarantine", "crash_observed",
                        {{"incarnation", incarnation}, {"in_flight", requests.size()}, {"requests", std::move(texts)}});
    const CrashRecord record{incarnation, m_context.settings.vm, at, std::move(requests)};
    if (m_context.quarantine.recordCrash(record, now)) {
        QuarantineReport report;
        report.entries = m_context.quarantine.entries(now);
        report.crashes = {record};
        announce(report);
    }
    logChanges("own");
}

auto QuarantineController::onDatagram(std::string_view bytes) -> void
{
    const auto now = m_context.clock.now();
    const auto message = decodeQuarantine(bytes, now);
    if (!message) {
        m_context.counters.at("datagrams_malformed").add();
        m_context.log.write("quarantine", "datagram_ignored", {{"error", describe(message.error())}});
        return;
    }
    const bool isNew = m_context.quarantine.merge(message->report, now);
    if (isNew && message->place != m_context.settings.place) {
        m_exchange.sendToPlace(bytes); // the sender reaches one VM of this place only, if the fleet is large
    }
    logChanges("peer");
}

auto QuarantineController::onStored(const QuarantineEntry &entry) -> void
{
    QuarantineReport report;
    report.entries = {entry};
    m_context.quarantine.merge(report, m_context.clock.now());
    logChanges("store");
}

auto QuarantineController::check() -> void
{
    if (m_context.quarantine.isEmpty() && m_stored.isEmpty()) {
        return;
    }
    const auto now = m_context.clock.now();
    m_context.quarantine.expire(now);
    m_stored.synchronize(m_context.quarantine.entries(now), now);
    logChanges("own");
    if (now - m_repeatedAt >= RepeatPeriod) {
        repeat(now);
    }
}

auto QuarantineController::announce(const QuarantineReport &report) -> void
{
    for (const auto &bytes : encodeQuarantine({m_context.settings.place, report}, m_context.clock.now())) {
        m_exchange.sendToAll(bytes);
    }
}

auto QuarantineController::repeat(TimePoint now) -> void
{
    m_repeatedAt = now;
    const auto datagrams = encodeQuarantine({m_context.settings.place, m_context.quarantine.report(now)}, now);
    for (std::size_t count = 0; count < std::min(datagrams.size(), MaxDatagramsPerRepeat); ++count) {
        m_exchange.sendToSome(datagrams[m_nextDatagram++ % datagrams.size()], RepeatTargets);
    }
}

/// Logs the entries that came into force or ended since the last call; `source` says from where the last change came.
auto QuarantineController::logChanges(std::string_view source) -> void
{
    const auto entries = m_context.quarantine.entries(m_context.clock.now());
    std::set<Traits> current;
    for (const auto &entry : entries) {
        current.insert(entry.traits);
        if (!m_logged.contains(entry.traits)) {
            m_context.log.write("quarantine", "quarantined",
                                {{"traits", fingerprintTexts(entry.traits)},
                                 {"source", source},
                                 {"crashed", entry.upstreams},
                                 {"observer", entry.observer},
                                 {"crash_age_ms", toMilliseconds(entry.age)},
                                 {"remaining_ms", toMilliseconds(entry.remaining)}});
        }
    }
    for (const auto &traits : m_logged) {
        if (!current.contains(traits)) {
            m_context.log.write("quarantine", "quarantine_ended", {{"traits", fingerprintTexts(traits)}, {"source", source}});
        }
    }
    m_logged = std::move(current);
    m_context.counters.at("quarantine_entries").set(static_cast<std::int64_t>(m_logged.size()));
}

} // namespace currantstack
