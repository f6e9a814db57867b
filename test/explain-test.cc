#include "currantstack/edge/explain.h"

#include "check.h"

#include <sstream>

using namespace currantstack;

class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(timelineIsOrderedAndIncludesRelatedEvents);
    CPPUNIT_TEST(quarantineNamesItsObservations);
    CPPUNIT_TEST(refusalNamesTheLimitsOfUpstreams);
    CPPUNIT_TEST(continuedStreamsNameTheirSoftwareVersion);
    CPPUNIT_TEST(forwardedRequestsAreJoinedOverTheirVms);
    CPPUNIT_TEST(streamsThatEndInVainNameTheEvidence);
    CPPUNIT_TEST(malformedLinesAreSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    auto timelineIsOrderedAndIncludesRelatedEvents() -> void
    {
        std::istringstream lines(
            R"({"time_ms":1300,"vm":"vm1","part":"forward","event":"request_given_up","request":"r1","status":502,"reason":"reset","sends":1,"age_ms":300.0,"retry_after_ms":0.0,"routes_version":7}
{"time_ms":1000,"vm":"vm1","part":"forward","event":"service_chosen","request":"r1","upstream":"i-1","under_way":2,"health":1.0,"candidates":3,"send":1}
{"time_ms":1200,"vm":"vm1","part":"directory","event":"upstream_changed","upstream":"i-1","change":"gone"}
{"time_ms":1200,"vm":"vm1","part":"directory","event":"upstream_changed","upstream":"i-9","change":"gone"}
{"time_ms":1200,"vm":"vm2","part":"directory","event":"upstream_changed","upstream":"i-1","change":"gone"}
{"time_ms":1100,"vm":"vm1","part":"forward","event":"caller_gone","request":"r2"}
)");
        const auto timeline = explainRequest(lines, "r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), timeline.size());
        CPPUNIT_ASSERT(timeline[0].find("sent to i-1") != std::string::npos);
        CPPUNIT_ASSERT(timeline[1].find("meanwhile: upstream_changed") != std::string::npos);
        CPPUNIT_ASSERT(timeline[2].find("+300 ms vm1: given up after 300 ms with status 502: reset") != std::string::npos);
    }

    auto quarantineNamesItsObservations() -> void
    {
        std::istringstream lines(
            R"({"time_ms":1000,"vm":"vm1","part":"quarantine","event":"request_quarantined","request":"r1","fingerprint":"0a","traits":["0a"],"crashed":["i-1@5","i-2@6"],"observer":"vm2","crash_age_ms":250.2,"remaining_ms":5000.0}
)");
        const auto timeline = explainRequest(lines, "r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), timeline.size());
        CPPUNIT_ASSERT(timeline[0].find("quarantined for another 5000 ms: i-1@5, i-2@6 crashed") != std::string::npos);
        CPPUNIT_ASSERT(timeline[0].find("last crash reported by vm2 250 ms before") != std::string::npos);
    }

    auto refusalNamesTheLimitsOfUpstreams() -> void
    {
        std::istringstream lines(
            R"({"time_ms":1000,"vm":"vm1","part":"limits","event":"request_limited","request":"r1","service":"s","limits":{"i-1":2.5,"i-2":4.0},"limited_upstreams":2,"retry_after_ms":730.2}
)");
        const auto timeline = explainRequest(lines, "r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), timeline.size());
        CPPUNIT_ASSERT(timeline[0].find("i-1 takes 2.5 requests a second, i-2 takes 4.0 requests a second") != std::string::npos);
        CPPUNIT_ASSERT(timeline[0].find("may come back after 730 ms") != std::string::npos);
    }

    auto continuedStreamsNameTheirSoftwareVersion() -> void
    {
        std::istringstream lines(
            R"({"time_ms":1000,"vm":"vm1","event":"caller_continues","request":"r2","first_attempt":"r1","after_event":7,"continues":"at_its_version","software_version":"v1","engines_of_version":3,"known_from":"peer","known_for_ms":120.4}
{"time_ms":1001,"vm":"vm1","event":"caller_continues","request":"r2","first_attempt":"r1","after_event":7,"continues":"nowhere","software_version":"","engines_of_version":3,"known_from":"nobody","known_for_ms":0.0}
{"time_ms":1002,"vm":"vm1","event":"stream_not_resumable","request":"r2","software_version":"v1","version_certain":true,"engines_of_version":2,"after_event":9}
{"time_ms":1003,"vm":"vm1","event":"stream_not_resumable","request":"r2","software_version":"v1","version_certain":false,"engines_of_version":2,"after_event":9}
)");
        const auto timeline = explainRequest(lines, "r2");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), timeline.size());
        CPPUNIT_ASSERT(timeline[0].find("attempt r1 after event 7: software version v1 began it, known from peer for 120 ms; 3 engines")
                       != std::string::npos);
        CPPUNIT_ASSERT(timeline[1].find("no VM that was asked knows the software version that began it; 0 engines") != std::string::npos);
        CPPUNIT_ASSERT(timeline[2].find("none of the 2 engines of software version v1 has capacity") != std::string::npos);
        CPPUNIT_ASSERT(timeline[3].find("another software version under the same id") != std::string::npos);
    }

    auto forwardedRequestsAreJoinedOverTheirVms() -> void
    {
        std::istringstream lines(
            R"({"time_ms":900,"vm":"vm1","part":"links","event":"upstreams_cut_off","service":"llm","role":"decode","upstreams":3,"of":4}
{"time_ms":1000,"vm":"vm1","part":"relay","event":"request_relayed","request":"r1","to":"vm2","reason":"cut off","candidates":2,"in_flight":1}
{"time_ms":1005,"vm":"vm2","part":"forward","event":"service_chosen","request":"r1","upstream":"i-1","under_way":2,"health":1.0,"candidates":3,"send":1}
{"time_ms":1060,"vm":"vm1","part":"relay","event":"request_answered","request":"r1","through":"vm2","status":200,"age_ms":60.0}
)");
        const auto timeline = explainRequest(lines, "r1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), timeline.size());
        CPPUNIT_ASSERT(timeline[0].find("meanwhile: upstreams_cut_off") != std::string::npos);
        CPPUNIT_ASSERT(timeline[1].find("vm1: forwarded through vm2 (2 VMs could take it, 1 requests there): cut off")
                       != std::string::npos);
        CPPUNIT_ASSERT(timeline[2].find("vm2: sent to i-1") != std::string::npos);
        CPPUNIT_ASSERT(timeline[3].find("answered through vm2 with status 200 after 60 ms") != std::string::npos);
    }

    auto streamsThatEndInVainNameTheEvidence() -> void
    {
        std::istringstream lines(
            R"({"time_ms":1000,"vm":"vm1","event":"stream_ends_in_vain","request":"r1","engine":"i-1","entry":"removed","reason":"removed","unanswered":2,"silent_ms":2400.2}
)");
        const auto timeline = explainRequest(lines, "r1");
        CPPUNIT_ASSERT(timeline.front().find("after 2400 ms without an event: removed (directory entry of i-1 removed, 2 calls unanswered)")
                       != std::string::npos);
    }

    auto malformedLinesAreSkipped() -> void
    {
        CHECK_PROPERTY("malformed lines are skipped without a crash", [](const std::string &text) {
            std::istringstream lines(text + "\n{\"time_ms\":1}\n{\"time_ms\":\"x\",\"event\":1,\"request\":\"r1\"}\n[1]\n");
            RC_ASSERT(explainRequest(lines, "r1").empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);
