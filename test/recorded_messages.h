// One message of each kind that VMs exchange or store, to compare what different builds write. See support/record-messages.
#pragma once

#include "currantstack/edge/load_message.h"
#include "currantstack/edge/origin_message.h"
#include "currantstack/edge/quarantine_message.h"
#include "currantstack/edge/relay_message.h"
#include "currantstack/journal.h"
#include "currantstack/slot_messages.h"
#include "documents.h"

#include <string>
#include <vector>

/// A message as it is written today; `name` is the name of the recorded file.
struct SampleMessage
{
    std::string name;
    std::string bytes;
};

inline const currantstack::TimePoint SampleTime{std::chrono::seconds(1000)};
inline const currantstack::WallTime SampleWallTime{std::chrono::seconds(1'700'000'000)};

inline auto sampleLoad() -> currantstack::LoadMessage
{
    using namespace currantstack;
    return {"vm1",
            "vm1",
            "z1",
            7,
            false,
            false,
            {3, 4, 5},
            {{"llm", {1, 2, 3, 4}, 5}},
            {{"e1", ExclusionReason::ChangingRole, EngineRole::Decode, milliseconds(70)},
             {"e2", ExclusionReason::Outdated, EngineRole::None, milliseconds(5)},
             {"e3", ExclusionReason::Draining, EngineRole::None, milliseconds(6)}},
            {{"e4", {100, 200, 3}}},
            {{"e5", 8, 2.5, milliseconds(40), 9, 1.5}, {"e6", 9, {}, milliseconds(50), 0, 0}},
            {{"llm", "v1", milliseconds(9), milliseconds(11)}},
            {"booking"}};
}

inline auto sampleAggregate() -> currantstack::LoadMessage
{
    auto message = sampleLoad();
    message.source = "place:z1";
    message.isAggregate = true;
    message.relayInPlace = true;
    return message;
}

inline auto sampleOrigins() -> currantstack::OriginMessage
{
    using namespace currantstack;
    return {{{11, {1, 2}}}, {3}, VersionReport{true, {{"llm", "v1", seconds(2), seconds(3)}}}};
}

inline auto sampleQuarantineEntry() -> currantstack::QuarantineEntry
{
    using namespace currantstack;
    return {{1, 2}, seconds(600), {"e1@5", "e2@6"}, "vm1", milliseconds(40)};
}

inline auto sampleQuarantine() -> currantstack::QuarantineMessage
{
    using namespace currantstack;
    QuarantineMessage message{"z1", {}};
    message.report.entries = {sampleQuarantineEntry()};
    message.report.crashes = {{"e1@5", "vm1", SampleTime - seconds(2), {{1, 2}, {3}}}};
    message.report.successes = {{9, seconds(1)}};
    return message;
}

inline auto sampleRelay() -> currantstack::RelayInfo
{
    return {"vm1", std::chrono::milliseconds(250), 2, true, 17, 9, "first"};
}

inline auto sampleVm() -> currantstack::VmRecord
{
    return {"vm1", "z1", {"10.0.0.1", 7380}};
}

/// A shard with one recorded answer and one intent.
inline auto sampleJournal() -> currantstack::JournalShard
{
    using namespace currantstack;
    JournalShard shard;
    const auto isRunning = [](const JournalEntry &) { return false; };
    shard.begin({"visit-1", "f1", "a1", "vm1", 5, 6, {}}, isRunning);
    shard.finish("visit-1", "a1", {201, "application/json", "{}"});
    shard.begin({"visit-2", "f2", "a2", "vm2", 7, 8, {}}, isRunning);
    return shard;
}

inline auto sampleMessages() -> std::vector<SampleMessage>
{
    using namespace currantstack;
    return {{"load.msgpack", encodeLoad(sampleLoad())},
            {"aggregate.msgpack", encodeLoad(sampleAggregate())},
            {"origins.msgpack", encodeOrigins(sampleOrigins())},
            {"quarantine.msgpack", encodeQuarantine(sampleQuarantine(), SampleTime).front()},
            {"stored-quarantine.json", encodeStoredEntry(sampleQuarantineEntry(), SampleWallTime)},
            {"relay.json", encodeRelay(sampleRelay())},
            {"vm.json", platform::PlatformCodec().encodeVm(sampleVm())},
            {"journal.json", sampleJournal().head("w1").dump()}};
}
