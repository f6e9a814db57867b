#include "store.h"

#include "../check.h"
#include "../http_fixture.h"
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
    Random random{1};
    PlatformStore store(loop, clock, client, counters, random, server.address());
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
    CPPUNIT_TEST(aPageThatIsTurnedAwayIsReadAgainAlone);
    CPPUNIT_TEST(aPageThatIsAlwaysTurnedAwayEndsTheRead);
    CPPUNIT_TEST(aReadIsNotRepeatedBeforeItsFirstPage);
    CPPUNIT_TEST(aCancelledReadAsksForNoFurtherPage);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int Pages = 4;
    static constexpr Duration LongestRead = (PlatformStore::MostPageRepeats + 1) * PlatformStore::LongestPageDelay;

    /// A store of one item a page, which turns reads of page `busyPage` away until it has done so `refusals` times.
    struct PagedStore
    {
        int busyPage = 0;
        int refusals = 0;
        std::vector<int> reads = std::vector<int>(Pages); // of each page
        HttpFixture http{[this](const ExchangePtr &exchange) { answer(*exchange); }};
        SystemClock clock;
        Random random{1};
        Counters counters;
        PlatformStore store{http.loop, clock, http.client, counters, random, http.address()};

        auto answer(Exchange &exchange) -> void
        {
            const auto after = exchange.request().argument("after");
            const int page = after.empty() ? 0 : after.front() - 'a' + 1;
            ++reads.at(page);
            if (page == busyPage && refusals > 0) {
                --refusals;
                exchange.respond({429, {}, {}});
                return;
            }
            const Json item = {{"key", std::string(1, static_cast<char>('a' + page))}, {"revision", 7}, {"value", "YQ=="}};
            const Json body = {{"as_of", 12}, {"has_more", page + 1 < Pages}, {"items", Json::array({item})}};
            exchange.respond({200, {}, dumpJson(body)});
        }

        /// Returns how many items a read finds; nothing if it fails.
        auto read() -> std::optional<std::size_t>
        {
            std::optional<std::size_t> found;
            store.readPatiently("", [&](const Result<StoreRange> &range) {
                found = range ? std::optional(range->values.size()) : std::nullopt;
                http.loop.stop();
            });
            http.run();
            return found;
        }
    };

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

    auto aPageThatIsTurnedAwayIsReadAgainAlone() -> void
    {
        PagedStore pages{Pages - 1, PlatformStore::MostPageRepeats};
        CPPUNIT_ASSERT(pages.read() == Pages);
        CPPUNIT_ASSERT(pages.reads == (std::vector<int>{1, 1, 1, 1 + PlatformStore::MostPageRepeats}));
    }

    auto aPageThatIsAlwaysTurnedAwayEndsTheRead() -> void
    {
        PagedStore pages{1, std::numeric_limits<int>::max()};
        CPPUNIT_ASSERT(!pages.read());
        CPPUNIT_ASSERT(pages.reads == (std::vector<int>{1, 1 + PlatformStore::MostPageRepeats, 0, 0}));
    }

    auto aReadIsNotRepeatedBeforeItsFirstPage() -> void
    {
        PagedStore pages{0, 1};
        CPPUNIT_ASSERT(!pages.read());
        CPPUNIT_ASSERT_EQUAL(1, pages.reads.front());
    }

    auto aCancelledReadAsksForNoFurtherPage() -> void
    {
        PagedStore pages{1, std::numeric_limits<int>::max()};
        const auto read = pages.store.readPatiently("", [](const auto &) { CPPUNIT_FAIL("a cancelled read has ended"); });
        while (pages.reads[1] == 0) {
            pages.http.runFor(milliseconds(1));
        }
        read.cancel();
        pages.http.runFor(LongestRead);
        CPPUNIT_ASSERT_EQUAL(1, pages.reads[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);
