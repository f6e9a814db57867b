#include "currantstack/decisions/load_table.h"

#include "currantstack/edge/load_exchange.h"

#include "check.h"

using namespace currantstack;

class LoadTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTableTest);
    CPPUNIT_TEST(sumsOwnWorkAndThatOfPeers);
    CPPUNIT_TEST(overtakenMessagesAreIgnored);
    CPPUNIT_TEST(silentPeersCountNoMore);
    CPPUNIT_TEST(ownWorkReturnsToNothing);
    CPPUNIT_TEST(messagesSurviveTheWire);
    CPPUNIT_TEST(hostileDatagramsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    auto sumsOwnWorkAndThatOfPeers() -> void
    {
        ManualClock clock;
        LoadTable table;
        table.add("e", {100, 200, 1});
        const std::vector<UpstreamWork> loads{{"e", {10, 20, 2}}, {"f", {5, 5, 1}}};
        table.hear("vm2", 1, loads, clock.now());
        CPPUNIT_ASSERT_EQUAL(3, table.total("e", clock.now()).requests);
        CPPUNIT_ASSERT_EQUAL(220.0, table.total("e", clock.now()).kvTokens);
        const auto place = table.sumOf([](std::string_view source) { return source == "vm2"; }, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), place.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.sumOf([](std::string_view) { return false; }, clock.now()).size());
    }

    auto overtakenMessagesAreIgnored() -> void
    {
        ManualClock clock;
        LoadTable table;
        const std::vector<UpstreamWork> newer{{"e", {0, 0, 5}}};
        const std::vector<UpstreamWork> older{{"e", {0, 0, 9}}};
        table.hear("vm2", 7, newer, clock.now());
        table.hear("vm2", 6, older, clock.now());
        CPPUNIT_ASSERT_EQUAL(5, table.total("e", clock.now()).requests);
    }

    auto silentPeersCountNoMore() -> void
    {
        ManualClock clock;
        LoadTable table;
        const std::vector<UpstreamWork> loads{{"e", {0, 0, 5}}};
        table.hear("vm2", 7, loads, clock.now());
        clock.advance(LoadTable::PeerLife);
        CPPUNIT_ASSERT_EQUAL(0, table.total("e", clock.now()).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.peers(clock.now()));
        // A VM that was restarted with a clock behind is heard again after its silence.
        table.hear("vm2", 1, loads, clock.now());
        CPPUNIT_ASSERT_EQUAL(5, table.total("e", clock.now()).requests);
    }

    auto ownWorkReturnsToNothing() -> void
    {
        CHECK_PROPERTY("what is added and removed leaves nothing", [](const std::vector<std::uint8_t> &sizes) {
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

    auto messagesSurviveTheWire() -> void
    {
        CHECK_PROPERTY("a message is read as it was written",
                       [](const std::string &vm, std::uint32_t sequence, bool isAggregate, std::uint16_t tokens) {
                           LoadMessage message{"src",
                                               vm,
                                               "place",
                                               sequence,
                                               isAggregate,
                                               !isAggregate,
                                               {3, 4},
                                               {{"s", {1, 2, 3, 4}, 5}},
                                               {{"x", AvoidReason::ChangesRole, EngineRole::Decode, milliseconds(70)},
                                                {"y", AvoidReason::Outdated, EngineRole::None, milliseconds(5)},
                                                {"z", AvoidReason::Leaving, EngineRole::None, milliseconds(6)}},
                                               {{"e", {double(tokens), 7, 2}}}};
                           const auto read = decodeLoad(encodeLoad(message));
                           RC_ASSERT(read.has_value());
                           RC_ASSERT(read->vm == vm && read->sequence == sequence && read->isAggregate == isAggregate
                                     && read->revisions.upstreams == 4);
                           RC_ASSERT(read->exclusions == message.exclusions);
                           RC_ASSERT(read->costs.size() == 1U && read->costs[0].cost.streamMs == 3 && read->costs[0].streams == 5);
                           RC_ASSERT(read->loads.size() == 1U && read->loads[0].work.promptTokens == tokens);
                       });
    }

    auto hostileDatagramsAreRefused() -> void
    {
        CHECK_PROPERTY("no bytes crash the reader", [](const std::string &bytes) { (void)decodeLoad(bytes); });
        CHECK_PROPERTY("a message with one byte changed is read or refused", [](std::uint16_t position, char byte) {
            auto bytes = encodeLoad({"src",
                                     "vm",
                                     "place",
                                     1,
                                     false,
                                     false,
                                     {},
                                     {{"s", {1, 2, 3, 4}, 5}},
                                     {{"x", AvoidReason::Leaving, EngineRole::None, seconds(1)}},
                                     {{"e", {1, 2, 3}}}});
            bytes[position % bytes.size()] = byte;
            (void)decodeLoad(bytes);
        });
        CPPUNIT_ASSERT(!decodeLoad(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTableTest);
