// At most once: intents and recorded answers of requests with an idempotency key, for one slice of the keys.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/json.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// The answer of a request that ran.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// One key: that a run was intended, by which attempt, and its answer once known.
struct JournalEntry
{
    std::string key;
    std::string fingerprint; // of the request, so that a key is not used for another one
    std::string attempt; // names the one run that is allowed
    std::string vm; // that runs it
    std::int64_t incarnation = 0;
    std::int64_t startedMs = 0; // wall time
    std::optional<RecordedAnswer> answer;
};

enum class IntentVerdict
{
    Run, // not seen before: the attempt is entered
    Replay, // ran; the recorded answer is given again
    InProgress, // the run goes on at a live VM
    Unknown, // the run's VM is gone and left no answer
    Mismatch, // the key was used for a different request
};

auto name(IntentVerdict verdict) -> std::string_view;

/// The entries of one slice, as kept in the platform's store in segments. Changes are made here first and count once written.
class SliceJournal
{
public:
    static constexpr std::size_t HeadBytes = 24U << 10; // at which the head becomes a closed segment
    static constexpr std::size_t MaxAnswerBytes = 8U << 10; // a larger answer is recorded by its status alone

    struct Verdict
    {
        IntentVerdict verdict = IntentVerdict::Run;
        std::optional<RecordedAnswer> answer;
    };

    /// Decides on an intent; `isRunning` says whether the VM of an entered attempt still runs it.
    auto begin(const JournalEntry &intent, const std::function<bool(const JournalEntry &)> &isRunning) -> Verdict;

    /// Records the answer of the attempt. Returns false where the attempt is not entered.
    auto finish(std::string_view key, std::string_view attempt, RecordedAnswer answer) -> bool;

    /// Takes an attempt out that is known never to have been sent. Returns false where it is not entered.
    auto abandon(std::string_view key, std::string_view attempt) -> bool;

    auto find(std::string_view key) const -> const JournalEntry *;

    /// Reads one stored segment into the slice.
    auto load(const Json &segment, bool isHead) -> void;

    /// Returns the head as stored: its entries, the number of closed segments, and the id of the write.
    auto head(std::string_view writeId) const -> Json;

    /// Moves the entries of the head into a closed segment. Returns its number and content.
    struct Closed
    {
        std::int64_t number = 0;
        Json content;
    };
    auto closeHead() -> Closed;
    auto needsClosing() const -> bool;

    /// Drops entries older than the time. Returns the numbers of segments that hold nothing any more.
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
    struct Kept
    {
        JournalEntry entry;
        std::int64_t segment = -1; // -1: in the head
    };

    auto toHead(Kept &kept) -> void;

    std::map<std::string, Kept, std::less<>> m_entries;
    std::map<std::int64_t, std::size_t> m_segmentSizes;
    std::size_t m_headBytes = 0;
    std::int64_t m_nextSegment = 0;
};

auto toJson(const JournalEntry &entry) -> Json;
auto journalEntryFromJson(const Json &value) -> Result<JournalEntry>;
auto toJson(const RecordedAnswer &answer) -> Json;

} // namespace currantstack
