#include "currantstack/slots.h"

#include "check.h"

#include <map>
#include <rapidcheck/state.h>
#include <set>

using namespace currantstack;

namespace
{

constexpr int Slots = 3;
constexpr int EngineCount = 2;
const TimePoint Start{seconds(1000)};

auto makeEngine(int index, Role role = Role::Decode) -> Engine
{
    Engine engine;
    engine.name = "e" + std::to_string(index);
    engine.pool = "pool";
    engine.role = role;
    engine.slots = Slots;
    return engine;
}

auto makeRequest(int id, const std::string &member = "m", int priority = 0, Duration deadline = seconds(100)) -> SlotRequest
{
    SlotRequest request;
    request.requestId = "r" + std::to_string(id);
    request.vm = "vm" + std::to_string(id % 3);
    request.pool = "pool";
    request.member = member;
    request.priority = priority;
    request.deadline = Start + deadline;
    return request;
}

/// Reference model: the waiting and the granted requests, with one limit for the slots of all engines together.
struct SlotModel
{
    std::set<int> waiting;
    std::set<int> granted;
    int next = 0;
};

/// The ledger under test, with the engine of each granted request.
struct System
{
    SlotLedger ledger;
    std::map<int, std::string> engines; // of granted requests
    TimePoint now = Start;

    System()
    {
        for (int index = 0; index < EngineCount; ++index) {
            ledger.addEngine(makeEngine(index), Start);
        }
    }

    auto applyDecisions(const std::vector<SlotDecision> &decisions) -> void
    {
        for (const auto &decision : decisions) {
            const int id = std::stoi(decision.requestId.substr(1));
            RC_ASSERT(decision.granted);
            RC_ASSERT(!engines.contains(id)); // no request is granted twice
            engines[id] = decision.engine;
        }
    }

    auto check(const SlotModel &model) -> void
    {
        int allocatedSlots = 0;
        for (int index = 0; index < EngineCount; ++index) {
            const int count = ledger.allocatedSlots("e" + std::to_string(index));
            RC_ASSERT(count <= Slots); // no engine is overcommitted
            allocatedSlots += count;
        }
        RC_ASSERT(allocatedSlots == static_cast<int>(engines.size()));
        RC_ASSERT(engines.size() + ledger.view("pool", now).queued == model.waiting.size() + model.granted.size());
        // No slot is free while requests are queued.
        RC_ASSERT(ledger.view("pool", now).queued == 0 || allocatedSlots == Slots * EngineCount);
    }
};

using Command = rc::state::Command<SlotModel, System>;

/// Grants free slots to waiting requests. The model compares only counts, so it may pick other requests than the ledger.
auto grantWaiting(SlotModel &model) -> void
{
    while (!model.waiting.empty() && model.granted.size() < static_cast<std::size_t>(Slots * EngineCount)) {
        model.granted.insert(*model.waiting.begin());
        model.waiting.erase(model.waiting.begin());
    }
}

struct RequestSlot : Command
{
    int priority = *rc::gen::inRange(0, 3);
    int member = *rc::gen::inRange(0, 3);

    auto apply(SlotModel &model) const -> void override
    {
        model.waiting.insert(model.next++);
        grantWaiting(model);
    }

    auto run(const SlotModel &model, System &system) const -> void override
    {
        auto after = model;
        apply(after);
        if (const auto decision = system.ledger.requestSlot(makeRequest(model.next, "m" + std::to_string(member), priority), system.now)) {
            system.applyDecisions({*decision});
        }
        system.applyDecisions(system.ledger.processQueues(system.now));
        system.check(after);
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "RequestSlot(" << priority << ", " << member << ")";
    }
};

struct ReleaseSlot : Command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 100);

    auto checkPreconditions(const SlotModel &model) const -> void override
    {
        RC_PRE(!model.granted.empty());
    }

    auto apply(SlotModel &model) const -> void override
    {
        model.granted.erase(model.granted.begin());
        grantWaiting(model);
    }

    auto run(const SlotModel &model, System &system) const -> void override
    {
        auto after = model;
        apply(after);
        auto chosen = std::next(system.engines.begin(), static_cast<std::ptrdiff_t>(pick % system.engines.size()));
        RC_ASSERT(system.ledger.release(chosen->second, "r" + std::to_string(chosen->first), system.now));
        RC_ASSERT(!system.ledger.release(chosen->second, "r" + std::to_string(chosen->first), system.now));
        system.engines.erase(chosen);
        system.applyDecisions(system.ledger.processQueues(system.now));
        system.check(after);
    }

    auto show(std::ostream &stream) const -> void override
    {
        stream << "ReleaseSlot(" << pick << ")";
    }
};

} // namespace

class SlotsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotsTest);
    CPPUNIT_TEST(neverOvercommitsOrIdlesBesideAQueue);
    CPPUNIT_TEST(ordersByPriorityThenFairnessThenDeadline);
    CPPUNIT_TEST(refusesAfterTheDeadline);
    CPPUNIT_TEST(separatesSuspects);
    CPPUNIT_TEST(grantsNothingBeforePreviousGrantsExpire);
    CPPUNIT_TEST(reconcilesWithTheEngineList);
    CPPUNIT_TEST(otherMembersDisplaceAFlood);
    CPPUNIT_TEST(limitsPrefillBacklog);
    CPPUNIT_TEST(grantsNothingOnADrainingEngine);
    CPPUNIT_TEST_SUITE_END();

