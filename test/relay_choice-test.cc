#include "currantstack/decisions/relay_choice.h"

#include "check.h"
#include "currantstack/decisions/peer_table.h"
#include "currantstack/edge/relay_message.h"

using namespace currantstack;

class RelayChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayChoiceTest);
    CPPUNIT_TEST(nearVmsTakeRequestsUntilTheyHaveMoreToDo);
    CPPUNIT_TEST(vmsThatReportGoFirst);
    CPPUNIT_TEST(triedVmsAreLeftOut);
    CPPUNIT_TEST(cutOffAndSilentVmsAreNoCandidates);
    CPPUNIT_TEST(vmsOfACutOffPlaceAreNoCandidatesInALargeFleet);
    CPPUNIT_TEST(aPlaceIsCutOffIfMostOfItsVmsAre);
    CPPUNIT_TEST(vmsThatSayTheyTakeRequestsGoFirst);
    CPPUNIT_TEST(vmsThatTakeNoRequestsAreNoCandidates);
    CPPUNIT_TEST(aRefusalExcludesAVmOfUnknownBuildForAWhile);
    CPPUNIT_TEST(theListTellsTheProtocolOfVmsThatDoNotReport);
    CPPUNIT_TEST(aVmThatNoLongerReportsItsProtocolIsOfAnOlderBuild);
    CPPUNIT_TEST(relayStateRoundTrips);
    CPPUNIT_TEST(event0IsNotTakenForNone);
    CPPUNIT_TEST(malformedRelayStateIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto nearVmsTakeRequestsUntilTheyHaveMoreToDo() -> void
    {
        std::vector<RelayCandidate> candidates{{"near", {}, Distance::SamePlace, true, 0}, {"far", {}, Distance::OtherRegion, true, 0}};
        CPPUNIT_ASSERT_EQUAL(std::string("near"), chooseRelay(candidates, {}, m_random)->vm);
        candidates[0].inFlight = 100;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), chooseRelay(candidates, {}, m_random)->vm);
    }

    auto vmsThatReportGoFirst() -> void
    {
        const std::vector<RelayCandidate> candidates{{"quiet", {}, Distance::SamePlace, false, 0},
                                                     {"heard", {}, Distance::OtherRegion, true, 50}};
        CPPUNIT_ASSERT_EQUAL(std::string("heard"), chooseRelay(candidates, {}, m_random)->vm);
    }

    auto triedVmsAreLeftOut() -> void
    {
        const std::vector<RelayCandidate> candidates{{"a", {}, Distance::SamePlace, true, 0}, {"b", {}, Distance::SamePlace, true, 0}};
        const std::vector<std::string> one{"a"};
        const std::vector<std::string> both{"a", "b"};
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chooseRelay(candidates, one, m_random)->vm);
        CPPUNIT_ASSERT(chooseRelay(candidates, both, m_random) == nullptr);
    }

    auto cutOffAndSilentVmsAreNoCandidates() -> void
    {
        PeerTable table("vm0", "z1");
        for (const auto *vm : {"vm1", "vm2", "vm3"}) {
            table.merge(vm, "z1", {"10.0.0.1", 7000}, m_clock.now());
        }
        table.setCutOff("vm1", {"llm"});
        m_clock.advance(PeerTable::ReportLifetime);
        table.merge("vm1", "z1", {"10.0.0.1", 7000}, m_clock.now());
        table.merge("vm2", "z1", {"10.0.0.2", 7000}, m_clock.now());
        const auto candidates = table.relayCandidates("llm", {}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidates.size());
        CPPUNIT_ASSERT_EQUAL(std::string("vm2"), candidates.front().vm);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.relayCandidates("booking", {}, m_clock.now()).size());
        CPPUNIT_ASSERT(table.hasAddress("10.0.0.2") && !table.hasAddress("10.0.0.9"));
    }

    auto vmsOfACutOffPlaceAreNoCandidatesInALargeFleet() -> void
    {
        PeerTable table("vm0", "z1");
        for (std::size_t number = 1; number <= PeerTable::SmallFleet; ++number) {
            table.mergeListed(fmt::format("vm{}", number), number % 2 == 0 ? "z2" : "z3", {"10.0.0.1", 7000}, m_clock.now());
        }
        CPPUNIT_ASSERT_EQUAL(PeerTable::SmallFleet, table.relayCandidates("llm", {}, m_clock.now()).size());
        table.setPlaceCutOff("z2", {"llm"}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(PeerTable::SmallFleet / 2, table.relayCandidates("llm", {}, m_clock.now()).size());
        m_clock.advance(PeerTable::ReportLifetime);
        CPPUNIT_ASSERT_EQUAL(PeerTable::SmallFleet, table.relayCandidates("llm", {}, m_clock.now()).size());
    }

    auto aPlaceIsCutOffIfMostOfItsVmsAre() -> void
    {
        PeerTable table("vm0", "z1");
        for (const auto *vm : {"vm1", "vm2"}) {
            table.merge(vm, "z1", {"10.0.0.1", 7000}, m_clock.now());
        }
        const std::vector<std::string> own{"llm"};
        CPPUNIT_ASSERT(table.placeCutOff(own, m_clock.now()).empty());
        table.setCutOff("vm1", {"llm", "booking"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.placeCutOff(own, m_clock.now()).size());
        table.setCutOff("vm2", {"booking"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.placeCutOff(own, m_clock.now()).size());
    }

    auto vmsThatSayTheyTakeRequestsGoFirst() -> void
    {
        const std::vector<RelayCandidate> candidates{{"unknown", {}, Distance::SamePlace, true, 0, false},
                                                     {"says so", {}, Distance::OtherRegion, true, 50, true}};
        CPPUNIT_ASSERT_EQUAL(std::string("says so"), chooseRelay(candidates, {}, m_random)->vm);
        const std::vector<std::string> tried{"says so"};
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), chooseRelay(candidates, tried, m_random)->vm);
    }

    auto vmsThatTakeNoRequestsAreNoCandidates() -> void
    {
        auto table = twoPeers();
        table.setProtocol("vm1", PeerProtocol{ProtocolNumber, false}, m_clock.now());
        table.setProtocol("vm2", PeerProtocol{ProtocolNumber + 1, true}, m_clock.now());
        const auto candidates = table.relayCandidates("llm", {}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidates.size());
        CPPUNIT_ASSERT(candidates.front().vm == "vm2" && candidates.front().takesRelays);
        const auto counts = table.countByProtocol();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), counts.at(ProtocolNumber));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), counts.at(ProtocolNumber + 1));
    }

    auto aRefusalExcludesAVmOfUnknownBuildForAWhile() -> void
    {
        auto table = twoPeers();
        table.setProtocol("vm2", PeerProtocol{ProtocolNumber, true}, m_clock.now());
        table.onRelayConnectionRefused("vm1", m_clock.now());
        table.onRelayConnectionRefused("vm2", m_clock.now());
        const auto candidates = table.relayCandidates("llm", {}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidates.size());
        CPPUNIT_ASSERT_EQUAL(std::string("vm2"), candidates.front().vm);
        m_clock.advance(PeerTable::RefusalLifetime);
        table.merge("vm1", "z1", {"10.0.0.1", 7000}, m_clock.now());
        table.merge("vm2", "z1", {"10.0.0.2", 7000}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), table.relayCandidates("llm", {}, m_clock.now()).size());
    }

    auto theListTellsTheProtocolOfVmsThatDoNotReport() -> void
    {
        auto table = twoPeers();
        table.setProtocol("vm1", PeerProtocol{ProtocolNumber, true}, m_clock.now());
        const auto list = [&table, this](const PeerProtocol &protocol) {
            table.mergeListed("vm1", "z1", {"10.0.0.1", 7000}, m_clock.now(), protocol);
        };
        list({});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.countByProtocol().at(ProtocolNumber));
        m_clock.advance(PeerTable::ReportLifetime);
        list({ProtocolNumber + 1, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.countByProtocol().at(ProtocolNumber + 1));
    }

    auto aVmThatNoLongerReportsItsProtocolIsOfAnOlderBuild() -> void
    {
        auto table = twoPeers();
        const PeerProtocol own{ProtocolNumber, true};
        CPPUNIT_ASSERT(!table.setProtocol("vm1", {}, m_clock.now()));
        CPPUNIT_ASSERT(table.setProtocol("vm1", own, m_clock.now()) == own);
        CPPUNIT_ASSERT(table.setProtocol("vm1", {}, m_clock.now()) == own);
        m_clock.advance(PeerTable::ProtocolLifetime);
        CPPUNIT_ASSERT(table.setProtocol("vm1", {}, m_clock.now()) == PeerProtocol{});
        CPPUNIT_ASSERT(table.setProtocol("vm2", {}, m_clock.now()) == PeerProtocol{});
    }

    auto relayStateRoundTrips() -> void
    {
        const RelayInfo info{"vm0", milliseconds(250), 2, true, 17, 9, "first\r\nattempt", "llm", milliseconds(800), true, {3, 1, true}};
        const auto text = encodeRelay(info);
        CPPUNIT_ASSERT(text.find_first_of("\r\n") == std::string::npos);
        const auto decoded = decodeRelay(text);
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT_EQUAL(info.vm, decoded->vm);
        CPPUNIT_ASSERT(decoded->age == info.age);
        CPPUNIT_ASSERT_EQUAL(2, decoded->sends);
        CPPUNIT_ASSERT(decoded->counted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(17), decoded->routesVersion);
        CPPUNIT_ASSERT(decoded->lastEventId == 9);
        CPPUNIT_ASSERT_EQUAL(info.firstAttemptId, decoded->firstAttemptId);
        CPPUNIT_ASSERT_EQUAL(info.service, decoded->service);
        CPPUNIT_ASSERT(decoded->timeLeft == info.timeLeft);
        CPPUNIT_ASSERT(decoded->mayHaveEnded && !decodeRelay(encodeRelay({"vm0"}))->mayHaveEnded);
        CPPUNIT_ASSERT_MESSAGE("a build that does not say it", !decodeRelay(encodeRelay({"vm0"}))->timeLeft);
        CPPUNIT_ASSERT(decoded->calls == info.calls && decodeRelay(encodeRelay({"vm0"}))->calls == CountedCalls());
        CPPUNIT_ASSERT(decodeRelayCalls(encodeRelayCalls(info.calls)) == info.calls);
        CPPUNIT_ASSERT(!decodeRelayCalls("1") && !decodeRelayCalls(R"({"calls":-1})"));
    }

    // A caller that has event 0 gets it twice.
    auto event0IsNotTakenForNone() -> void
    {
        RelayInfo info{"vm0"};
        CPPUNIT_ASSERT(!decodeRelay(encodeRelay(info))->lastEventId);
        for (const std::int64_t id : {0, 1, 9}) {
            info.lastEventId = id;
            CPPUNIT_ASSERT(decodeRelay(encodeRelay(info))->lastEventId == id);
        }
        info.lastEventId = -1;
        CPPUNIT_ASSERT_MESSAGE("builds without `has_events` reject a negative number", decodeRelay(encodeRelay(info))->lastEventId == 0);
    }

    auto malformedRelayStateIsRejected() -> void
    {
        for (const auto *text : {"", "{}", "[]", "{\"vm\":1}",
                                 "{\"vm\":\"a\",\"age_ms\":-1,\"sends\":0,\"counted\":true,\"routes\":1,\"after\":0,\"first\":\"\"}"}) {
            CPPUNIT_ASSERT(!decodeRelay(text));
        }
    }

private:
    auto twoPeers() const -> PeerTable
    {
        PeerTable table("vm0", "z1");
        table.merge("vm1", "z1", {"10.0.0.1", 7000}, m_clock.now());
        table.merge("vm2", "z1", {"10.0.0.2", 7000}, m_clock.now());
        return table;
    }

    ManualClock m_clock;
    Random m_random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayChoiceTest);
