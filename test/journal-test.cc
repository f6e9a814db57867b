#include "currantstack/journal.h"

#include "check.h"

#include <map>
#include <rapidcheck/state.h>

using namespace currantstack;

namespace
{

auto makeIntent(int key, const std::string &attempt, std::int64_t startedAtMs = 1000) -> JournalEntry
{
    JournalEntry entry;
    entry.key = "key" + std::to_string(key);
    entry.fingerprint = "f";
    entry.attempt = attempt;
    entry.vm = "vm0";
    entry.startedAtMs = startedAtMs;
    return entry;
}

const auto NotRunning = [](const JournalEntry &) { return false; };

/// The stored state of a shard: a head and closed segments, written atomically.
struct Stored
{
    Json head = Json::object();
    std::map<std::int64_t, Json> segments;
};

/// Model state: the attempt that may run each key, and the status of its answer.
struct KeyModel
{
    std::map<int, std::string> runs;
    std::map<int, int> answers;
    int nextAttempt = 0;
};

struct System
{
    JournalShard journal;
    Stored stored;

    auto write() -> void
    {
        if (journal.needsClosing()) {
            const auto closed = journal.closeHead();
            stored.segments[closed.number] = closed.content;
        }
        stored.head = journal.head("w");
    }

    auto reload() -> void
    {
        journal = JournalShard();
        for (const auto &[number, content] : stored.segments) {
            journal.load(content, false);
        }
        journal.load(stored.head, true);
    }
};

using Command = rc::state::Command<KeyModel, System>;

struct Begin : Command
{
    int key = *rc::gen::inRange(0, 6);

    auto apply(KeyModel &model) const -> void override
    {
        const auto attempt = "a" + std::to_string(model.nextAttempt++);
        model.runs.try_emplace(key, attempt);
    }

    auto run(const KeyModel &model, System &system) const -> void override
    {
        const auto attempt = "a" + std::to_string(model.nextAttempt);
        const auto result = system.journal.begin(makeIntent(key, attempt), NotRunning);
        if (!model.runs.contains(key)) {
            RC_ASSERT(result.decision == IntentDecision::Run);
        } else if (model.answers.contains(key)) {
            RC_ASSERT(result.decision == IntentDecision::Replay);
            RC_ASSERT(result.answer->status == model.answers.at(key));
        } else {
            RC_ASSERT(result.decision == IntentDecision::Unknown); // never run again
        }
        system.write();
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "Begin(" << key << ")";
    }
};

struct Finish : Command
{
    int key = *rc::gen::inRange(0, 6);
    int status = *rc::gen::inRange(200, 300);
    int size = *rc::gen::inRange(0, 9000);

    auto apply(KeyModel &model) const -> void override
    {
        if (model.runs.contains(key)) {
            model.answers[key] = status;
        }
    }

    auto run(const KeyModel &model, System &system) const -> void override
    {
        const auto found = model.runs.find(key);
        const auto attempt = found == model.runs.end() ? "none" : found->second;
        const RecordedAnswer answer{status, "text/plain", std::string(static_cast<std::size_t>(size), 'x')};
        RC_ASSERT(system.journal.finish("key" + std::to_string(key), attempt, answer) == (found != model.runs.end()));
        system.write();
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "Finish(" << key << ", " << status << ", " << size << ")";
    }
};

/// Another VM becomes the owner of the shard and loads it from the store.
struct ChangeOwner : Command
{
    auto run(const KeyModel &, System &system) const -> void override
    {
        system.reload();
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "ChangeOwner";
    }
};

} // namespace

class JournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(runsEachKeyAtMostOnce);
    CPPUNIT_TEST(distinguishesRunningFromUnknown);
    CPPUNIT_TEST(refusesKeyOfDifferentRequest);
    CPPUNIT_TEST(abandonedAttemptMayRunAgain);
    CPPUNIT_TEST(expiresOldSegments);
    CPPUNIT_TEST(keysOfUnreadableEntriesDoNotRunAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    auto runsEachKeyAtMostOnce() -> void
    {
        CHECK_PROPERTY("a key runs at most once across changes of the shard's owner", []() {
            System system;
            rc::state::check(KeyModel(), system, rc::state::gen::execOneOfWithArgs<Begin, Finish, ChangeOwner>());
        });
    }

    auto distinguishesRunningFromUnknown() -> void
    {
        JournalShard journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), [](const JournalEntry &) { return true; }).decision == IntentDecision::InProgress);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), NotRunning).decision == IntentDecision::Unknown);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "a"), NotRunning).decision == IntentDecision::Run);
    }

    auto refusesKeyOfDifferentRequest() -> void
    {
        JournalShard journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        auto other = makeIntent(1, "b");
        other.fingerprint = "another";
        CPPUNIT_ASSERT(journal.begin(other, NotRunning).decision == IntentDecision::Mismatch);
    }

    auto abandonedAttemptMayRunAgain() -> void
    {
        JournalShard journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        CPPUNIT_ASSERT(!journal.abandon("key1", "b"));
        CPPUNIT_ASSERT(journal.abandon("key1", "a"));
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), NotRunning).decision == IntentDecision::Run);
        journal.finish("key1", "b", {200, "", ""});
        CPPUNIT_ASSERT(!journal.abandon("key1", "b")); // its answer is recorded
    }

    auto expiresOldSegments() -> void
    {
        JournalShard journal;
        journal.begin(makeIntent(1, "a", 1000), NotRunning);
        const auto closed = journal.closeHead();
        journal.begin(makeIntent(2, "b", 5000), NotRunning);
        CPPUNIT_ASSERT((journal.expire(2000) == std::vector<std::int64_t>{closed.number}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.size());
    }

    auto keysOfUnreadableEntriesDoNotRunAgain() -> void
    {
        const Json later = {{"key", "key1"}, {"attempt", {{"later", "form"}}}};
        for (const bool isHead : {true, false}) {
            JournalShard journal;
            const Json stored = {{"segment", 0}, {"next_segment", 1}, {"entries", {later, toJson(makeIntent(2, "b"))}}};
            const auto unreadable = journal.load(stored, isHead);
            CPPUNIT_ASSERT(unreadable && *unreadable == 1);
            CPPUNIT_ASSERT(journal.begin(makeIntent(1, "a"), NotRunning).decision == IntentDecision::Unknown);
            CPPUNIT_ASSERT(journal.begin(makeIntent(3, "c"), NotRunning).decision == IntentDecision::Run);
            CPPUNIT_ASSERT_EQUAL(isHead, journal.head("w")["entries"].front() == later);
            CPPUNIT_ASSERT_EQUAL(isHead, journal.closeHead().content["entries"].front() == later);
            CPPUNIT_ASSERT(journal.head("w")["entries"].empty());
            CPPUNIT_ASSERT(journal.expire(1'000'000'000).empty());
            CPPUNIT_ASSERT(journal.begin(makeIntent(1, "a"), NotRunning).decision == IntentDecision::Unknown);
        }
        for (const auto *text :
             {"3", "[]", "{}", R"({"entries":{}})", R"({"entries":[],"next_segment":"later"})", R"({"entries":[],"segment":-5})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !JournalShard().load(Json::parse(text), true));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
