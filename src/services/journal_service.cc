#include "currantstack/journal_service.h"

#include "currantstack/log.h"
#include "currantstack/rendezvous.h"
#include "currantstack/retry.h"

#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Log JournalLog("journal");
constexpr Duration CallTimeout = seconds(3);
constexpr Duration BackoffBase = milliseconds(200);
constexpr Duration LongestBackoff = seconds(5);
constexpr Duration ExpiryPeriod = seconds(600);

auto prefixOf(int shard) -> std::string
{
    return fmt::format("currant/journal/{:02}/", shard);
}

auto headKey(int shard) -> std::string
{
    return prefixOf(shard) + "head";
}

auto segmentKey(int shard, std::int64_t number) -> std::string
{
    return fmt::format("{}segment/{:09}", prefixOf(shard), number);
}

auto resultToJson(const JournalShard::IntentResult &result) -> Json
{
    Json value = {{"verdict", name(result.decision)}};
    if (result.answer) {
        value["answer"] = toJson(*result.answer);
    }
    return value;
}

auto resultFromJson(const Json &value) -> Result<JournalShard::IntentResult>
{
    const auto text = value.value("verdict", std::string());
    for (const auto kind :
         {IntentDecision::Run, IntentDecision::Replay, IntentDecision::InProgress, IntentDecision::Unknown, IntentDecision::Mismatch}) {
        if (name(kind) != text) {
            continue;
        }
        JournalShard::IntentResult result{kind, std::nullopt};
        if (value.contains("answer")) {
            const auto entry = journalEntryFromJson({{"key", ""}, {"attempt", ""}, {"answer", value["answer"]}});
            if (!entry) {
                return tl::unexpected(entry.error());
            }
            result.answer = entry->answer;
        }
        return result;
    }
    return fail(ErrorCode::Internal, "journal", "", "the shard's owner returned an unknown decision");
}

} // namespace

JournalService::JournalService(Context &context)
    : m_context(context)
{
    const auto route = [this](std::string_view path, Operation::Kind kind) {
        m_context.router.on(std::string(path),
                            [this, kind](const std::string &, const Json &body, const ExchangePtr &, const PeerRouter::Reply &reply) {
                                handle(kind, body, reply);
                            });
    };
    route("/peer/journal/begin", Operation::Kind::Begin);
    route("/peer/journal/finish", Operation::Kind::Finish);
    route("/peer/journal/abandon", Operation::Kind::Abandon);
}

auto JournalService::makeIntent(std::string key, std::string fingerprint, std::string attempt) const -> JournalEntry
{
    JournalEntry intent;
    intent.key = std::move(key);
    intent.fingerprint = std::move(fingerprint);
    intent.attempt = std::move(attempt);
    intent.vm = m_context.settings.name;
    intent.vmStartedAtMs = m_context.membership.self().startedAtMs;
    intent.startedAtMs = epochMilliseconds(m_context.clock.wall());
    return intent;
}

auto JournalService::shardOf(std::string_view key) const -> int
{
    return static_cast<int>(hash64(key) % Shards);
}

auto JournalService::ownerOf(int shard) const -> std::string
{
    const auto live = m_context.membership.live();
    return std::string(rendezvousOwner(live, prefixOf(shard)));
}

auto JournalService::isRunning(const JournalEntry &entry) const -> bool
{
    const auto age = epochMilliseconds(m_context.clock.wall()) - entry.startedAtMs;
    if (milliseconds(age) > MaxRunTime) {
        return false;
    }
    if (m_context.isSelf(entry.vm)) {
        return entry.vmStartedAtMs == m_context.membership.self().startedAtMs;
    }
    const auto *peer = m_context.membership.find(entry.vm);
    return peer != nullptr && peer->state != VmState::Dead && peer->vm.startedAtMs == entry.vmStartedAtMs;
}

auto JournalService::begin(const JournalEntry &intent, BeginDone done) -> void
{
    const auto shard = shardOf(intent.key);
    const auto owner = ownerOf(shard);
    if (m_context.isSelf(owner)) {
        return submit(shard, {Operation::Kind::Begin, intent, std::move(done)});
    }
    m_context.peers.call(m_context.addressOf(owner), "/peer/journal/begin", toJson(intent), CallTimeout,
                         [done = std::move(done)](const Result<Json> &reply) {
                             if (!reply) {
                                 return done(tl::unexpected(reply.error()));
                             }
                             done(resultFromJson(*reply));
                         });
}

auto JournalService::finish(const std::string &key, const std::string &attempt, const RecordedAnswer &answer) -> void
{
    PendingRecord item;
    item.kind = Operation::Kind::Finish;
    item.entry.key = key;
    item.entry.attempt = attempt;
    item.entry.answer = answer;
    item.startedAt = m_context.clock.now();
    send(std::move(item));
}

