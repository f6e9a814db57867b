#include "currantstack/decisions/peer_table.h"

#include "check.h"

#include <fmt/format.h>

using namespace currantstack;

class PeerTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerTableTest);
    CPPUNIT_TEST(smallFleetsReportToAllVms);
    CPPUNIT_TEST(largeFleetsReportToTheirPlace);
    CPPUNIT_TEST(messagesDoNotGrowWithTheSquareOfTheFleet);
    CPPUNIT_TEST(peersThatWereOnlyListedAreNotHeard);
    CPPUNIT_TEST(oneVmThatIsHeardIsNotMostOfTheFleet);
    CPPUNIT_TEST(aPlaceThatIsCutOffDoesNotHearMostOfTheFleet);
    CPPUNIT_TEST(eachPlaceHasOneAggregator);
    CPPUNIT_TEST(holdersAreFoundByVmsWithOtherPeers);
    CPPUNIT_TEST(reportingVmsExpire);
    CPPUNIT_TEST(dropsVmsNeitherListedNorReporting);
    CPPUNIT_TEST(vmsOfOtherPlacesAreWitnessesIfTheyReport);
    CPPUNIT_TEST(aFleetHasAProtocolIfAllItsVmsHaveIt);
    CPPUNIT_TEST(aFewVmsHoldEachKey);
    CPPUNIT_TEST_SUITE_END();

    static auto vmName(int number) -> std::string
    {
        return fmt::format("vm{:04}", number);
    }

    static auto placeOf(int number, int places) -> std::string
    {
        return fmt::format("place{}", number % places);
    }

    /// Returns the table of VM 0, in which all VMs are listed and those of its own place have reported.
    static auto fleet(int vms, int places, TimePoint now) -> PeerTable
    {
        PeerTable table(vmName(0), placeOf(0, places));
        for (int vm = 0; vm < vms; ++vm) {
            const SocketAddress address{"10.0.0.1", static_cast<std::uint16_t>(1000 + vm)};
            table.mergeListed(vmName(vm), placeOf(vm, places), address, now);
            if (placeOf(vm, places) == placeOf(0, places)) {
                table.merge(vmName(vm), placeOf(vm, places), address, now);
            }
        }
        return table;
    }

