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
constexpr int MaxResolveAttempts = 6;
constexpr Duration ResolveRetryWait = milliseconds(300);
constexpr Duration WatchBackoffBase = milliseconds(200);
constexpr Duration LongestWatchBackoff = seconds(5);

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
    , m_pollTimer(context.loop.timer([this]() { readCurrent(); }))
{
    announcer.addSection(
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
    readCurrent();
    // Polling finds changes that a stalled watch has missed. The jitter spreads the reads of VMs that started together.
    const auto jitter = milliseconds(std::uniform_int_distribution<int>(0, 10000)(m_context.random));
    m_pollTimer->startRepeating(PollPeriod + jitter, PollPeriod);
}

auto ConfigService::apply(const Json &document, std::string_view source) -> void
{
    const auto revision = revisionOf(document);
    if (revision <= m_context.config->revision) {
        return;
    }
    auto parsed = parseConfig(document);
    if (!parsed) {
        ConfigLog.error("Revision {} from {} is invalid: {}", revision, source, describe(parsed.error()));
        m_context.counters.at("config_invalid").add();
        return;
    }
    m_document = document;
    m_context.config = std::make_shared<const Config>(std::move(*parsed));
    m_context.membership.setRevision(revision);
    m_retainedDocuments.push_back({revision, document.dump()});
    if (m_retainedDocuments.size() > MaxRetainedDocuments) {
        m_retainedDocuments.pop_front();
    }
    m_context.counters.at("config_revision").set(revision);
    m_context.timeline.add(EventKind::ConfigInForce, "", source, {}, revision);
    ConfigLog.info("Revision {} from {} is in force", revision, source);
    for (const auto &hook : m_onChange) {
        hook();
    }
    m_announcer.announceToRandom();
}

auto ConfigService::shouldWatch() const -> bool
{
    auto place = m_context.membership.liveInPlace(m_context.settings.place);
    for (std::size_t rank = 0; rank < WatchersPerPlace && !place.empty(); ++rank) {
        const auto watcher = std::string(rendezvousOwner(place, "config watch"));
        if (m_context.isSelf(watcher)) {
            return true;
        }
        std::erase(place, watcher);
    }
    return false;
}

auto ConfigService::updateWatch() -> void
{
    const bool watcher = shouldWatch();
    if (watcher && !m_watching) {
        readCurrent();
    } else if (!watcher && m_watching) {
        // Other VMs of the place watch now. The platform counts each open watch as a call, so this one is ended.
        m_watching = false;
        m_context.counters.at("config_watching").set(0);
        m_watch.cancel();
    }
}

auto ConfigService::readCurrent() -> void
{
    const bool watcher = shouldWatch();
    if (!watcher && m_context.config->revision > 0) {
        return; // peers announce new revisions to this VM
    }
    m_context.store.read(CurrentKey, true, [this, watcher](const Result<StoreRange> &range) {
        if (!range) {
            if (m_context.config->revision == 0) {
                m_context.loop.after(WatchBackoffBase + backoff(3, WatchBackoffBase, LongestWatchBackoff, m_context.random),
                                     [this]() { readCurrent(); });
            }
            return;
        }
        if (!range->values.empty()) {
            apply(documentOf(range->values.front()), "the store");
        } else if (!watcher) {
            m_context.loop.after(seconds(1), [this]() { readCurrent(); });
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
    m_watch = m_context.store.watch(
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
            const auto wait = WatchBackoffBase + backoff(m_watchFailures, WatchBackoffBase, LongestWatchBackoff, m_context.random);
            m_context.loop.after(wait, [this]() { updateWatch(); });
            m_context.loop.after(wait + LongestWatchBackoff, [this]() { updateWatch(); });
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
    m_context.peers.fetch(address, "/peer/config", body, 2 * m_context.config->timeouts.peer, [this, vm](const Result<Json> &reply) {
        m_pulling = false;
        if (reply) {
            applyPull(vm, *reply);
        }
    });
}

auto ConfigService::handlePull(const Json &body, const PeerRouter::Reply &reply) -> void
{
    const auto peerRevision = body.value("have", std::int64_t{0});
    Json answer = {{"revision", m_context.config->revision}, {"digest", digestOf(m_document)}};
    for (const auto &retained : m_retainedDocuments) {
        if (retained.revision == peerRevision && peerRevision > 0) {
            answer["patch"] = Json::diff(Json::parse(retained.text), m_document);
            return reply(answer);
        }
    }
    answer["document"] = m_document;
    reply(answer);
}

auto ConfigService::applyPull(const std::string &vm, const Json &reply) -> void
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
                                 error.message = "the store is unreachable; nothing was changed: " + error.message;
                                 return done(tl::unexpected(error));
                             }
                             compareAndSwap(std::move(submission), currentOf(*range), std::move(done));
                         });
}

auto ConfigService::auditEntry(const Submission &submission, const Json &currentDocument) const -> Json
{
    return {{"revision", submission.baseRevision + 1},
            {"submission", submission.id},
            {"operator", submission.operatorName.empty() ? "bootstrap" : submission.operatorName},
            {"vm", m_context.settings.name},
            {"time_ms", epochMilliseconds(m_context.clock.wall())},
            {"changed", differingPaths(currentDocument, submission.document)}};
}

auto ConfigService::compareAndSwap(Submission submission, const StoreValue &current, std::function<void(Result<SubmissionResult>)> done)
    -> void
{
    const auto currentDocument = documentOf(current);
    SubmissionResult result;
    result.revision = revisionOf(currentDocument);
    if (submissionOf(currentDocument) == submission.id) {
        result.accepted = true; // an earlier attempt of the same submission took effect
        apply(currentDocument, "the store");
        return done(result);
    }
    if (result.revision != submission.baseRevision) {
        result.differing = differingPaths(submission.document, currentDocument);
        return done(result);
    }
    submission.document["revision"] = submission.baseRevision + 1;
    submission.document["submission"] = submission.id;
    const auto parsed = parseConfig(submission.document);
    if (!parsed) {
        result.errors = parsed.error();
        return done(result);
    }
    if (submission.baseRevision > 0) {
        if (const auto currentConfig = parseConfig(currentDocument)) {
            result.errors = forbiddenChanges(*currentConfig, currentDocument, submission.document, submission.operatorName);
        }
        if (!result.errors.empty()) {
            return done(result);
        }
    }
    StoreTransaction transaction;
    transaction.compares.push_back({std::string(CurrentKey), current.modRevision});
    transaction.puts.push_back({std::string(CurrentKey), submission.document.dump()});
    transaction.puts.push_back({historyKey(submission.baseRevision + 1), auditEntry(submission, currentDocument).dump()});
    m_context.timeline.add(EventKind::ConfigSubmitted, submission.id, submission.operatorName, {}, submission.baseRevision + 1);
    m_context.store.commit(std::move(transaction),
                           [this, submission = std::move(submission), done = std::move(done)](const Result<StoreOutcome> &outcome) mutable {
                               if (outcome && outcome->applied) {
                                   apply(submission.document, "an operator");
                                   return done(SubmissionResult{true, submission.baseRevision + 1, {}, {}});
                               }
                               // Another submission was applied first, or the reply was lost. Reading the audit log shows which.
                               resolveOutcome(std::move(submission), 0, std::move(done));
                           });
}

auto ConfigService::resolveOutcome(Submission submission, int attempts, std::function<void(Result<SubmissionResult>)> done) -> void
{
    const auto key = historyKey(submission.baseRevision + 1);
    m_context.store.read(
        key, true, [this, submission = std::move(submission), attempts, done = std::move(done)](const Result<StoreRange> &range) mutable {
            if (!range) {
                if (attempts >= MaxResolveAttempts) {
                    return done(fail(ErrorCode::OutcomeUnknown, "submit", range.error().peer,
                                     "it is unknown whether the change took effect; submit again with the same id"));
                }
                const auto wait = ResolveRetryWait + backoff(attempts, ResolveRetryWait, seconds(3), m_context.random);
                m_context.loop.after(wait, [this, submission = std::move(submission), attempts, done = std::move(done)]() mutable {
                    resolveOutcome(std::move(submission), attempts + 1, std::move(done));
                });
                return;
            }
            const auto entry = range->values.empty() ? Json::object() : Json::parse(range->values.front().value, nullptr, false);
            if (submissionOf(entry) == submission.id) {
                apply(submission.document, "an operator");
                return done(SubmissionResult{true, submission.baseRevision + 1, {}, {}});
            }
            if (range->values.empty()) {
                // The write did not take effect, so the submission is retried from the start.
                if (attempts >= MaxResolveAttempts) {
                    return done(fail(ErrorCode::OutcomeUnknown, "submit", "",
                                     "it is unknown whether the change took effect; submit again with the same id"));
                }
                m_context.loop.after(ResolveRetryWait, [this, submission = std::move(submission), done = std::move(done)]() mutable {
                    submit(std::move(submission), std::move(done));
                });
                return;
            }
            m_context.store.read(CurrentKey, true,
                                 [submission = std::move(submission), done = std::move(done)](const Result<StoreRange> &stored) {
                                     SubmissionResult result;
                                     const auto document = stored ? documentOf(currentOf(*stored)) : Json::object();
                                     result.revision = stored ? revisionOf(document) : submission.baseRevision + 1;
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
