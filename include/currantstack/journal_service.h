// At-most-once execution across VMs: each shard of the idempotency keys has an owner VM, which writes intents in batches.
#pragma once

#include "currantstack/context.h"
#include "currantstack/journal.h"

#include <map>

namespace currantstack
{

/// Records intents and answers in the shard of their key. The shard's owner writes it to the store by compare-and-swap.
class JournalService
{
public:
    using BeginDone = std::function<void(Result<JournalShard::IntentResult>)>;

    static constexpr int Shards = 16;
    static constexpr Duration MinWriteInterval = milliseconds(25); // between two writes of a shard
    static constexpr Duration AnswerBatchDelay = milliseconds(200); // for which answers are collected into a batch
    static constexpr Duration MaxRunTime = seconds(180); // after which the outcome of a run without an answer is unknown
    static constexpr Duration RecordTimeout = seconds(120); // for which recording an answer is retried

    explicit JournalService(Context &context);

    /// Records an intent. `Run` means that the intent is in the store and the attempt may be sent. After an error the intent may or
    /// may not be recorded, and the attempt must not be sent.
    auto begin(const JournalEntry &intent, BeginDone done) -> void;

    /// Records the answer, with retries until the store has it or `RecordTimeout` has passed.
    auto finish(const std::string &key, const std::string &attempt, const RecordedAnswer &answer) -> void;

    /// Removes the intent of an attempt that was never sent, with the same retries.
    auto abandon(const std::string &key, const std::string &attempt) -> void;

    auto makeIntent(std::string key, std::string fingerprint, std::string attempt) const -> JournalEntry;

private:
    struct Operation
    {
        enum class Kind
        {
            Begin,
            Finish,
            Abandon,
        };
        Kind kind = Kind::Begin;
        JournalEntry entry;
        std::function<void(Result<JournalShard::IntentResult>)> done;
    };

    struct Shard
    {
        JournalShard journal;
        std::int64_t modRevision = 0; // of the head in the store
        bool loaded = false;
        bool busy = false; // a read or a write is in flight
        bool scheduled = false; // a batch will run
        TimePoint lastWrite;
        std::vector<Operation> queue;
    };

    /// An answer or a removal that is retried until the shard's owner has written it.
    struct PendingRecord
    {
        Operation::Kind kind = Operation::Kind::Finish;
        JournalEntry entry;
        TimePoint startedAt;
        int attempts = 0;
    };

    auto shardOf(std::string_view key) const -> int;
    auto ownerOf(int shard) const -> std::string;
    auto submit(int shard, Operation operation) -> void;
    auto schedule(int shard, Duration delay) -> void;
    auto runBatch(int shard) -> void;
    auto load(int shard) -> void;
    auto write(int shard, std::vector<Operation> batch, std::vector<Result<JournalShard::IntentResult>> results) -> void;
    auto completeBatch(int shard, const std::vector<Operation> &batch, const std::vector<Result<JournalShard::IntentResult>> &results)
        -> void;
    auto failBatch(int shard, const std::vector<Operation> &batch, const Error &error) -> void;
    auto applyOperation(Shard &shard, const Operation &operation, bool &changed) -> Result<JournalShard::IntentResult>;
    auto isRunning(const JournalEntry &entry) const -> bool;
    auto scheduleResend(PendingRecord item) -> void;
    auto send(PendingRecord item) -> void;
    auto handle(Operation::Kind kind, const Json &body, const PeerRouter::Reply &reply) -> void;

    Context &m_context;
    std::map<int, Shard> m_shards;
    std::int64_t m_nextWrite = 0;
};

} // namespace currantstack