auto JournalService::abandon(const std::string &key, const std::string &attempt) -> void
{
    PendingRecord item;
    item.kind = Operation::Kind::Abandon;
    item.entry.key = key;
    item.entry.attempt = attempt;
    item.startedAt = m_context.clock.now();
    send(std::move(item));
}

auto JournalService::send(PendingRecord item) -> void
{
    const auto shard = shardOf(item.entry.key);
    const auto owner = ownerOf(shard);
    const auto kind = item.kind;
    const auto entry = item.entry;
    auto onResult = [this, item = std::move(item)](bool recorded) mutable {
        if (!recorded) {
            scheduleResend(std::move(item));
        }
    };
    if (m_context.isSelf(owner)) {
        return submit(
            shard, {kind, entry, [onResult](const Result<JournalShard::IntentResult> &result) mutable { onResult(result.has_value()); }});
    }
    const auto path = kind == Operation::Kind::Finish ? "/peer/journal/finish" : "/peer/journal/abandon";
    m_context.peers.call(m_context.addressOf(owner), path, toJson(entry), CallTimeout,
                         [onResult](const Result<Json> &reply) mutable { onResult(reply.has_value()); });
}

auto JournalService::scheduleResend(PendingRecord item) -> void
{
    if (m_context.clock.now() - item.startedAt > RecordTimeout) {
        JournalLog.warning("Recording the result of attempt {} timed out", item.entry.attempt);
        m_context.counters.at("journal_answers_lost").add();
        return;
    }
    const auto wait = BackoffBase + backoff(item.attempts++, BackoffBase, LongestBackoff, m_context.random);
    m_context.loop.after(wait, [this, item = std::move(item)]() mutable { send(std::move(item)); });
}

auto JournalService::handle(Operation::Kind kind, const Json &body, const PeerRouter::Reply &reply) -> void
{
    auto entry = journalEntryFromJson(body);
    if (!entry) {
        return reply(tl::unexpected(entry.error()));
    }
    const auto shard = shardOf(entry->key);
    if (!m_context.isSelf(ownerOf(shard))) {
        return reply(fail(ErrorCode::Unavailable, "journal", m_context.settings.name, "this VM does not own the journal shard"));
    }
    submit(shard, {kind, std::move(*entry), [reply](const Result<JournalShard::IntentResult> &result) {
                       if (!result) {
                           return reply(tl::unexpected(result.error()));
                       }
                       reply(resultToJson(*result));
                   }});
}

auto JournalService::submit(int shard, Operation operation) -> void
{
    const auto delay = operation.kind == Operation::Kind::Begin ? Duration::zero() : AnswerBatchDelay;
    m_shards[shard].queue.push_back(std::move(operation));
    schedule(shard, delay);
}

auto JournalService::schedule(int shard, Duration delay) -> void
{
    auto &state = m_shards[shard];
    if (state.busy || (state.scheduled && delay > Duration::zero())) {
        return;
    }
    const auto untilNextWrite = state.lastWrite + MinWriteInterval - m_context.clock.now();
    state.scheduled = true;
    m_context.loop.after(std::max({Duration::zero(), delay, Duration(untilNextWrite)}), [this, shard]() {
        m_shards[shard].scheduled = false;
        runBatch(shard);
    });
}

auto JournalService::runBatch(int shard) -> void
{
    auto &state = m_shards[shard];
    if (state.busy || state.queue.empty()) {
        return;
    }
    if (!state.loaded) {
        return load(shard);
    }
    auto batch = std::exchange(state.queue, {});
    std::vector<Result<JournalShard::IntentResult>> results;
    bool changed = false;
    for (const auto &operation : batch) {
        results.push_back(applyOperation(state, operation, changed));
    }
    if (!changed) {
        return completeBatch(shard, batch, results);
    }
    write(shard, std::move(batch), std::move(results));
}

auto JournalService::applyOperation(Shard &shard, const Operation &operation, bool &changed) -> Result<JournalShard::IntentResult>
{
    if (operation.kind == Operation::Kind::Begin) {
        const auto existing = shard.journal.find(operation.entry.key) != nullptr;
        auto result = shard.journal.begin(operation.entry, [this](const JournalEntry &entry) { return isRunning(entry); });
        changed = changed || !existing;
        return result;
    }
    if (operation.kind == Operation::Kind::Finish) {
        changed = shard.journal.finish(operation.entry.key, operation.entry.attempt, operation.entry.answer.value_or(RecordedAnswer()))
            || changed;
    } else {
        changed = shard.journal.abandon(operation.entry.key, operation.entry.attempt) || changed;
    }
    return JournalShard::IntentResult{};
}

