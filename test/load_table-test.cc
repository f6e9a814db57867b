#include "currantstack/decisions/load_table.h"

#include "currantstack/edge/load_exchange.h"

#include "check.h"

using namespace currantstack;

class LoadTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(sumsOwnWorkAndReports);
    CPPUNIT_TEST(reorderedReportsAreIgnored);
    CPPUNIT_TEST(reportsExpire);
    CPPUNIT_TEST(addedAndRemovedWorkCancelsOut);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(urgentWorkIsReported);
    CPPUNIT_TEST(malformedDatagramsAreRejected);
    CPPUNIT_TEST(numbersBeyondTheirBoundsAreRejected);
    CPPUNIT_TEST(waitingStreamsAreKnownByVmAndByPlace);
    CPPUNIT_TEST_SUITE_END();

public:
    auto sumsOwnWorkAndReports() -> void
    {
        ManualClock clock;
        LoadTable table;
        table.add("e", {100, 200, 1});
        const std::vector<UpstreamLoad> loads{{"e", {10, 20, 2}}, {"f", {5, 5, 1}}};
        table.merge("vm2", 1, loads, clock.now());
        CPPUNIT_ASSERT_EQUAL(3, table.total("e", clock.now()).requests);
        CPPUNIT_ASSERT_EQUAL(220.0, table.total("e", clock.now()).kvTokens);
        const auto place = table.aggregate([](std::string_view source) { return source == "vm2"; }, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), place.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.aggregate([](std::string_view) { return false; }, clock.now()).size());
    }

    auto reorderedReportsAreIgnored() -> void
    {
        ManualClock clock;
        LoadTable table;
        const std::vector<UpstreamLoad> newer{{"e", {0, 0, 5}}};
        const std::vector<UpstreamLoad> older{{"e", {0, 0, 9}}};
        table.merge("vm2", 7, newer, clock.now());
        table.merge("vm2", 6, older, clock.now());
        CPPUNIT_ASSERT_EQUAL(5, table.total("e", clock.now()).requests);
    }

    auto reportsExpire() -> void
    {
        ManualClock clock;
        LoadTable table;
        const std::vector<UpstreamLoad> loads{{"e", {0, 0, 5}}};
        table.merge("vm2", 7, loads, clock.now());
        clock.advance(LoadTable::ReportLifetime);
        CPPUNIT_ASSERT_EQUAL(0, table.total("e", clock.now()).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.reportingPeers(clock.now()));
        // A VM whose sequence restarts at a lower number is accepted again once its last report has expired.
        table.merge("vm2", 1, loads, clock.now());
        CPPUNIT_ASSERT_EQUAL(5, table.total("e", clock.now()).requests);
    }

    auto addedAndRemovedWorkCancelsOut() -> void
    {
        CHECK_PROPERTY("work that is added and removed again leaves the table empty", [](const std::vector<std::uint8_t> &sizes) {
            LoadTable table;
            for (const auto size : sizes) {
                table.add("e", {double(size), double(2 * size), 1});
            }
            for (const auto size : sizes) {
                table.remove("e", {double(size), double(2 * size), 1});
            }
            RC_ASSERT(table.own().empty());
        });
    }

    auto urgentWorkIsReported() -> void
    {
        LoadTable table;
        table.add("e", {100, 200, 2, 40, 1});
        LoadMessage message;
        message.source = message.vm = message.place = "v";
        message.loads = table.own();
        const auto decoded = decodeLoad(encodeLoad(message));
        CPPUNIT_ASSERT_EQUAL(40.0, decoded->loads.front().work.urgentPromptTokens);
        CPPUNIT_ASSERT_EQUAL(1, decoded->loads.front().work.urgentRequests);
        table.remove("e", {100, 200, 2, 40, 1});
        CPPUNIT_ASSERT(table.own().empty());
    }

    auto messagesRoundTrip() -> void
    {
        CHECK_PROPERTY("decoding returns the encoded message",
                       [](const std::string &vm, std::uint32_t sequence, bool isAggregate, std::uint16_t tokens) {
                           LoadMessage message{"src",
                                               vm,
                                               "place",
                                               sequence,
                                               isAggregate,
                                               !isAggregate,
                                               {3, 4, 5},
                                               {{"s", {1, 2, 3, 4}, 5}},
                                               {{"x", ExclusionReason::ChangingRole, EngineRole::Decode, milliseconds(70)},
                                                {"y", ExclusionReason::Outdated, EngineRole::None, milliseconds(5)},
                                                {"z", ExclusionReason::Draining, EngineRole::None, milliseconds(6)}},
                                               {{"e", {double(tokens), 7, 2}}},
                                               {{"l", 8, 2.5, milliseconds(40), sequence, 1.5}, {"m", 9, {}, milliseconds(50), 0, 0}},
                                               {{"s", "v1", milliseconds(9), milliseconds(11)}, {"s", "", milliseconds(0)}}};
                           const auto decoded = decodeLoad(encodeLoad(message));
                           RC_ASSERT(decoded.has_value());
                           RC_ASSERT(decoded->vm == vm && decoded->sequence == sequence && decoded->isAggregate == isAggregate
                                     && decoded->revisions.upstreams == 4 && decoded->revisions.routesVersion == 5);
                           RC_ASSERT(decoded->exclusions == message.exclusions);
                           RC_ASSERT(decoded->costs.size() == 1U && decoded->costs[0].cost.streamMs == 3 && decoded->costs[0].streams == 5);
                           RC_ASSERT(decoded->limits.size() == 2U && decoded->limits[0].limit == 2.5 && decoded->limits[0].sent == sequence
                                     && decoded->limits[0].age == milliseconds(40) && decoded->limits[0].demand == 1.5);
                           RC_ASSERT(!decoded->limits[1].limit && decoded->limits[1].startedAtMs == 9);
                           RC_ASSERT(decoded->versions.size() == 2U && decoded->versions[0].version == "v1"
                                     && decoded->versions[0].age == milliseconds(9) && decoded->versions[0].knownFor == milliseconds(11)
                                     && decoded->versions[1].service == "s");
                           RC_ASSERT(decoded->loads.size() == 1U && decoded->loads[0].work.promptTokens == tokens);
                       });
    }

    auto numbersBeyondTheirBoundsAreRejected() -> void
    {
        const auto isRead = [](const char *list, const nlohmann::json &row) {
            const auto bytes = encodeLoad({"src", "vm", "place", 1, false, false, {}, {}, {}, {}, {}, {}});
            auto document = nlohmann::json::from_msgpack(bytes);
            document[list] = nlohmann::json::array({row});
            std::string changed;
            nlohmann::json::to_msgpack(document, changed);
            return decodeLoad(changed).has_value();
        };
        constexpr auto Largest = std::numeric_limits<std::uint64_t>::max();
        CPPUNIT_ASSERT(isRead("work", {"e", 10, 20, 3}) && isRead("work", {"e", 0, 0, 0}));
        CPPUNIT_ASSERT(!isRead("work", {"e", 10, 20, -3}) && !isRead("work", {"e", 10, 20, 0xffffffffU}));
        CPPUNIT_ASSERT(!isRead("work", {"e", -10, 20, 3}) && !isRead("work", {"e", Largest, 20, 3})
                       && !isRead("work", {"e", 10, Largest, 3}));
        CPPUNIT_ASSERT(isRead("costs", {"s", 1, 2, 3, 4, 5}) && !isRead("costs", {"s", 1, 2, 3, 4, Largest}));
        CPPUNIT_ASSERT(isRead("software", {"s", "v1", 5, 6}));
        CPPUNIT_ASSERT(!isRead("software", {"s", "v1", Largest, 6}) && !isRead("software", {"s", "v1", 5, Largest}));
        CPPUNIT_ASSERT(!isRead("software", {"s", "v1", -1, 6}) && !isRead("software", {"s", "v1", 5, 1e308}));
        CPPUNIT_ASSERT(!decodeLoad(std::string(8000, '\x91') + '\xc0'));
    }

    auto malformedDatagramsAreRejected() -> void
    {
        CHECK_PROPERTY("no input crashes the decoder", [](const std::string &bytes) { (void)decodeLoad(bytes); });
        CHECK_PROPERTY("a message with one changed byte is decoded or rejected", [](std::uint16_t position, char byte) {
            auto bytes = encodeLoad({"src",
                                     "vm",
                                     "place",
                                     1,
                                     false,
                                     false,
                                     {},
                                     {{"s", {1, 2, 3, 4}, 5}},
                                     {{"x", ExclusionReason::Draining, EngineRole::None, seconds(1)}},
                                     {{"e", {1, 2, 3}}},
                                     {{"l", 8, 2.5, milliseconds(40), 3, 1.5}},
                                     {{"s", "v1", milliseconds(9)}}});
            bytes[position % bytes.size()] = byte;
            (void)decodeLoad(bytes);
        });
        CPPUNIT_ASSERT(!decodeLoad(""));
    }

    auto waitingStreamsAreKnownByVmAndByPlace() -> void
    {
        const TimePoint now{seconds(10)};
        LoadTable table;
        const std::vector<UpstreamLoad> waiting = {{"service", {0, 0, 2}}};
        table.merge("vm1", 1, waiting, now);
        table.merge("vm2#1", 1, waiting, now);
        table.merge("vm3", 1, std::vector<UpstreamLoad>{{"engine", {0, 0, 1}}}, now);
        table.merge("place:a", 1, waiting, now);
        table.merge("place:a#1", 1, waiting, now);
        table.merge("place:ab", 1, waiting, now);
        CPPUNIT_ASSERT((std::vector<std::string_view>{"vm1", "vm2"} == table.localReporters("service", now)));
        CPPUNIT_ASSERT_EQUAL(4, table.requestsOfPlace("a", "service", now));
        CPPUNIT_ASSERT_EQUAL(2, table.requestsOfPlace("ab", "service", now));
        CPPUNIT_ASSERT_EQUAL(0, table.requestsOfPlace("b", "service", now));
        const auto later = now + LoadTable::ReportLifetime;
        CPPUNIT_ASSERT(table.localReporters("service", later).empty());
        CPPUNIT_ASSERT_EQUAL(0, table.requestsOfPlace("a", "service", later));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTableTest);
