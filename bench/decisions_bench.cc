// Benchmarks of single operations and of the memory that their state takes, at several sizes.
#include "currantstack/announcer.h"
#include "currantstack/config.h"
#include "currantstack/decisions/peer_table.h"
#include "currantstack/decisions/stream_origins.h"
#include "currantstack/edge/origin_message.h"
#include "currantstack/peers.h"
#include "currantstack/placement.h"
#include "currantstack/rendezvous.h"
#include "currantstack/slot_service.h"
#include "currantstack/timeline.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

using namespace currantstack;

namespace
{

const TimePoint Start{seconds(1000)};
constexpr int PlaceCount = 16;

auto heapBytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto makeDocument(int engines, int members) -> Json
{
    Json document = {{"places", Json::array()}, {"models", {{{"name", "m"}}}}, {"pools", Json::array()}, {"members", Json::array()}};
    for (int index = 0; index < PlaceCount; ++index) {
        document["places"].push_back({{"name", fmt::format("place{}", index)}, {"region", fmt::format("region{}", index % 7)}});
    }
    for (const auto *role : {"prefill", "decode"}) {
        document["pools"].push_back({{"name", role}, {"model", "m"}, {"role", role}, {"engines", Json::array()}});
    }
    for (int index = 0; index < engines; ++index) {
        document["pools"][index % 3 == 0 ? 0 : 1]["engines"].push_back(
            {{"name", fmt::format("engine{}", index)},
             {"address", fmt::format("10.{}.{}.{}:8000", index >> 16, (index >> 8) & 255, index & 255)},
             {"place", fmt::format("place{}", index % PlaceCount)}});
    }
    for (int index = 0; index < members; ++index) {
        document["members"].push_back({{"name", fmt::format("member{}", index)}, {"token_hashes", {tokenHash(std::to_string(index))}}});
    }
    document["operators"] = {{{"name", "root"}, {"may_change", {"*"}}}};
    return document;
}

auto adoptEngines(SlotLedger &ledger, int engines) -> void
{
    for (int index = 0; index < engines; ++index) {
        Engine engine;
        engine.name = fmt::format("engine{}", index);
        engine.pool = "decode";
        ledger.addEngine(engine, Start);
    }
}

auto makeVm(int index) -> Vm
{
    Vm vm;
    vm.name = fmt::format("vm{}", index);
    vm.address = fmt::format("10.9.{}.{}:8081", index >> 8, index & 255);
    vm.place = fmt::format("place{}", index % PlaceCount);
    vm.region = fmt::format("region{}", index % 7);
    vm.startedAtMs = vm.incarnation = 1796358062090;
    vm.heartbeat = 100000;
    return vm;
}

auto chooseAmongOwners(benchmark::State &state) -> void
{
    Random random(1);
    std::vector<OwnerView> views;
    for (int index = 0; index < state.range(0); ++index) {
        OwnerView view;
        view.owner = fmt::format("vm{}", index);
        view.pool = {"decode", 280, index % 5, index % 3, 0, 40};
        views.push_back(view);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseOwner(views, Role::Decode, 0, random));
    }
}

auto requestAndReleaseSlot(benchmark::State &state) -> void
{
    const double before = heapBytes();
    SlotLedger ledger;
    const int engines = static_cast<int>(state.range(0));
    adoptEngines(ledger, engines);
    SlotRequest request;
    request.pool = "decode";
    request.member = "member";
    request.deadline = Start + seconds(100);
    for (int index = 0; index < engines; ++index) {
        std::vector<RunningRequest> running;
        for (int slot = 0; slot < 19; ++slot) {
            running.push_back({fmt::format("vm1.1796358062090.{}.d0", index * 19 + slot), "decode", 5});
        }
        ledger.reconcile(fmt::format("engine{}", index), running, Start);
    }
    state.counters["bytes"] = heapBytes() - before;
    request.requestId = "vm1.1796358062090.next.d0";
    for (auto _ : state) {
        const auto decision = ledger.requestSlot(request, Start);
        ledger.release(decision->engine, request.requestId, Start);
    }
}

auto decideWithQueue(benchmark::State &state) -> void
{
    SlotLedger ledger;
    adoptEngines(ledger, 14);
    SlotRequest request;
    request.pool = "decode";
    request.deadline = Start + seconds(100);
    for (int index = 0; index < 280 + state.range(0); ++index) {
        request.requestId = fmt::format("r{}", index);
        request.member = fmt::format("member{}", index % 60);
        ledger.requestSlot(request, Start);
    }
    int next = 0;
    for (auto _ : state) {
        // One slot is released and granted to the head of the queue, and a new request is queued.
        const auto engine = fmt::format("engine{}", next % 14);
        state.PauseTiming();
        request.requestId = fmt::format("n{}", next++);
        state.ResumeTiming();
        ledger.requestSlot(request, Start);
        benchmark::DoNotOptimize(ledger.processQueues(Start));
    }
}

