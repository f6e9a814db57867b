#include "store.h"

#include "../check.h"
#include "../unframed_server.h"

using namespace currantstack;
using namespace currantstack::platform;

namespace
{

using StoreCall = std::function<void(PlatformStore &, std::function<void(bool)>)>;

/// Makes one call and returns whether it succeeds.
auto succeeds(UnframedServer &server, const StoreCall &call) -> bool
{
    Loop loop;
    HttpClient client(loop);
    Counters counters;
    const SystemClock clock;
    PlatformStore store(loop, clock, client, counters, server.address());
    std::optional<bool> success;
    call(store, [&](bool isSuccess) {
        success = isSuccess;
        loop.stop();
    });
    loop.after(seconds(10), [&]() { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT(success.has_value());
    return *success;
}

auto succeeds(const std::string &body, const StoreCall &call) -> bool
{
    UnframedServer server(body);
    return succeeds(server, call);
}

/// Fails the test unless the call succeeds with the whole body and with no part of it.
auto checkParts(const std::string &body, const StoreCall &call) -> void
{
    for (std::size_t size = 0; size <= body.size(); ++size) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("with " + std::to_string(size) + " bytes of " + body, size == body.size(),
                                     succeeds(body.substr(0, size), call));
    }
}

const std::string Range = R"({"as_of":12,"has_more":false,"items":[{"key":"a","revision":7,"value":"YQ=="}]})";

auto readRange(PlatformStore &store, const std::function<void(bool)> &done) -> void
{
    store.read("a", false, [done](const Result<StoreRange> &range) { done(range.has_value()); });
}

auto watchOnce(PlatformStore &store, const std::function<void(bool)> &done) -> void
{
    store.watch(
        "a", 1, [done](std::span<const StoreEvent>, std::int64_t) { done(true); }, [done](const Error &) { done(false); });
}

} // namespace

/// Guards against a truncated answer of a store whose answers end with their connection, and against limits on an answer that arrives.
class PlatformStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformStoreTest);
    CPPUNIT_TEST(truncatedReadsFail);
    CPPUNIT_TEST(truncatedRangesFail);
    CPPUNIT_TEST(truncatedCommitsFail);
    CPPUNIT_TEST(truncatedLeasesFail);
    CPPUNIT_TEST(truncatedWatchesEnd);
    CPPUNIT_TEST(answersThatArriveSlowlyAreRead);
    CPPUNIT_TEST(answersThatStallFail);
    CPPUNIT_TEST_SUITE_END();

public:
    auto truncatedReadsFail() -> void
    {
        checkParts(R"({"as_of":12,"key":"a","revision":7,"value":"YQ=="})", [](PlatformStore &store, const auto &done) {
            store.read("a", true, [done](const Result<StoreRange> &range) { done(range.has_value()); });
        });
    }

    auto truncatedRangesFail() -> void
    {
        checkParts(Range, readRange);
    }

    auto truncatedCommitsFail() -> void
    {
        checkParts(R"({"revision":13})", [](PlatformStore &store, const auto &done) {
            store.commit({{}, {{"a", "b", 0}}, {}}, [done](const Result<StoreOutcome> &outcome) { done(outcome.has_value()); });
        });
    }

    auto truncatedLeasesFail() -> void
    {
        checkParts(R"({"lease":5,"ttl_ms":3000})", [](PlatformStore &store, const auto &done) {
            store.grantLease(seconds(3), [done](const Result<std::int64_t> &lease) { done(lease.has_value()); });
        });
    }

    auto truncatedWatchesEnd() -> void
    {
        checkParts(R"({"as_of":13,"events":[{"key":"a","revision":13,"value":"YQ=="}]})", watchOnce);
    }

    auto answersThatArriveSlowlyAreRead() -> void
    {
        const auto pause = milliseconds(30);
        CPPUNIT_ASSERT(pause * Range.size() > PlatformStore::CallTimeout && pause < HttpCall::StallTimeout);
        UnframedServer server(Range, pause);
        CPPUNIT_ASSERT(succeeds(server, readRange));
        CPPUNIT_ASSERT(succeeds(server, watchOnce));
    }

    auto answersThatStallFail() -> void
    {
        UnframedServer server(Range, milliseconds(1), Range.size() / 2);
        const SystemClock clock;
        for (const auto &call : {StoreCall(readRange), StoreCall(watchOnce)}) {
            const auto begin = clock.now();
            CPPUNIT_ASSERT(!succeeds(server, call));
            CPPUNIT_ASSERT(clock.now() - begin < HttpCall::StallTimeout + seconds(2));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);
