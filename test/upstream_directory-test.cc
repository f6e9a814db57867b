#include "currantstack/decisions/upstream_directory.h"

#include "check.h"

using namespace currantstack;

class UpstreamDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryTest);
    CPPUNIT_TEST(drainingUpstreamsGetNoNewWork);
    CPPUNIT_TEST(restartsUnderTheSameIdAreDetected);
    CPPUNIT_TEST(onlyWritesOfTheSameStartCountForAProcess);
    CPPUNIT_TEST(expiredEntriesStayUsableForTheGracePeriod);
    CPPUNIT_TEST(expiredDrainingEntriesAreRemovedAtOnce);
    CPPUNIT_TEST(newestEntryOfAnAddressIsUsed);
    CPPUNIT_TEST(entriesThatAreNotRecognizedHideNoOthers);
    CPPUNIT_TEST(engineOfAnotherServiceHidesThePreviousOneAtItsAddress);
    CPPUNIT_TEST(anOlderCopyOfTheStoreBringsNoDrainedOrRemovedUpstreamBack);
    CPPUNIT_TEST_SUITE_END();

    static auto upstream(const std::string &id, const std::string &address, std::int64_t revision = 1, const std::string &service = "s")
        -> Upstream
    {
        Upstream result;
        result.id = id;
        result.service = service;
        result.address = address;
        result.startedAtMs = 100;
        result.revision = revision;
        return result;
    }

