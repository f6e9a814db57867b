// At-most-once execution: intents and recorded answers of requests with an idempotency key, for one shard of the keys.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/json.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The answer to a request that ran, replayed for later requests with its key.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The state of one key: the attempt that may run the request, and the answer once it is recorded.
struct JournalEntry
{
    std::string key;
    std::string fingerprint; // of the request, to detect a key reused for a different request
    std::string attempt; // id of the only attempt that may run
    std::string vm; // the VM that runs it
    std::int64_t vmStartedAtMs = 0; // start of that VM's process, in ms since 1970
    std::int64_t startedAtMs = 0; // when the intent was made, in ms since 1970
    std::optional<RecordedAnswer> answer;
};

enum class IntentDecision
{
    Run, // the key is new, or its entry is from the same attempt: the attempt may run
    Replay, // the request ran, and its recorded answer is returned
    InProgress, // a live VM is still running the request
    Unknown, // the VM that ran the request failed without recording an answer
    Mismatch, // the key was used for a different request
};

auto name(IntentDecision decision) -> std::string_view;

/// The entries of one shard. The store holds them in closed, immutable segments and a head, which is rewritten with each change.
/// Changes are applied in memory first and take effect only once the head has been written.
class JournalShard
{
public:
    static constexpr std::size_t MaxHeadBytes = 24U << 10; // a larger head is closed into a segment
    static constexpr std::size_t MaxAnswerBytes = 8U << 10; // a larger answer is recorded without its body

    struct IntentResult
    {
        IntentDecision decision = IntentDecision::Run;
        std::optional<RecordedAnswer> answer;
    };

    /// Adds the intent if its key is new, and decides whether its attempt may run. `isRunning` returns whether the VM of an earlier
    /// attempt is still running it.
    auto begin(const JournalEntry &intent, const std::function<bool(const JournalEntry &)> &isRunning) -> IntentResult;

    /// Records the answer of the attempt. Returns false if the key has no entry of that attempt.
    auto finish(std::string_view key, std::string_view attempt, RecordedAnswer answer) -> bool;

    /// Removes the entry of an attempt that was never sent. Returns false if there is none or its answer is recorded.
    auto abandon(std::string_view key, std::string_view attempt) -> bool;

    auto find(std::string_view key) const -> const JournalEntry *;

    /// Loads a stored segment or the stored head; null is an absent one. Newer entries of the same key replace older ones, in any order
    /// of loading. Returns the number of entries that this build cannot read: their keys count as used, and a head is written back with
    /// them. The error is `BadInput` if the whole part cannot be read.
    auto load(const Json &segment, bool isHead) -> Result<std::size_t>;

    /// Returns the head in stored form: its entries, the number of the next segment and the id of the write.
    auto head(std::string_view writeId) const -> Json;

    struct ClosedSegment
    {
        std::int64_t number = 0;
        Json content;
    };

    /// Moves the entries of the head into a new closed segment.
    auto closeHead() -> ClosedSegment;
    auto needsClosing() const -> bool;

    /// Removes entries that started before the time. Returns the numbers of the segments that have become empty.
    auto expire(std::int64_t beforeMs) -> std::vector<std::int64_t>;

    auto closedSegments() const -> std::int64_t
    {
        return m_nextSegment;
    }

    auto size() const -> std::size_t
    {
        return m_entries.size();
    }

private:
    struct StoredEntry
    {
        JournalEntry entry;
        std::int64_t segment = -1; // -1: in the head
    };

    auto moveToHead(StoredEntry &stored) -> void;
    auto loadUnreadable(const Json &value, std::optional<std::int64_t> segment) -> void;

    std::map<std::string, StoredEntry, std::less<>> m_entries;
    std::set<std::string, std::less<>> m_unreadableKeys;
    Json m_unreadableInHead = Json::array();
    std::map<std::int64_t, std::size_t> m_segmentEntryCounts;
    std::size_t m_headBytes = 0;
    std::int64_t m_nextSegment = 0;
};

auto toJson(const JournalEntry &entry) -> Json;
auto journalEntryFromJson(const Json &value) -> Result<JournalEntry>;
auto toJson(const RecordedAnswer &answer) -> Json;

} // namespace currantstack