auto findOwner(benchmark::State &state) -> void
{
    std::vector<std::string> vms;
    for (int index = 0; index < state.range(0); ++index) {
        vms.push_back(fmt::format("vm{}", index));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(rendezvousOwner(vms, "engine77"));
    }
}

/// Finds the VMs that hold the origin of a stream and encodes it for them.
auto tellOrigin(benchmark::State &state) -> void
{
    PeerTable peers("vm0", "place0");
    for (int index = 1; index < state.range(0); ++index) {
        peers.mergeListed(fmt::format("vm{}", index), fmt::format("place{}", index % PlaceCount), {"10.0.0.1", 7380}, Start);
    }
    Fingerprint stream = 0;
    std::size_t bytes = 0;
    for (auto _ : state) {
        stream = hash64("attempt", stream);
        benchmark::DoNotOptimize(peers.holders(stream, 3));
        bytes = encodeOrigins({{{0x12345678U, {stream}}}, {}, {}}).size();
    }
    state.counters["datagram"] = static_cast<double>(bytes);
}

/// Records the origins of as many streams, and finds one.
auto findOrigin(benchmark::State &state) -> void
{
    const double before = heapBytes();
    StreamOrigins origins;
    for (std::int64_t index = 0; index < state.range(0); ++index) {
        origins.record(hash64("attempt", static_cast<std::uint64_t>(index)), {1, Start, false});
    }
    state.counters["bytes"] = heapBytes() - before;
    for (auto _ : state) {
        benchmark::DoNotOptimize(origins.find(hash64("attempt", 7), Start));
    }
}

auto parseDocument(benchmark::State &state) -> void
{
    const auto document = makeDocument(static_cast<int>(state.range(0)), state.range(0) > 1000 ? 660 : 20);
    const double before = heapBytes();
    const auto config = parseConfig(document); // kept in scope, so that "bytes" includes its memory
    state.counters["bytes"] = heapBytes() - before;
    state.counters["text"] = static_cast<double>(document.dump().size());
    for (auto _ : state) {
        benchmark::DoNotOptimize(parseConfig(document));
    }
}

auto mergeAnnouncement(benchmark::State &state) -> void
{
    Membership membership(makeVm(0), milliseconds(1500), milliseconds(3000));
    const double before = heapBytes();
    for (int index = 1; index < state.range(0); ++index) {
        membership.merge(std::vector{makeVm(index)}, Start);
    }
    state.counters["bytes"] = heapBytes() - before;
    std::int64_t heartbeats = 1;
    for (auto _ : state) {
        auto vms = Json::array();
        for (const auto &vm : membership.digest(Announcer::MaxEntries)) {
            vms.push_back(toJson(vm));
        }
        const auto message = dumpJson(vms);
        state.counters["text"] = static_cast<double>(message.size());
        auto parsed = vmsFromJson(Json::parse(message));
        for (auto &vm : parsed) {
            vm.heartbeat += heartbeats;
        }
        ++heartbeats;
        membership.merge(parsed, Start);
        benchmark::DoNotOptimize(membership.tick(Start));
    }
}

auto signAndVerify(benchmark::State &state) -> void
{
    ManualClock clock;
    PeerAuth sender("a secret of the peers", "vm0", clock);
    PeerAuth receiver("a secret of the peers", "vm1", clock);
    const std::string body(1000, 'x');
    for (auto _ : state) {
        clock.advance(milliseconds(50));
        benchmark::DoNotOptimize(receiver.verify(sender.sign("/peer/slot", body), "/peer/slot", body));
    }
}

auto addEvent(benchmark::State &state) -> void
{
    const SystemClock clock;
    const double before = heapBytes();
    Timeline timeline(clock, "vm0", 20000);
    for (int index = 0; index < 20000; ++index) {
        timeline.add(EventKind::SlotGranted, "vm0.1796358062090.12345.d0", "engine77");
    }
    state.counters["bytes"] = heapBytes() - before;
    for (auto _ : state) {
        timeline.add(EventKind::SlotGranted, "vm0.1796358062090.12345.d0", "engine77");
    }
}

} // namespace

BENCHMARK(chooseAmongOwners)->Arg(7)->Arg(50)->Arg(390);
BENCHMARK(requestAndReleaseSlot)->Arg(21)->Arg(400)->Arg(7900);
BENCHMARK(decideWithQueue)->Arg(10)->Arg(100)->Arg(399)->Iterations(2000);
BENCHMARK(findOwner)->Arg(7)->Arg(50)->Arg(390);
BENCHMARK(tellOrigin)->Arg(7)->Arg(50)->Arg(390);
BENCHMARK(findOrigin)->Arg(1000)->Arg(20000)->Arg(65536);
BENCHMARK(parseDocument)->Arg(21)->Arg(400)->Arg(7900);
BENCHMARK(mergeAnnouncement)->Arg(7)->Arg(50)->Arg(390);
BENCHMARK(signAndVerify);
BENCHMARK(addEvent);
BENCHMARK_MAIN();