public:
    auto smallFleetsReportToAllVms() -> void
    {
        ManualClock clock;
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), fleet(7, 3, clock.now()).reportTargets().size());
    }

    auto largeFleetsReportToTheirPlace() -> void
    {
        ManualClock clock;
        const auto table = fleet(90, 6, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(14), table.reportTargets().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), table.relayTargets(3).size());
    }

    auto messagesDoNotGrowWithTheSquareOfTheFleet() -> void
    {
        ManualClock clock;
        // Datagrams that one VM sends per round, at the design size of 390 VMs in 16 places.
        const auto table = fleet(390, 16, clock.now());
        const auto perRound = table.reportTargets().size() + table.relayTargets(0).size();
        CPPUNIT_ASSERT(perRound <= 390 / 16 + 16);
    }

    auto holdersAreFoundByVmsWithOtherPeers() -> void
    {
        constexpr std::size_t Copies = 3;
        constexpr std::size_t Asked = 5;
        ManualClock clock;
        const auto teller = fleet(40, 4, clock.now());
        PeerTable asker(vmName(7), placeOf(7, 4));
        for (int vm = 0; vm < 41; ++vm) { // knows a VM that has just joined
            asker.mergeListed(vmName(vm), placeOf(vm, 4), {"10.0.0.1", static_cast<std::uint16_t>(1000 + vm)}, clock.now());
        }
        std::map<std::string, int> told;
        for (std::uint64_t key = 0; key < 2000; ++key) {
            const auto asked = asker.holders(key, Asked);
            for (const auto &holder : teller.holders(key, Copies)) {
                ++told[holder.text()];
                CPPUNIT_ASSERT(holder.port == 1007 || std::find(asked.begin(), asked.end(), holder) != asked.end());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(39), told.size());
        for (const auto &[holder, count] : told) {
            CPPUNIT_ASSERT_MESSAGE(holder, count > 100 && count < 220); // 154 on average
        }
        CPPUNIT_ASSERT_MESSAGE("VMs that were only listed are not heard", teller.mostHeardAt(clock.now()) == TimePoint());
    }

    auto peersThatWereOnlyListedAreNotHeard() -> void
    {
        ManualClock clock;
        PeerTable table("vm0", "p");
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == clock.now());
        table.mergeListed("vm1", "p", {"10.0.0.1", 1}, clock.now());
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == TimePoint());
        clock.advance(PeerTable::ReportLifetime);
        table.mergeListed("vm1", "p", {"10.0.0.1", 1}, clock.now());
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == TimePoint());
        table.merge("vm1", "p", {"10.0.0.1", 1}, clock.now());
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == clock.now());
    }

    auto oneVmThatIsHeardIsNotMostOfTheFleet() -> void
    {
        ManualClock clock;
        auto table = fleet(7, 1, clock.now());
        const auto begin = clock.now();
        clock.advance(seconds(3));
        for (int vm = 1; vm <= 3; ++vm) {
            CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == begin);
            table.merge(vmName(vm), placeOf(vm, 1), {"10.0.0.1", 1}, clock.now());
        }
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == clock.now());
        PeerTable alone("vm0", "p");
        CPPUNIT_ASSERT(alone.mostHeardAt(clock.now()) == clock.now());
    }

    auto aPlaceThatIsCutOffDoesNotHearMostOfTheFleet() -> void
    {
        ManualClock clock;
        auto table = fleet(90, 3, clock.now());
        clock.advance(seconds(3));
        for (int vm = 0; vm < 90; vm += 3) {
            table.merge(vmName(vm), placeOf(vm, 3), {"10.0.0.1", 1}, clock.now());
        }
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == TimePoint());
        table.setPlaceCutOff(placeOf(1, 3), {}, clock.now());
        CPPUNIT_ASSERT(table.mostHeardAt(clock.now()) == clock.now());
    }

    auto eachPlaceHasOneAggregator() -> void
    {
        ManualClock clock;
        PeerTable second("vm0002", "p");
        second.merge("vm0001", "p", {"10.0.0.1", 1}, clock.now());
        second.merge("vm0000", "q", {"10.0.0.1", 2}, clock.now());
        CPPUNIT_ASSERT(!second.isAggregator(clock.now()));
        clock.advance(PeerTable::ReportLifetime);
        CPPUNIT_ASSERT(second.isAggregator(clock.now()));
    }

    auto reportingVmsExpire() -> void
    {
        ManualClock clock;
        const auto table = fleet(90, 6, clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(90), table.reportingVms(clock.now()));
        clock.advance(PeerTable::ReportLifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.reportingVms(clock.now()));
    }

    auto dropsVmsNeitherListedNorReporting() -> void
    {
        ManualClock clock;
        PeerTable table("vm0", "p");
        CPPUNIT_ASSERT(table.merge("reporting", "p", {"10.0.0.1", 1}, clock.now()));
        CPPUNIT_ASSERT(!table.merge("reporting", "p", {"10.0.0.1", 1}, clock.now()));
        table.mergeListed("listed", "p", {"10.0.0.1", 2}, clock.now());
        table.mergeListed("vm0", "p", {"10.0.0.1", 3}, clock.now());
        clock.advance(PeerTable::UnlistedLifetime + milliseconds(1));
        table.expire(clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.size());
        clock.advance(PeerTable::ListedLifetime);
        table.expire(clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.size());
    }

    auto vmsOfOtherPlacesAreWitnessesIfTheyReport() -> void
    {
        ManualClock clock;
        clock.advance(seconds(100));
        PeerTable table("a", "z1");
        table.merge("b", "z1", {"10.0.0.2", 1}, clock.now());
        CPPUNIT_ASSERT(!table.isWitness("b", clock.now())); // it may be of a build that repeats notices
        table.setProtocol("b", PeerProtocol{PeerTable::VerifyingProtocol, true}, clock.now());
        CPPUNIT_ASSERT(table.isWitness("b", clock.now()));
        table.merge("c", "z2", {"10.0.0.3", 1}, clock.now());
        table.setProtocol("c", PeerProtocol{PeerTable::VerifyingProtocol, true}, clock.now());
        CPPUNIT_ASSERT(table.isWitness("c", clock.now()) && !table.isWitness("b", clock.now()));
        clock.advance(PeerTable::ReportLifetime);
        table.merge("b", "z1", {"10.0.0.2", 1}, clock.now());
        CPPUNIT_ASSERT(table.isWitness("b", clock.now())); // no VM of another place reports any more
    }

    auto aFleetHasAProtocolIfAllItsVmsHaveIt() -> void
    {
        PeerTable table("vm0", "z1");
        CPPUNIT_ASSERT(table.allHaveProtocol(3));
        table.mergeListed("vm1", "z1", {"10.0.0.1", 7000}, TimePoint(seconds(100)), {3, true});
        CPPUNIT_ASSERT(table.allHaveProtocol(3));
        table.mergeListed("vm2", "z1", {"10.0.0.2", 7000}, TimePoint(seconds(100)), {2, true});
        CPPUNIT_ASSERT(!table.allHaveProtocol(3) && table.allHaveProtocol(2));
    }

    auto aFewVmsHoldEachKey() -> void
    {
        constexpr int Vms = 40;
        const TimePoint now(seconds(1));
        for (std::uint64_t key = 0; key < 20; ++key) {
            int holders = 0;
            for (int self = 0; self < Vms; ++self) {
                PeerTable table(fmt::format("vm{}", self), "z1");
                for (int other = 0; other < Vms; ++other) {
                    if (other != self) {
                        table.merge(fmt::format("vm{}", other), "z1", {"10.0.0.1", 7000}, now);
                    }
                }
                holders += table.isHolder(key, 3, now) ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(3, holders);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);