auto JournalService::load(int shard) -> void
{
    m_shards[shard].busy = true;
    m_context.store.read(prefixOf(shard), false, [this, shard](const Result<StoreRange> &range) {
        auto &state = m_shards[shard];
        state.busy = false;
        if (!range) {
            return failBatch(shard, std::exchange(state.queue, {}), range.error());
        }
        state.journal = JournalShard();
        state.modRevision = 0;
        for (const auto &value : range->values) {
            const bool isHead = value.key == headKey(shard);
            if (isHead) {
                state.modRevision = value.modRevision;
            }
            const auto unreadable = state.journal.load(Json::parse(value.value, nullptr, false), isHead);
            if (!unreadable) {
                // Without its keys, requests of this shard might run again.
                JournalLog.error("{} cannot be read, so requests with keys of this shard are refused: {}", value.key,
                                 describe(unreadable.error()));
                auto error = unreadable.error();
                error.code = ErrorCode::Unavailable;
                return failBatch(shard, std::exchange(state.queue, {}), error);
            }
            if (*unreadable > 0) {
                JournalLog.error("{} has {} entries that this build cannot read; their keys count as used", value.key, *unreadable);
                m_context.counters.at("journal_entries_unreadable").add(static_cast<std::int64_t>(*unreadable));
            }
        }
        state.loaded = true;
        runBatch(shard);
    });
}

auto JournalService::write(int shard, std::vector<Operation> batch, std::vector<Result<JournalShard::IntentResult>> results) -> void
{
    auto &state = m_shards[shard];
    state.busy = true;
    state.lastWrite = m_context.clock.now();
    StoreTransaction transaction;
    transaction.compares.push_back({headKey(shard), state.modRevision});
    if (state.journal.needsClosing()) {
        const auto retention = std::chrono::duration_cast<milliseconds>(m_context.config->limits.answerRetention).count();
        for (const auto segment : state.journal.expire(epochMilliseconds(m_context.clock.wall()) - retention)) {
            transaction.deletes.push_back(segmentKey(shard, segment));
        }
        const auto closed = state.journal.closeHead();
        transaction.puts.push_back({segmentKey(shard, closed.number), dumpJson(closed.content)});
    }
    const auto writeId = fmt::format("{}.{}.{}", m_context.settings.name, m_context.membership.self().startedAtMs, m_nextWrite++);
    transaction.puts.push_back({headKey(shard), dumpJson(state.journal.head(writeId))});
    m_context.counters.at("journal_writes").add();
    m_context.store.commit(
        std::move(transaction),
        [this, shard, writeId, batch = std::move(batch), results = std::move(results)](const Result<StoreOutcome> &outcome) {
            auto &written = m_shards[shard];
            if (outcome && outcome->applied) {
                written.busy = false;
                written.modRevision = outcome->revision;
                return completeBatch(shard, batch, results);
            }
            if (outcome) {
                // Another VM has written the head, so the state here is stale and nothing of the batch was written.
                written.busy = false;
                m_context.counters.at("journal_conflicts").add();
                return failBatch(shard, batch,
                                 {ErrorCode::Unavailable, "journal", headKey(shard), "another VM has written the journal shard"});
            }
            // The reply may have been lost after the write took effect; the write id in the stored head shows whether it did.
            const auto error = outcome.error();
            m_context.store.read(headKey(shard), true, [this, shard, writeId, batch, results, error](const Result<StoreRange> &range) {
                auto &confirmed = m_shards[shard];
                confirmed.busy = false;
                const auto head = range && !range->values.empty() ? Json::parse(range->values.front().value, nullptr, false) : Json();
                if (head.is_object() && head.value("write", std::string()) == writeId) {
                    confirmed.modRevision = range->values.front().modRevision;
                    return completeBatch(shard, batch, results);
                }
                failBatch(shard, batch, error);
            });
        });
}

auto JournalService::completeBatch(int shard, const std::vector<Operation> &batch,
                                   const std::vector<Result<JournalShard::IntentResult>> &results) -> void
{
    for (std::size_t index = 0; index < batch.size(); ++index) {
        batch[index].done(results[index]);
    }
    if (!m_shards[shard].queue.empty()) {
        schedule(shard, Duration::zero());
    }
}

auto JournalService::failBatch(int shard, const std::vector<Operation> &batch, const Error &error) -> void
{
    // The state in memory may differ from the store, so it is loaded again before the next batch.
    m_shards[shard].loaded = false;
    for (const auto &operation : batch) {
        operation.done(tl::unexpected(error));
    }
    if (!m_shards[shard].queue.empty()) {
        schedule(shard, BackoffBase);
    }
}

} // namespace currantstack