public:
    auto drainingUpstreamsGetNoNewWork() -> void
    {
        UpstreamDirectory directory;
        auto entry = upstream("u", "10.0.0.1:1");
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::Joined);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("s").size());
        CPPUNIT_ASSERT(directory.usable("other").empty());
        entry.draining = true;
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::Draining);
        CPPUNIT_ASSERT(directory.usable("s").empty());
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::None);
        entry.draining = false;
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::Joined);
    }

    auto restartsUnderTheSameIdAreDetected() -> void
    {
        UpstreamDirectory directory;
        auto entry = upstream("u", "10.0.0.1:1");
        directory.apply(entry);
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::Updated);
        entry.startedAtMs = 101;
        CPPUNIT_ASSERT(directory.apply(entry) == UpstreamChange::Restarted);
    }

    auto onlyWritesOfTheSameStartCountForAProcess() -> void
    {
        ManualClock clock;
        UpstreamDirectory directory;
        auto entry = upstream("u", "10.0.0.1:1");
        const auto former = entry;
        clock.advance(milliseconds(1000));
        directory.apply(entry, clock.now() - milliseconds(200));
        directory.apply(entry); // a snapshot does not tell when its entries were written
        CPPUNIT_ASSERT(directory.hasWritten(former, clock.now() - milliseconds(200)));
        CPPUNIT_ASSERT(!directory.hasWritten(former, clock.now()));
        CPPUNIT_ASSERT(!directory.hasWritten(upstream("v", "10.0.0.1:1"), {}));
        entry.startedAtMs = 101;
        directory.apply(entry);
        CPPUNIT_ASSERT(!directory.hasWritten(former, {}));
        CPPUNIT_ASSERT(!directory.hasWritten(entry, clock.now() - milliseconds(200)));
        directory.apply(entry, clock.now());
        CPPUNIT_ASSERT(directory.hasWritten(entry, clock.now()) && !directory.hasWritten(former, {}));
        entry.startedAtMs = 0;
        directory.apply(entry, clock.now());
        CPPUNIT_ASSERT(!directory.hasWritten(entry, {})); // it names no start
    }

    auto expiredEntriesStayUsableForTheGracePeriod() -> void
    {
        ManualClock clock;
        UpstreamDirectory directory;
        directory.apply(upstream("back", "10.0.0.1:1"));
        directory.apply(upstream("gone", "10.0.0.2:1"));
        directory.remove("back", true, clock.now());
        directory.remove("gone", true, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), directory.usable("s").size());
        clock.advance(milliseconds(1500));
        CPPUNIT_ASSERT(directory.expire(clock.now()).empty());
        directory.apply(upstream("back", "10.0.0.1:1", 2));
        clock.advance(milliseconds(600));
        CPPUNIT_ASSERT(directory.expire(clock.now()) == std::vector<std::string>{"gone"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("s").size());
        // A draining upstream must get no new work after 2.5 s.
        CPPUNIT_ASSERT(UpstreamDirectory::ExpiryGrace < milliseconds(2500));
    }

    auto expiredDrainingEntriesAreRemovedAtOnce() -> void
    {
        ManualClock clock;
        UpstreamDirectory directory;
        auto entry = upstream("u", "10.0.0.1:1");
        entry.draining = true;
        directory.apply(entry);
        CPPUNIT_ASSERT(directory.remove("u", true, clock.now()) == UpstreamChange::Removed);
        CPPUNIT_ASSERT(directory.remove("u", false, clock.now()) == UpstreamChange::None);
    }

    auto newestEntryOfAnAddressIsUsed() -> void
    {
        UpstreamDirectory directory;
        directory.apply(upstream("old", "10.0.0.1:1", 5));
        directory.apply(upstream("new", "10.0.0.1:1", 9));
        const auto usable = directory.usable("s");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), usable.front()->id);
    }

    auto entriesThatAreNotRecognizedHideNoOthers() -> void
    {
        UpstreamDirectory directory;
        directory.setRecognizer([](const Upstream &entry) { return entry.service != "unnamed"; });
        directory.apply(upstream("sound", "10.0.0.1:1", 5));
        directory.apply(upstream("other", "10.0.0.1:1", 9, "unnamed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("s").size());
        directory.setRecognizer(nullptr); // the next configuration names the service
        CPPUNIT_ASSERT(directory.usable("s").empty());
        directory.setRecognizer([](const Upstream &entry) { return entry.service == "s"; });
        directory.apply(upstream("other", "10.0.0.1:1", 10, "unnamed again"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("s").size());
    }

    auto engineOfAnotherServiceHidesThePreviousOneAtItsAddress() -> void
    {
        UpstreamDirectory directory;
        directory.setRecognizer([](const Upstream &entry) { return entry.service != "unnamed"; });
        directory.apply(upstream("gone", "10.0.0.1:1", 5));
        directory.apply(upstream("next", "10.0.0.1:1", 9, "t"));
        CPPUNIT_ASSERT(directory.usable("s").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("t").size());
        // An entry that is not recognized stays for requests which came under an older configuration, unless it is outdated.
        directory.apply(upstream("dropped", "10.0.0.1:1", 8, "unnamed"));
        CPPUNIT_ASSERT(directory.usable("unnamed").empty());
        directory.apply(upstream("dropped", "10.0.0.2:1", 8, "unnamed"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.usable("unnamed").size());
    }

    auto anOlderCopyOfTheStoreBringsNoDrainedOrRemovedUpstreamBack() -> void
    {
        UpstreamDirectory directory;
        TimePoint now{seconds(100)};
        Upstream upstream;
        upstream.id = "u";
        upstream.service = "s";
        upstream.address = "a:1";
        upstream.startedAtMs = 5;
        auto draining = upstream;
        draining.draining = true;
        directory.apply(upstream);
        directory.apply(draining);
        CPPUNIT_ASSERT(directory.applyFromCopy(upstream, now) == UpstreamChange::None);
        CPPUNIT_ASSERT(directory.usable("s").empty());
        auto restarted = upstream;
        restarted.startedAtMs = 6;
        CPPUNIT_ASSERT(directory.applyFromCopy(restarted, now) == UpstreamChange::Joined);
        directory.remove("u", false, now);
        CPPUNIT_ASSERT(directory.applyFromCopy(restarted, now + seconds(5)) == UpstreamChange::None);
        CPPUNIT_ASSERT(directory.find("u") == nullptr);
        CPPUNIT_ASSERT(directory.apply(restarted) == UpstreamChange::Joined); // it has written its entry again
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryTest);
