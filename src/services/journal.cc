#include "currantstack/journal.h"

#include <utility>

namespace currantstack
{

namespace
{

constexpr std::int64_t MaxJsonInteger = 1LL << 53; // up to which doubles, hence all JSON parsers, represent integers exactly
constexpr std::size_t EntryOverhead = 160; // bytes of an entry in JSON besides its strings

auto encodedSize(const JournalEntry &entry) -> std::size_t
{
    const auto texts = entry.key.size() + entry.fingerprint.size() + entry.attempt.size() + entry.vm.size();
    return EntryOverhead + texts + (entry.answer ? entry.answer->body.size() + entry.answer->contentType.size() : 0);
}

auto readAnswer(ObjectReader reader) -> RecordedAnswer
{
    return {static_cast<int>(reader.integer("status", 0, 999)), reader.text("content_type", ""), reader.text("body", "")};
}

} // namespace

auto name(IntentDecision decision) -> std::string_view
{
    switch (decision) {
    case IntentDecision::Run:
        return "run";
    case IntentDecision::Replay:
        return "replay";
    case IntentDecision::InProgress:
        return "in progress";
    case IntentDecision::Unknown:
        return "unknown";
    case IntentDecision::Mismatch:
        return "mismatch";
    }
    return "unknown";
}

auto toJson(const RecordedAnswer &answer) -> Json
{
    return {{"status", answer.status}, {"content_type", answer.contentType}, {"body", answer.body}};
}

auto toJson(const JournalEntry &entry) -> Json
{
    Json value = {{"key", entry.key}, {"fingerprint", entry.fingerprint},   {"attempt", entry.attempt},
                  {"vm", entry.vm},   {"incarnation", entry.vmStartedAtMs}, {"started_ms", entry.startedAtMs}};
    if (entry.answer) {
        value["answer"] = toJson(*entry.answer);
    }
    return value;
}

auto journalEntryFromJson(const Json &value) -> Result<JournalEntry>
{
    ValidationErrors errors;
    ObjectReader reader(value, "", errors);
    JournalEntry entry;
    entry.key = reader.text("key");
    entry.fingerprint = reader.text("fingerprint", "");
    entry.attempt = reader.text("attempt");
    entry.vm = reader.text("vm", "");
    entry.vmStartedAtMs = reader.integer("incarnation", 0, MaxJsonInteger, 0);
    entry.startedAtMs = reader.integer("started_ms", 0, MaxJsonInteger, 0);
    if (!reader.raw("answer").is_null()) {
        entry.answer = readAnswer(reader.object("answer"));
    }
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "journal entry", "", describe(errors));
    }
    return entry;
}

auto JournalShard::begin(const JournalEntry &intent, const std::function<bool(const JournalEntry &)> &isRunning) -> IntentResult
{
    const auto found = m_entries.find(intent.key);
    if (found == m_entries.end() && m_unreadableKeys.contains(intent.key)) {
        return {IntentDecision::Unknown, std::nullopt};
    }
    if (found == m_entries.end()) {
        m_entries[intent.key] = {intent, -1};
        m_headBytes += encodedSize(intent);
        return {IntentDecision::Run, std::nullopt};
    }
    const auto &existing = found->second.entry;
    if (existing.fingerprint != intent.fingerprint) {
        return {IntentDecision::Mismatch, std::nullopt};
    }
    if (existing.answer) {
        return {IntentDecision::Replay, existing.answer};
    }
    if (existing.attempt == intent.attempt) {
        return {IntentDecision::Run, std::nullopt}; // the same attempt is repeated after a lost reply
    }
    return {isRunning(existing) ? IntentDecision::InProgress : IntentDecision::Unknown, std::nullopt};
}

auto JournalShard::moveToHead(StoredEntry &stored) -> void
{
    if (stored.segment < 0) {
        return;
    }
    --m_segmentEntryCounts[stored.segment];
    stored.segment = -1;
    m_headBytes += encodedSize(stored.entry);
}

auto JournalShard::finish(std::string_view key, std::string_view attempt, RecordedAnswer answer) -> bool
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.entry.attempt != attempt) {
        return false;
    }
    if (answer.body.size() > MaxAnswerBytes) {
        answer.body.clear();
    }
    moveToHead(found->second);
    m_headBytes += answer.body.size() + answer.contentType.size();
    found->second.entry.answer = std::move(answer);
    return true;
}

