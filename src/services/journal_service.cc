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
constexpr Duration BeginTimeout = seconds(3);
constexpr Duration RetryBase = milliseconds(200);
constexpr Duration RetryLongest = seconds(5);
constexpr Duration ExpiryPeriod = seconds(600);

auto prefixOf(int slice) -> std::string
{
    return fmt::format("currant/journal/{:02}/", slice);
}

auto headKey(int slice) -> std::string
{
    return prefixOf(slice) + "head";
}

auto segmentKey(int slice, std::int64_t number) -> std::string
{
    return fmt::format("{}segment/{:09}", prefixOf(slice), number);
}

auto verdictToJson(const SliceJournal::Verdict &verdict) -> Json
{
    Json value = {{"verdict", name(verdict.verdict)}};
    if (verdict.answer) {
        value["answer"] = toJson(*verdict.answer);
    }
    return value;
}

auto verdictFromJson(const Json &value) -> Result<SliceJournal::Verdict>
{
    const auto text = value.value("verdict", std::string());
    for (const auto kind :
         {IntentVerdict::Run, IntentVerdict::Replay, IntentVerdict::InProgress, IntentVerdict::Unknown, IntentVerdict::Mismatch}) {
        if (name(kind) != text) {
            continue;
        }
        SliceJournal::Verdict verdict{kind, std::nullopt};
        if (value.contains("answer")) {
            const auto entry = journalEntryFromJson({{"key", ""}, {"attempt", ""}, {"answer", value["answer"]}});
            if (!entry) {
                return tl::unexpected(entry.error());
            }
            verdict.answer = entry->answer;
        }
        return verdict;
    }
    return fail(ErrorCode::Internal, "journal", "", "the owner's verdict is not known");
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
    intent.incarnation = m_context.membership.self().boot;
    intent.startedMs = epochMilliseconds(m_context.clock.wall());
    return intent;
}

auto JournalService::sliceOf(std::string_view key) const -> int
{
    return static_cast<int>(hash64(key) % Slices);
}

auto JournalService::ownerOf(int slice) const -> std::string
{
    const auto live = m_context.membership.live();
    return std::string(rendezvousOwner(live, prefixOf(slice)));
}

auto JournalService::isRunning(const JournalEntry &entry) const -> bool
{
    const auto age = epochMilliseconds(m_context.clock.wall()) - entry.startedMs;
    if (milliseconds(age) > RunLimit) {
        return false;
    }
    if (m_context.isSelf(entry.vm)) {
        return entry.incarnation == m_context.membership.self().boot;
    }
    const auto *peer = m_context.membership.find(entry.vm);
    return peer != nullptr && peer->state != VmState::Dead && peer->vm.boot == entry.incarnation;
}

auto JournalService::begin(const JournalEntry &intent, BeginDone done) -> void
{
    const auto slice = sliceOf(intent.key);
    const auto owner = ownerOf(slice);
    if (m_context.isSelf(owner)) {
        return submit(slice, {Operation::Kind::Begin, intent, std::move(done)});
    }
    m_context.peers.call(m_context.addressOf(owner), "/peer/journal/begin", toJson(intent), BeginTimeout,
                         [done = std::move(done)](const Result<Json> &reply) {
                             if (!reply) {
                                 return done(tl::unexpected(reply.error()));
                             }
                             done(verdictFromJson(*reply));
                         });
}

auto JournalService::finish(const std::string &key, const std::string &attempt, const RecordedAnswer &answer) -> void
{
    Outbox item;
    item.kind = Operation::Kind::Finish;
    item.entry.key = key;
    item.entry.attempt = attempt;
    item.entry.answer = answer;
    item.begun = m_context.clock.now();
    send(std::move(item));
}

auto JournalService::abandon(const std::string &key, const std::string &attempt) -> void
{
    Outbox item;
    item.kind = Operation::Kind::Abandon;
    item.entry.key = key;
    item.entry.attempt = attempt;
    item.begun = m_context.clock.now();
    send(std::move(item));
}