public:
    auto neverOvercommitsOrIdlesBesideAQueue() -> void
    {
        CHECK_PROPERTY("slots are never overcommitted and never free beside a queue", []() {
            System system;
            rc::state::check(SlotModel(), system, rc::state::gen::execOneOfWithArgs<RequestSlot, RequestSlot, ReleaseSlot>());
        });
    }

    auto ordersByPriorityThenFairnessThenDeadline() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start);
        for (int id = 0; id < Slots; ++id) {
            CPPUNIT_ASSERT(ledger.requestSlot(makeRequest(id, "greedy"), Start)->granted);
        }
        ledger.requestSlot(makeRequest(10, "greedy", 0, seconds(1)), Start);
        ledger.requestSlot(makeRequest(11, "modest", 0, seconds(9)), Start);
        ledger.requestSlot(makeRequest(12, "modest", 0, seconds(8)), Start);
        ledger.requestSlot(makeRequest(13, "greedy", 1, seconds(50)), Start);
        std::vector<std::string> order;
        for (int id : {0, 1, 2}) {
            ledger.release("e0", "r" + std::to_string(id), Start);
            for (const auto &decision : ledger.processQueues(Start)) {
                order.push_back(decision.requestId);
            }
        }
        // Once each member holds one slot, their usage is equal and the deadline decides.
        CPPUNIT_ASSERT((order == std::vector<std::string>{"r13", "r12", "r10"}));
    }

    auto refusesAfterTheDeadline() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start);
        for (int id = 0; id < Slots; ++id) {
            ledger.requestSlot(makeRequest(id), Start);
        }
        CPPUNIT_ASSERT(!ledger.requestSlot(makeRequest(9, "m", 0, seconds(1)), Start));
        const auto decisions = ledger.processQueues(Start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions.size());
        CPPUNIT_ASSERT(!decisions[0].granted && decisions[0].reason == SlotRefusal::DeadlinePassed);
    }

    auto separatesSuspects() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start);
        ledger.addEngine(makeEngine(1), Start);
        std::set<std::string> engines;
        for (int id = 0; id < 3; ++id) {
            auto request = makeRequest(id);
            request.suspect = true;
            if (const auto decision = ledger.requestSlot(request, Start)) {
                engines.insert(decision->engine);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engines.size());
        CPPUNIT_ASSERT(ledger.isQueued("r2"));
    }

    auto grantsNothingBeforePreviousGrantsExpire() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start + seconds(1));
        CPPUNIT_ASSERT(!ledger.requestSlot(makeRequest(0), Start));
        CPPUNIT_ASSERT(ledger.processQueues(Start + milliseconds(999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.processQueues(Start + seconds(1)).size());
    }

    auto reconcilesWithTheEngineList() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start);
        const std::vector<RunningRequest> running = {
            {"vm9.1.0.d0", "decode", 5}, {"vm9.1.1.d0", "decode", 5}, {"vm9.1.2.p0", "exportable", 5}};
        ledger.reconcile("e0", running, Start);
        CPPUNIT_ASSERT_EQUAL(2, ledger.allocatedSlots("e0"));
        CPPUNIT_ASSERT(ledger.requestSlot(makeRequest(0), Start)->granted);
        // A grant that the engine never lists ends after the grace period; so does a request that it no longer lists.
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ledger.reconcile("e0", {}, Start + SlotLedger::UnlistedGrace + milliseconds(1)).size());
        CPPUNIT_ASSERT_EQUAL(0, ledger.allocatedSlots("e0"));
    }

    auto otherMembersDisplaceAFlood() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0), Start);
        ledger.setLimits(5, 1000000);
        for (int id = 0; id < Slots + 5; ++id) {
            ledger.requestSlot(makeRequest(id, "flood"), Start);
        }
        const auto displaced = ledger.requestSlot(makeRequest(50, "small"), Start);
        CPPUNIT_ASSERT(displaced && !displaced->granted && displaced->requestId != "r50");
        CPPUNIT_ASSERT(ledger.isQueued("r50"));
        const auto refused = ledger.requestSlot(makeRequest(51, "flood"), Start);
        CPPUNIT_ASSERT(refused && refused->requestId == "r51" && refused->reason == SlotRefusal::QueueFull);
    }

    auto limitsPrefillBacklog() -> void
    {
        SlotLedger ledger;
        ledger.addEngine(makeEngine(0, Role::Prefill), Start);
        auto request = makeRequest(0);
        request.tokens = 10000; // 300 ms of work
        CPPUNIT_ASSERT(ledger.requestSlot(request, Start)->granted);
        request.requestId = "r1";
        CPPUNIT_ASSERT(!ledger.requestSlot(request, Start));
        CPPUNIT_ASSERT(ledger.processQueues(Start + milliseconds(200)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.processQueues(Start + milliseconds(290)).size());
    }

    auto grantsNothingOnADrainingEngine() -> void
    {
        SlotLedger ledger;
        auto engine = makeEngine(0);
        ledger.addEngine(engine, Start);
        engine.draining = true;
        ledger.updateEngine(engine);
        const auto decision = ledger.requestSlot(makeRequest(0), Start);
        CPPUNIT_ASSERT(decision && decision->reason == SlotRefusal::NoEngine);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotsTest);