auto JournalShard::abandon(std::string_view key, std::string_view attempt) -> bool
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.entry.attempt != attempt || found->second.entry.answer) {
        return false;
    }
    moveToHead(found->second);
    m_headBytes -= std::min(m_headBytes, encodedSize(found->second.entry));
    m_entries.erase(found);
    return true;
}

auto JournalShard::find(std::string_view key) const -> const JournalEntry *
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second.entry;
}

auto JournalShard::loadUnreadable(const Json &value, std::optional<std::int64_t> segment) -> void
{
    if (value.is_object() && value.contains("key") && value["key"].is_string()) {
        m_unreadableKeys.insert(value["key"].get<std::string>());
    }
    if (segment) {
        ++m_segmentEntryCounts[*segment]; // so that the segment is kept
    } else {
        m_unreadableInHead.push_back(value);
        m_headBytes += value.dump().size();
    }
}

auto JournalShard::load(const Json &segment, bool isHead) -> Result<std::size_t>
{
    if (segment.is_null()) {
        return 0;
    }
    ValidationErrors errors;
    ObjectReader reader(segment, "", errors);
    const auto number = reader.integer("segment", -1, MaxJsonInteger, -1);
    const auto nextSegment = reader.integer("next_segment", 0, MaxJsonInteger, 0);
    const auto &entries = reader.raw("entries");
    if (!entries.is_array()) {
        reader.addError("entries", "must be a list");
    }
    if (!errors.empty()) {
        return fail(ErrorCode::BadInput, "load journal", "", describe(errors));
    }
    m_nextSegment = isHead ? nextSegment : m_nextSegment;
    std::size_t unreadable = 0;
    for (const auto &value : entries) {
        auto entry = journalEntryFromJson(value);
        if (!entry) {
            ++unreadable;
            loadUnreadable(value, isHead ? std::nullopt : std::optional(number));
            continue;
        }
        // The head is newer than every segment, and a segment is newer than those with lower numbers.
        const auto found = m_entries.find(entry->key);
        if (found != m_entries.end()) {
            const bool older = !isHead && (found->second.segment < 0 || found->second.segment > number);
            if (older) {
                continue;
            }
            if (found->second.segment >= 0) {
                --m_segmentEntryCounts[found->second.segment];
            }
        }
        if (isHead) {
            m_headBytes += encodedSize(*entry);
        } else {
            ++m_segmentEntryCounts[number];
        }
        const auto key = entry->key;
        m_entries[key] = {std::move(*entry), isHead ? -1 : number};
    }
    if (!isHead) {
        m_segmentEntryCounts.try_emplace(number, 0);
    }
    return unreadable;
}

auto JournalShard::head(std::string_view writeId) const -> Json
{
    auto entries = m_unreadableInHead;
    for (const auto &[key, stored] : m_entries) {
        if (stored.segment < 0) {
            entries.push_back(toJson(stored.entry));
        }
    }
    return {{"write", writeId}, {"next_segment", m_nextSegment}, {"entries", std::move(entries)}};
}

auto JournalShard::needsClosing() const -> bool
{
    return m_headBytes > MaxHeadBytes;
}

auto JournalShard::closeHead() -> ClosedSegment
{
    ClosedSegment closed;
    closed.number = m_nextSegment++;
    auto entries = std::exchange(m_unreadableInHead, Json::array());
    m_segmentEntryCounts[closed.number] += entries.size();
    for (auto &[key, stored] : m_entries) {
        if (stored.segment < 0) {
            entries.push_back(toJson(stored.entry));
            stored.segment = closed.number;
            ++m_segmentEntryCounts[closed.number];
        }
    }
    closed.content = {{"segment", closed.number}, {"entries", std::move(entries)}};
    m_headBytes = 0;
    return closed;
}

auto JournalShard::expire(std::int64_t beforeMs) -> std::vector<std::int64_t>
{
    std::erase_if(m_entries, [this, beforeMs](const auto &item) {
        const auto &stored = item.second;
        if (stored.entry.startedAtMs >= beforeMs) {
            return false;
        }
        if (stored.segment >= 0) {
            --m_segmentEntryCounts[stored.segment];
        } else {
            m_headBytes -= std::min(m_headBytes, encodedSize(stored.entry));
        }
        return true;
    });
    std::vector<std::int64_t> empty;
    for (const auto &[segment, count] : m_segmentEntryCounts) {
        if (count == 0) {
            empty.push_back(segment);
        }
    }
    for (const auto segment : empty) {
        m_segmentEntryCounts.erase(segment);
    }
    return empty;
}

} // namespace currantstack