auto JournalService::send(Outbox item) -> void
{
    const auto slice = sliceOf(item.entry.key);
    const auto owner = ownerOf(slice);
    const auto kind = item.kind;
    const auto entry = item.entry;
    auto onResult = [this, item = std::move(item)](bool recorded) mutable {
        if (!recorded) {
            sendLater(std::move(item));
        }
    };
    if (m_context.isSelf(owner)) {
        return submit(slice,
                      {kind, entry, [onResult](const Result<SliceJournal::Verdict> &verdict) mutable { onResult(verdict.has_value()); }});
    }
    const auto path = kind == Operation::Kind::Finish ? "/peer/journal/finish" : "/peer/journal/abandon";
    m_context.peers.call(m_context.addressOf(owner), path, toJson(entry), BeginTimeout,
                         [onResult](const Result<Json> &reply) mutable { onResult(reply.has_value()); });
}

auto JournalService::sendLater(Outbox item) -> void
{
    if (m_context.clock.now() - item.begun > FinishFor) {
        JournalLog.warning("The answer of {} was not recorded in time", item.entry.attempt);
        m_context.counters.at("journal_answers_lost").add();
        return;
    }
    const auto wait = RetryBase + backoff(item.tries++, RetryBase, RetryLongest, m_context.random);
    m_context.loop.after(wait, [this, item = std::move(item)]() mutable { send(std::move(item)); });
}

auto JournalService::handle(Operation::Kind kind, const Json &body, const PeerRouter::Reply &reply) -> void
{
    auto entry = journalEntryFromJson(body);
    if (!entry) {
        return reply(tl::unexpected(entry.error()));
    }
    const auto slice = sliceOf(entry->key);
    if (!m_context.isSelf(ownerOf(slice))) {
        return reply(fail(ErrorCode::Unavailable, "journal", m_context.settings.name, "this VM does not own the slice"));
    }
    submit(slice, {kind, std::move(*entry), [reply](const Result<SliceJournal::Verdict> &verdict) {
                       if (!verdict) {
                           return reply(tl::unexpected(verdict.error()));
                       }
                       reply(verdictToJson(*verdict));
                   }});
}

auto JournalService::submit(int slice, Operation operation) -> void
{
    const auto delay = operation.kind == Operation::Kind::Begin ? Duration::zero() : AnswerDelay;
    m_slices[slice].queue.push_back(std::move(operation));
    schedule(slice, delay);
}

auto JournalService::schedule(int slice, Duration delay) -> void
{
    auto &state = m_slices[slice];
    if (state.busy || (state.scheduled && delay > Duration::zero())) {
        return;
    }
    const auto spacing = state.lastWrite + WriteSpacing - m_context.clock.now();
    state.scheduled = true;
    m_context.loop.after(std::max({Duration::zero(), delay, Duration(spacing)}), [this, slice]() {
        m_slices[slice].scheduled = false;
        run(slice);
    });
}

auto JournalService::run(int slice) -> void
{
    auto &state = m_slices[slice];
    if (state.busy || state.queue.empty()) {
        return;
    }
    if (!state.loaded) {
        return load(slice);
    }
    auto batch = std::exchange(state.queue, {});
    std::vector<Result<SliceJournal::Verdict>> results;
    bool changed = false;
    for (const auto &operation : batch) {
        results.push_back(applyOperation(state, operation, changed));
    }
    if (!changed) {
        return conclude(slice, batch, results);
    }
    write(slice, std::move(batch), std::move(results));
}

auto JournalService::applyOperation(Slice &slice, const Operation &operation, bool &changed) -> Result<SliceJournal::Verdict>
{
    if (operation.kind == Operation::Kind::Begin) {
        const auto known = slice.journal.find(operation.entry.key) != nullptr;
        auto verdict = slice.journal.begin(operation.entry, [this](const JournalEntry &entry) { return isRunning(entry); });
        changed = changed || !known;
        return verdict;
    }
    if (operation.kind == Operation::Kind::Finish) {
        changed = slice.journal.finish(operation.entry.key, operation.entry.attempt, operation.entry.answer.value_or(RecordedAnswer()))
            || changed;
    } else {
        changed = slice.journal.abandon(operation.entry.key, operation.entry.attempt) || changed;
    }
    return SliceJournal::Verdict{};
}

