// At most once over all VMs: each slice of the keys has an owner VM, which writes many intents at a time.
#pragma once

#include "currantstack/context.h"
#include "currantstack/journal.h"

#include <map>

namespace currantstack
{

/// Enters intents and answers in the slice of their key, by its owner, through compare-and-swap in the store.
class JournalService
{
public:
    using BeginDone = std::function<void(Result<SliceJournal::Verdict>)>;

    static constexpr int Slices = 16;
    static constexpr Duration WriteSpacing = milliseconds(25); // between two writes of a slice
    static constexpr Duration AnswerDelay = milliseconds(200); // for which answers wait for company
    static constexpr Duration RunLimit = seconds(180); // after which a run without an answer counts as unknown
    static constexpr Duration FinishFor = seconds(120); // during which recording an answer is tried

    explicit JournalService(Context &context);

    /// Enters an intent. `Run` means that the intent is written and the attempt may be sent. An error means that it was
    /// not entered, or that it is not known; the caller must then not send.
    auto begin(const JournalEntry &intent, BeginDone done) -> void;

    /// Records the answer; tried again until the store has it or the time is up.
    auto finish(const std::string &key, const std::string &attempt, const RecordedAnswer &answer) -> void;

    /// Takes an attempt out that was never sent.
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
        std::function<void(Result<SliceJournal::Verdict>)> done;
    };

    struct Slice
    {
        SliceJournal journal;
        std::int64_t modRevision = 0;
        bool loaded = false;
        bool busy = false; // a read or a write is under way
        bool scheduled = false;
        TimePoint lastWrite;
        std::vector<Operation> queue;
    };

    struct Outbox
    {
        Operation::Kind kind = Operation::Kind::Finish;
        JournalEntry entry;
        TimePoint begun;
        int tries = 0;
    };

    auto sliceOf(std::string_view key) const -> int;
    auto ownerOf(int slice) const -> std::string;
    auto submit(int slice, Operation operation) -> void;
    auto schedule(int slice, Duration delay) -> void;
    auto run(int slice) -> void;
    auto load(int slice) -> void;
    auto write(int slice, std::vector<Operation> batch, std::vector<Result<SliceJournal::Verdict>> results) -> void;
    auto conclude(int slice, const std::vector<Operation> &batch, const std::vector<Result<SliceJournal::Verdict>> &results) -> void;
    auto fall(int slice, const std::vector<Operation> &batch, const Error &error) -> void;
    auto applyOperation(Slice &slice, const Operation &operation, bool &changed) -> Result<SliceJournal::Verdict>;
    auto isRunning(const JournalEntry &entry) const -> bool;
    auto sendLater(Outbox item) -> void;
    auto send(Outbox item) -> void;
    auto handle(Operation::Kind kind, const Json &body, const PeerRouter::Reply &reply) -> void;

    Context &m_context;
    std::map<int, Slice> m_slices;
    std::int64_t m_nextWrite = 0;
};

} // namespace currantstack
