#include "currantstack/config_service.h"

#include "currantstack/log.h"
#include "currantstack/rendezvous.h"
#include "currantstack/retry.h"

#include <algorithm>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Log ConfigLog("config");
constexpr std::string_view CurrentKey = "currant/config/current";
constexpr std::string_view HistoryPrefix = "currant/history/";
constexpr int SettleTries = 6;
constexpr Duration SettleWait = milliseconds(300);
constexpr Duration RewatchBase = milliseconds(200);
constexpr Duration RewatchLongest = seconds(5);

auto revisionOf(const Json &document) -> std::int64_t
{
    return document.is_object() ? document.value("revision", std::int64_t{0}) : 0;
}

auto submissionOf(const Json &document) -> std::string
{
    return document.is_object() ? document.value("submission", std::string()) : std::string();
}

auto historyKey(std::int64_t revision) -> std::string
{
    return fmt::format("{}{:012}", HistoryPrefix, revision);
}

auto digestOf(const Json &document) -> std::string
{
    return fmt::format("{:016x}", hash64(document.dump()));
}

auto documentOf(const StoreValue &value) -> Json
{
    return value.modRevision == 0 ? Json::object() : Json::parse(value.value, nullptr, false);
}

auto currentOf(const StoreRange &range) -> StoreValue
{
    return range.values.empty() ? StoreValue{std::string(CurrentKey), "", 0} : range.values.front();
}

} // namespace

ConfigService::ConfigService(Context &context, Announcer &announcer)
    : m_context(context)
    , m_announcer(announcer)
    , m_reread(context.loop.timer([this]() { read(); }))
{
    announcer.section(
        "revision", [this]() { return Json(m_context.config->revision); },
        [this](const std::string &vm, const Json &section) {
            if (section.is_number_integer() && section.get<std::int64_t>() > m_context.config->revision) {
                pullFrom(vm);
            }
        });
    context.router.on("/peer/config", [this](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
        handlePull(body, reply);
    });
}

auto ConfigService::onChange(OnChange hook) -> void
{
    m_onChange.push_back(std::move(hook));
}

auto ConfigService::start() -> void
{
    read();
    // Rereading finds what a watch that went silent has missed; the jitter keeps VMs that started together apart.
    const auto jitter = milliseconds(std::uniform_int_distribution<int>(0, 10000)(m_context.random));
    m_reread->startRepeating(RereadPeriod + jitter, RereadPeriod);
}

auto ConfigService::apply(const Json &document, std::string_view from) -> void
{
    const auto revision = revisionOf(document);
    if (revision <= m_context.config->revision) {
        return;
    }
    auto parsed = parseConfig(document);
    if (!parsed) {
        ConfigLog.error("Revision {} from {} is not valid: {}", revision, from, describe(parsed.error()));
        m_context.counters.at("config_invalid").add();
        return;
    }
    m_document = document;
    m_context.config = std::make_shared<const Config>(std::move(*parsed));
    m_context.membership.setRevision(revision);
    m_kept.push_back({revision, document.dump()});
    if (m_kept.size() > KeptDocuments) {
        m_kept.pop_front();
    }
    m_context.counters.at("config_revision").set(revision);
    m_context.timeline.add(EventKind::ConfigInForce, "", from, {}, revision);
    ConfigLog.info("Revision {} is in force, from {}", revision, from);
    for (const auto &hook : m_onChange) {
        hook();
    }
    m_announcer.announceToSome();
}

auto ConfigService::isWatcher() const -> bool
{
    auto place = m_context.membership.livePlace(m_context.settings.place);
    for (std::size_t rank = 0; rank < WatchersPerPlace && !place.empty(); ++rank) {
        const auto holder = std::string(rendezvousOwner(place, "config watch"));
        if (m_context.isSelf(holder)) {
            return true;
        }
        std::erase(place, holder);
    }
    return false;
}

auto ConfigService::reconsider() -> void
{
    const bool watcher = isWatcher();
    if (watcher && !m_watching) {
        read();
    } else if (!watcher && m_watching) {
        // Others of the place hold the watch; each waiting watch counts as a call.
        m_watching = false;
        m_context.counters.at("config_watching").set(0);
        m_endWatch();
    }
}