auto JournalService::load(int slice) -> void
{
    m_slices[slice].busy = true;
    m_context.store.read(prefixOf(slice), false, [this, slice](const Result<StoreRange> &range) {
        auto &state = m_slices[slice];
        state.busy = false;
        if (!range) {
            return fall(slice, std::exchange(state.queue, {}), range.error());
        }
        state.journal = SliceJournal();
        state.modRevision = 0;
        for (const auto &value : range->values) {
            const bool isHead = value.key == headKey(slice);
            if (isHead) {
                state.modRevision = value.modRevision;
            }
            state.journal.load(Json::parse(value.value, nullptr, false), isHead);
        }
        state.loaded = true;
        run(slice);
    });
}

auto JournalService::write(int slice, std::vector<Operation> batch, std::vector<Result<SliceJournal::Verdict>> results) -> void
{
    auto &state = m_slices[slice];
    state.busy = true;
    state.lastWrite = m_context.clock.now();
    StoreTransaction transaction;
    transaction.compares.push_back({headKey(slice), state.modRevision});
    if (state.journal.needsClosing()) {
        const auto retention = std::chrono::duration_cast<milliseconds>(m_context.config->limits.answerRetention).count();
        for (const auto segment : state.journal.expire(epochMilliseconds(m_context.clock.wall()) - retention)) {
            transaction.deletes.push_back(segmentKey(slice, segment));
        }
        const auto closed = state.journal.closeHead();
        transaction.puts.push_back({segmentKey(slice, closed.number), dumpJson(closed.content)});
    }
    const auto writeId = fmt::format("{}.{}.{}", m_context.settings.name, m_context.membership.self().boot, m_nextWrite++);
    transaction.puts.push_back({headKey(slice), dumpJson(state.journal.head(writeId))});
    m_context.counters.at("journal_writes").add();
    m_context.store.commit(
        std::move(transaction),
        [this, slice, writeId, batch = std::move(batch), results = std::move(results)](const Result<StoreOutcome> &outcome) {
            auto &written = m_slices[slice];
            if (outcome && outcome->applied) {
                written.busy = false;
                written.modRevision = outcome->revision;
                return conclude(slice, batch, results);
            }
            if (outcome) {
                // Another VM has written the slice: this one's view is stale, and nothing of the batch counts.
                written.busy = false;
                m_context.counters.at("journal_conflicts").add();
                return fall(slice, batch, {ErrorCode::Unavailable, "journal", headKey(slice), "another VM owns the slice"});
            }
            // The reply may have been lost after the write took effect: the write's id tells.
            const auto error = outcome.error();
            m_context.store.read(headKey(slice), true, [this, slice, writeId, batch, results, error](const Result<StoreRange> &range) {
                auto &settled = m_slices[slice];
                settled.busy = false;
                const auto head = range && !range->values.empty() ? Json::parse(range->values.front().value, nullptr, false) : Json();
                if (head.is_object() && head.value("write", std::string()) == writeId) {
                    settled.modRevision = range->values.front().modRevision;
                    return conclude(slice, batch, results);
                }
                fall(slice, batch, error);
            });
        });
}

auto JournalService::conclude(int slice, const std::vector<Operation> &batch, const std::vector<Result<SliceJournal::Verdict>> &results)
    -> void
{
    for (std::size_t index = 0; index < batch.size(); ++index) {
        batch[index].done(results[index]);
    }
    if (!m_slices[slice].queue.empty()) {
        schedule(slice, Duration::zero());
    }
}

auto JournalService::fall(int slice, const std::vector<Operation> &batch, const Error &error) -> void
{
    // What the journal holds may differ from the store; it is read again before the next operation.
    m_slices[slice].loaded = false;
    for (const auto &operation : batch) {
        operation.done(tl::unexpected(error));
    }
    if (!m_slices[slice].queue.empty()) {
        schedule(slice, RetryBase);
    }
}

} // namespace currantstack
