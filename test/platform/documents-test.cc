#include "documents.h"

#include "../check.h"

using namespace currantstack;
using namespace currantstack::platform;

class PlatformDocumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
    CPPUNIT_TEST(readsTheConfiguration);
    CPPUNIT_TEST(readsAnUpstreamEntry);
    CPPUNIT_TEST(rejectsMalformedEntries);
    CPPUNIT_TEST(arbitraryBytesAreReadOrRejected);
    CPPUNIT_TEST(vmRecordsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    PlatformCodec m_codec;

    static auto entry() -> Json
    {
        return {{"service", "s"}, {"address", "10.1.2.3:80"}, {"zone", "z"},       {"version", "v1"},      {"slots", 6}, {"state", "ready"},
                {"seq", 4},       {"cold_left_ms", 0},        {"phase", "decode"}, {"born", 1700000000000}};
    }

public:
    auto readsTheConfiguration() -> void
    {
        const Json document = {
            {"version", 7},
            {"routes",
             {{{"name", "r1"},
               {"host", "h"},
               {"prefix", "/a/"},
               {"type", "streaming"},
               {"timeout_ms", 14000},
               {"latency_goal_ms", 900},
               {"priority", 1},
               {"service", "s"},
               {"attempts", 2},
               {"can_resume", true},
               {"gap_aim_ms", 300},
               {"a new field", 1}},
              {{"name", "r2"},
               {"host", "h"},
               {"prefix", "/b/"},
               {"type", "unsafe"},
               {"timeout_ms", 1000},
               {"backends", {{{"service", "s"}, {"weight", 90}}, {{"service", "t"}, {"weight", 10}}}}}}},
            {"services",
             {{{"name", "s"},
               {"max_conns", 360},
               {"engine", {{"slots", 64}, {"kv_tokens", 33770}, {"stride", 12}, {"kv_hold_s", 0.5}, {"hold_ms", 2000.0}}}},
              {{"name", "t"}}}},
            {"limits", {{"max_body_bytes", 100}, {"idle_timeout_ms", 15000}}}};
        const auto table = m_codec.decodeRoutes({"op/config", document.dump(), 3});
        CPPUNIT_ASSERT_MESSAGE(table ? "" : describe(table.error()), table.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), table->version);
        CPPUNIT_ASSERT(table->routes[0].kind == RouteKind::Stream && table->routes[0].resumable);
        CPPUNIT_ASSERT(table->routes[0].latencyGoal == milliseconds(900));
        CPPUNIT_ASSERT(table->routes[1].kind == RouteKind::AtMostOnce);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table->routes[1].targets.size());
        CPPUNIT_ASSERT(table->service("s")->engine->handleLifetime == milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), table->service("s")->engine->tokensPerEvent);
        CPPUNIT_ASSERT(!table->service("t")->engine);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), table->limits.maxBody);
        CPPUNIT_ASSERT(m_codec.isRoutes("op/config") && !m_codec.isRoutes("op/other"));
    }

    auto readsAnUpstreamEntry() -> void
    {
        const auto upstream = m_codec.decodeUpstream({"servers/i-1", entry().dump(), 9});
        CPPUNIT_ASSERT(upstream.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), upstream->id);
        CPPUNIT_ASSERT(upstream->role == EngineRole::Decode);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1700000000000), upstream->startedAtMs);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), upstream->softwareVersion);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), upstream->revision);
        auto plain = entry();
        plain.erase("phase");
        plain["state"] = "draining";
        const auto service = m_codec.decodeUpstream({"servers/i-2", plain.dump(), 9});
        CPPUNIT_ASSERT(service && service->role == EngineRole::None && service->draining);
    }

    auto rejectsMalformedEntries() -> void
    {
        const auto isRejected = [this](const std::function<void(Json &)> &change) {
            auto document = entry();
            change(document);
            return !m_codec.decodeUpstream({"servers/i-1", document.dump(), 1}).has_value();
        };
        CPPUNIT_ASSERT(isRejected([](Json &document) { document.erase("service"); }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["address"] = 7; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["address"] = "host:80"; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["address"] = "10.0.0.1"; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["state"] = "sleeping"; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["slots"] = "six"; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["phase"] = "other"; }));
        CPPUNIT_ASSERT(isRejected([](Json &document) { document["born"] = 1.5; }));
        CPPUNIT_ASSERT(!m_codec.decodeUpstream({"servers/i-1", "\xff{", 1}));
        CPPUNIT_ASSERT(!m_codec.decodeUpstream({"servers/i-1", "", 1}));
    }

    auto arbitraryBytesAreReadOrRejected() -> void
    {
        CHECK_PROPERTY("no input crashes the readers", [this](const std::string &bytes) {
            (void)m_codec.decodeUpstream({"servers/x", bytes, 1});
            (void)m_codec.decodeRoutes({"op/config", bytes, 1});
            (void)m_codec.decodeVm({"currantstack/vms/x", bytes, 1});
        });
        CHECK_PROPERTY("an entry with one changed byte is read or rejected", [this](std::uint16_t position, char byte) {
            auto bytes = entry().dump();
            bytes[position % bytes.size()] = byte;
            (void)m_codec.decodeUpstream({"servers/x", bytes, 1});
        });
    }

    auto vmRecordsRoundTrip() -> void
    {
        const VmRecord record{"vm1", "z", {"10.0.0.9", 7380}};
        const auto read = m_codec.decodeVm({m_codec.vmsPrefix() + "vm1", m_codec.encodeVm(record), 1});
        CPPUNIT_ASSERT(read && read->name == "vm1" && read->place == "z" && read->peerAddress == record.peerAddress);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);