auto ConfigService::read() -> void
{
    const bool watcher = isWatcher();
    if (!watcher && m_context.config->revision > 0) {
        return; // this VM hears from peers
    }
    m_context.store.read(CurrentKey, true, [this, watcher](const Result<StoreRange> &range) {
        if (!range) {
            if (m_context.config->revision == 0) {
                m_context.loop.after(RewatchBase + backoff(3, RewatchBase, RewatchLongest, m_context.random), [this]() { read(); });
            }
            return;
        }
        if (!range->values.empty()) {
            apply(documentOf(range->values.front()), "the store");
        } else if (!watcher) {
            m_context.loop.after(seconds(1), [this]() { read(); });
        }
        if (watcher && !m_watching) {
            watch(range->revision + 1);
        }
    });
}

auto ConfigService::watch(std::int64_t fromRevision) -> void
{
    m_watching = true;
    m_context.counters.at("config_watching").set(1);
    m_endWatch = m_context.store.watch(
        CurrentKey, fromRevision,
        [this](std::span<const StoreEvent> events, std::int64_t /*revision*/) {
            m_watchFailures = 0;
            for (const auto &event : events) {
                apply(documentOf(event.value), "the store's watch");
            }
        },
        [this](const Error &error) {
            m_watching = false;
            m_context.counters.at("config_watching").set(0);
            ++m_watchFailures;
            m_context.counters.at("config_watch_breaks").add();
            m_context.timeline.add(EventKind::StoreUnreachable, "", error.peer, error.message);
            const auto wait = RewatchBase + backoff(m_watchFailures, RewatchBase, RewatchLongest, m_context.random);
            m_context.loop.after(wait, [this]() { reconsider(); });
            m_context.loop.after(wait + RewatchLongest, [this]() { reconsider(); });
        });
}

auto ConfigService::pullFrom(const std::string &vm) -> void
{
    const auto address = m_context.addressOf(vm);
    if (m_pulling || address.empty()) {
        return;
    }
    m_pulling = true;
    const Json body = {{"have", m_context.config->revision}};
    m_context.peers.call(address, "/peer/config", body, 2 * m_context.config->timeouts.peer, [this, vm](const Result<Json> &reply) {
        m_pulling = false;
        if (reply) {
            takePull(vm, *reply);
        }
    });
}

auto ConfigService::handlePull(const Json &body, const PeerRouter::Reply &reply) -> void
{
    const auto have = body.value("have", std::int64_t{0});
    Json answer = {{"revision", m_context.config->revision}, {"digest", digestOf(m_document)}};
    for (const auto &kept : m_kept) {
        if (kept.revision == have && have > 0) {
            answer["patch"] = Json::diff(Json::parse(kept.text), m_document);
            return reply(answer);
        }
    }
    answer["document"] = m_document;
    reply(answer);
}

auto ConfigService::takePull(const std::string &vm, const Json &reply) -> void
{
    auto document = reply.value("document", Json());
    if (reply.contains("patch")) {
        try {
            document = m_document.patch(reply["patch"]);
        } catch (const Json::exception &) {
            document = Json();
        }
    }
    if (!document.is_object() || digestOf(document) != reply.value("digest", std::string())) {
        m_context.counters.at("config_pulls_broken").add();
        return;
    }
    apply(document, vm);
}

auto ConfigService::submit(Submission submission, std::function<void(Result<SubmissionResult>)> done) -> void
{
    m_context.store.read(CurrentKey, true,
                         [this, submission = std::move(submission), done = std::move(done)](const Result<StoreRange> &range) mutable {
                             if (!range) {
                                 auto error = range.error();
                                 error.code = ErrorCode::Unavailable;
                                 error.message = "the store is away; nothing was changed: " + error.message;
                                 return done(tl::unexpected(error));
                             }
                             compareAndSwap(std::move(submission), currentOf(*range), std::move(done));
                         });
}

auto ConfigService::trailEntry(const Submission &submission, const Json &before) const -> Json
{
    return {{"revision", submission.base + 1},
            {"submission", submission.id},
            {"operator", submission.operatorName.empty() ? "bootstrap" : submission.operatorName},
            {"vm", m_context.settings.name},
            {"time_ms", epochMilliseconds(m_context.clock.wall())},
            {"changed", differingPaths(before, submission.document)}};
}

