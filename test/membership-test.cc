#include "currantstack/membership.h"

#include "check.h"

using namespace currantstack;

namespace
{

const TimePoint Start{seconds(1000)};

auto makeVm(const std::string &name, std::int64_t incarnation = 1, std::int64_t heartbeat = 0) -> Vm
{
    Vm vm;
    vm.name = name;
    vm.address = "127.0.0.1:1";
    vm.place = "amman";
    vm.region = "jordan";
    vm.startedAtMs = incarnation;
    vm.incarnation = incarnation;
    vm.heartbeat = heartbeat;
    return vm;
}

auto makeMembership() -> Membership
{
    return {makeVm("self"), milliseconds(1500), milliseconds(3000)};
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(suspectsThenDeclaresDead);
    CPPUNIT_TEST(staleHeartbeatDoesNotReviveDeadVm);
    CPPUNIT_TEST(detectsThatPeersDeclareItDead);
    CPPUNIT_TEST(partialEntriesUpdateKnownVmsOnly);
    CPPUNIT_TEST(refusedProbesShortenTimeouts);
    CPPUNIT_TEST(drainingVmOwnsNothing);
    CPPUNIT_TEST(membershipConverges);
    CPPUNIT_TEST_SUITE_END();

public:
    auto suspectsThenDeclaresDead() -> void
    {
        auto membership = makeMembership();
        membership.merge(std::vector{makeVm("a", 1, 1)}, Start);
        membership.tick(Start + milliseconds(1000));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Alive);
        membership.tick(Start + milliseconds(1600));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Suspected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, membership.live().size());
        membership.tick(Start + milliseconds(3100));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Dead);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.live().size());
    }

    auto staleHeartbeatDoesNotReviveDeadVm() -> void
    {
        auto membership = makeMembership();
        membership.merge(std::vector{makeVm("a", 1, 5)}, Start);
        membership.tick(Start + seconds(4));
        // A late heartbeat of the dead incarnation does not make it alive again; a new incarnation does.
        membership.merge(std::vector{makeVm("a", 1, 9)}, Start + seconds(4));
        membership.tick(Start + seconds(4));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Dead);
        membership.merge(std::vector{makeVm("a", 2, 0)}, Start + seconds(4));
        membership.tick(Start + seconds(4));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Alive);
    }

    auto detectsThatPeersDeclareItDead() -> void
    {
        auto membership = makeMembership();
        auto report = makeVm("self", 1, 3);
        report.dead = true;
        CPPUNIT_ASSERT(membership.merge(std::vector{report}, Start));
        membership.reincarnate(7);
        CPPUNIT_ASSERT(!membership.merge(std::vector{report}, Start));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, membership.self().incarnation);
    }

    auto partialEntriesUpdateKnownVmsOnly() -> void
    {
        auto membership = makeMembership();
        auto partial = makeVm("a", 1, 5);
        partial.address.clear();
        partial.isPartial = true;
        membership.merge(std::vector{partial}, Start);
        CPPUNIT_ASSERT(membership.find("a") == nullptr);
        membership.merge(std::vector{makeVm("a", 1, 1)}, Start);
        membership.merge(std::vector{partial}, Start + seconds(1));
        CPPUNIT_ASSERT(membership.find("a")->receivedAt == Start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1"), membership.find("a")->vm.address);
        partial.incarnation = 2;
        partial.heartbeat = 9;
        membership.merge(std::vector{partial}, Start + seconds(2));
        CPPUNIT_ASSERT(membership.find("a")->receivedAt == Start + seconds(1));
    }

    auto refusedProbesShortenTimeouts() -> void
    {
        auto membership = makeMembership();
        membership.merge(std::vector{makeVm("a", 1, 1)}, Start);
        for (int probe = 0; probe < 3; ++probe) {
            membership.scheduleProbe("a", true);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, membership.probeTargets().size());
        membership.tick(Start + milliseconds(400));
        CPPUNIT_ASSERT(membership.find("a")->state == VmState::Dead);
        // A heartbeat before the timeout ends the probing.
        membership.merge(std::vector{makeVm("b", 1, 1)}, Start);
        membership.scheduleProbe("b", true);
        membership.merge(std::vector{makeVm("b", 1, 2)}, Start + milliseconds(100));
        CPPUNIT_ASSERT(membership.probeTargets().empty());
        membership.tick(Start + milliseconds(1500));
        CPPUNIT_ASSERT(membership.find("b")->state == VmState::Alive);
    }

    auto drainingVmOwnsNothing() -> void
    {
        auto membership = makeMembership();
        auto draining = makeVm("a", 1, 1);
        draining.draining = true;
        membership.merge(std::vector{draining, makeVm("b", 1, 1)}, Start);
        membership.tick(Start);
        CPPUNIT_ASSERT((membership.live() == std::vector<std::string>{"b", "self"}));
        membership.startDraining();
        CPPUNIT_ASSERT((membership.live() == std::vector<std::string>{"b"}));
    }

    auto membershipConverges() -> void
    {
        CHECK_PROPERTY("all VMs have the same live VMs after announcements in any order", []() {
            constexpr int Count = 5;
            std::vector<Membership> vms;
            for (int index = 0; index < Count; ++index) {
                vms.emplace_back(makeVm("vm" + std::to_string(index)), milliseconds(1500), milliseconds(3000));
            }
            const auto order = *rc::gen::container<std::vector<std::pair<int, int>>>(
                200, rc::gen::pair(rc::gen::inRange(0, Count), rc::gen::inRange(0, Count)));
            for (int index = 0; index + 1 < Count; ++index) {
                vms[static_cast<std::size_t>(index)].merge(vms[static_cast<std::size_t>(index) + 1].digest(10), Start);
                vms[static_cast<std::size_t>(index) + 1].merge(vms[static_cast<std::size_t>(index)].digest(10), Start);
            }
            for (const auto &[from, to] : order) {
                vms[static_cast<std::size_t>(from)].nextHeartbeat();
                vms[static_cast<std::size_t>(to)].merge(vms[static_cast<std::size_t>(from)].digest(10), Start);
            }
            for (int round = 0; round < Count; ++round) {
                for (int index = 0; index < Count; ++index) {
                    vms[static_cast<std::size_t>((index + 1) % Count)].merge(vms[static_cast<std::size_t>(index)].digest(10), Start);
                }
            }
            for (const auto &vm : vms) {
                RC_ASSERT(vm.live().size() == static_cast<std::size_t>(Count));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
