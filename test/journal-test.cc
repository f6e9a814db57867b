#include "currantstack/journal.h"

#include "check.h"

#include <map>
#include <rapidcheck/state.h>

using namespace currantstack;

namespace
{

auto makeIntent(int key, const std::string &attempt, std::int64_t startedMs = 1000) -> JournalEntry
{
    JournalEntry entry;
    entry.key = "key" + std::to_string(key);
    entry.fingerprint = "f";
    entry.attempt = attempt;
    entry.vm = "vm0";
    entry.startedMs = startedMs;
    return entry;
}

const auto NotRunning = [](const JournalEntry &) { return false; };

/// The store as the journal's owner sees it: a head and closed segments, written together or not at all.
struct Stored
{
    Json head = Json::object();
    std::map<std::int64_t, Json> segments;
};

/// The oracle: which attempt may run a key, and its answer.
struct KeyModel
{
    std::map<int, std::string> runs;
    std::map<int, int> answers;
    int nextAttempt = 0;
};

struct System
{
    SliceJournal journal;
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
        journal = SliceJournal();
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
        const auto verdict = system.journal.begin(makeIntent(key, attempt), NotRunning);
        if (!model.runs.contains(key)) {
            RC_ASSERT(verdict.verdict == IntentVerdict::Run);
        } else if (model.answers.contains(key)) {
            RC_ASSERT(verdict.verdict == IntentVerdict::Replay);
            RC_ASSERT(verdict.answer->status == model.answers.at(key));
        } else {
            RC_ASSERT(verdict.verdict == IntentVerdict::Unknown); // never run again
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

/// Another VM takes the slice over and reads it from the store.
struct TakeOver : Command
{
    auto run(const KeyModel &, System &system) const -> void override
    {
        system.reload();
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "TakeOver";
    }
};

} // namespace

class JournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(runsEachKeyAtMostOnce);
    CPPUNIT_TEST(tellsRunningFromUnknown);
    CPPUNIT_TEST(refusesAnotherRequestWithTheKey);
    CPPUNIT_TEST(abandonedAttemptMayRunAgain);
    CPPUNIT_TEST(expiresOldSegments);
    CPPUNIT_TEST_SUITE_END();

public:
    auto runsEachKeyAtMostOnce() -> void
    {
        CHECK_PROPERTY("a key runs at most once, over any take-overs", []() {
            System system;
            rc::state::check(KeyModel(), system, rc::state::gen::execOneOfWithArgs<Begin, Finish, TakeOver>());
        });
    }

    auto tellsRunningFromUnknown() -> void
    {
        SliceJournal journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), [](const JournalEntry &) { return true; }).verdict == IntentVerdict::InProgress);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), NotRunning).verdict == IntentVerdict::Unknown);
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "a"), NotRunning).verdict == IntentVerdict::Run);
    }

    auto refusesAnotherRequestWithTheKey() -> void
    {
        SliceJournal journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        auto other = makeIntent(1, "b");
        other.fingerprint = "another";
        CPPUNIT_ASSERT(journal.begin(other, NotRunning).verdict == IntentVerdict::Mismatch);
    }

    auto abandonedAttemptMayRunAgain() -> void
    {
        SliceJournal journal;
        journal.begin(makeIntent(1, "a"), NotRunning);
        CPPUNIT_ASSERT(!journal.abandon("key1", "b"));
        CPPUNIT_ASSERT(journal.abandon("key1", "a"));
        CPPUNIT_ASSERT(journal.begin(makeIntent(1, "b"), NotRunning).verdict == IntentVerdict::Run);
        journal.finish("key1", "b", {200, "", ""});
        CPPUNIT_ASSERT(!journal.abandon("key1", "b")); // it has run
    }

    auto expiresOldSegments() -> void
    {
        SliceJournal journal;
        journal.begin(makeIntent(1, "a", 1000), NotRunning);
        const auto closed = journal.closeHead();
        journal.begin(makeIntent(2, "b", 5000), NotRunning);
        CPPUNIT_ASSERT((journal.expire(2000) == std::vector<std::int64_t>{closed.number}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, journal.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