auto ConfigService::compareAndSwap(Submission submission, const StoreValue &current, std::function<void(Result<SubmissionResult>)> done)
    -> void
{
    const auto before = documentOf(current);
    SubmissionResult result;
    result.revision = revisionOf(before);
    if (submissionOf(before) == submission.id) {
        result.accepted = true; // an earlier try of the same submission took effect
        apply(before, "the store");
        return done(result);
    }
    if (result.revision != submission.base) {
        result.differing = differingPaths(submission.document, before);
        return done(result);
    }
    submission.document["revision"] = submission.base + 1;
    submission.document["submission"] = submission.id;
    const auto parsed = parseConfig(submission.document);
    if (!parsed) {
        result.errors = parsed.error();
        return done(result);
    }
    if (submission.base > 0) {
        if (const auto beforeConfig = parseConfig(before)) {
            result.errors = forbiddenChanges(*beforeConfig, before, submission.document, submission.operatorName);
        }
        if (!result.errors.empty()) {
            return done(result);
        }
    }
    StoreTransaction transaction;
    transaction.compares.push_back({std::string(CurrentKey), current.modRevision});
    transaction.puts.push_back({std::string(CurrentKey), submission.document.dump()});
    transaction.puts.push_back({historyKey(submission.base + 1), trailEntry(submission, before).dump()});
    m_context.timeline.add(EventKind::ConfigSubmitted, submission.id, submission.operatorName, {}, submission.base + 1);
    m_context.store.commit(std::move(transaction),
                           [this, submission = std::move(submission), done = std::move(done)](const Result<StoreOutcome> &outcome) mutable {
                               if (outcome && outcome->applied) {
                                   apply(submission.document, "an operator");
                                   return done(SubmissionResult{true, submission.base + 1, {}, {}});
                               }
                               // Another operator won, or the reply was lost: reading back tells which.
                               settle(std::move(submission), 0, std::move(done));
                           });
}

auto ConfigService::settle(Submission submission, int tries, std::function<void(Result<SubmissionResult>)> done) -> void
{
    const auto key = historyKey(submission.base + 1);
    m_context.store.read(
        key, true, [this, submission = std::move(submission), tries, done = std::move(done)](const Result<StoreRange> &range) mutable {
            if (!range) {
                if (tries >= SettleTries) {
                    return done(fail(ErrorCode::OutcomeUnknown, "submit", range.error().peer,
                                     "the store does not tell whether the change took effect; submit again with the same id"));
                }
                const auto wait = SettleWait + backoff(tries, SettleWait, seconds(3), m_context.random);
                m_context.loop.after(wait, [this, submission = std::move(submission), tries, done = std::move(done)]() mutable {
                    settle(std::move(submission), tries + 1, std::move(done));
                });
                return;
            }
            const auto entry = range->values.empty() ? Json::object() : Json::parse(range->values.front().value, nullptr, false);
            if (submissionOf(entry) == submission.id) {
                apply(submission.document, "an operator");
                return done(SubmissionResult{true, submission.base + 1, {}, {}});
            }
            if (range->values.empty()) {
                // The write did not take effect; the submission is tried anew from the beginning.
                if (tries >= SettleTries) {
                    return done(fail(ErrorCode::OutcomeUnknown, "submit", "",
                                     "the store does not tell whether the change took effect; submit again with the same id"));
                }
                m_context.loop.after(SettleWait, [this, submission = std::move(submission), done = std::move(done)]() mutable {
                    submit(std::move(submission), std::move(done));
                });
                return;
            }
            m_context.store.read(CurrentKey, true,
                                 [submission = std::move(submission), done = std::move(done)](const Result<StoreRange> &winner) {
                                     SubmissionResult result;
                                     const auto document = winner ? documentOf(currentOf(*winner)) : Json::object();
                                     result.revision = winner ? revisionOf(document) : submission.base + 1;
                                     result.differing = differingPaths(submission.document, document);
                                     done(result);
                                 });
        });
}

auto ConfigService::history(std::function<void(Result<Json>)> done) -> void
{
    m_context.store.read(HistoryPrefix, false, [done = std::move(done)](const Result<StoreRange> &range) {
        if (!range) {
            return done(tl::unexpected(range.error()));
        }
        auto list = Json::array();
        for (auto entry = range->values.rbegin(); entry != range->values.rend(); ++entry) {
            list.push_back(Json::parse(entry->value, nullptr, false));
        }
        done(std::move(list));
    });
}

} // namespace currantstack
