#include "recorded_messages.h"

#include "check.h"
#include "currantstack/edge/peer_protocol_codec.h"

#include <fstream>
#include <sstream>

using namespace currantstack;

namespace
{

auto readRecorded(const std::string &name) -> std::string
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/test/recorded/" + name, std::ios::binary);
    CPPUNIT_ASSERT_MESSAGE(name, file.good());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the document of a message; some begin with a byte that tells their kind.
auto documentOf(const std::string &name, std::string_view bytes) -> Json
{
    if (name.ends_with(".json")) {
        return Json::parse(bytes);
    }
    const bool hasMagic = bytes.starts_with(QuarantineMagic) || bytes.starts_with(OriginMagic);
    return Json::from_msgpack(bytes.substr(hasMagic ? 1 : 0));
}

auto toMsgpack(const Json &document, std::string_view magic = "") -> std::string
{
    std::string bytes(magic);
    Json::to_msgpack(document, bytes);
    return bytes;
}

/// Returns where a reader of `recorded` could not read `current`: a field that is gone or has another type, or a row that has other
/// columns. Readers up to protocol 1 reject rows with more columns.
auto differences(const Json &recorded, const Json &current, const std::string &path = "") -> std::vector<std::string>
{
    const bool bothNumbers = recorded.is_number() && current.is_number();
    if (!bothNumbers && recorded.type() != current.type()) {
        return {path + ": another type"};
    }
    std::vector<std::string> result;
    const auto add = [&result](std::vector<std::string> found) { result.insert(result.end(), found.begin(), found.end()); };
    if (recorded.is_array()) {
        if (recorded.size() != current.size()) {
            return {path + ": another number of columns"};
        }
        for (std::size_t index = 0; index < recorded.size(); ++index) {
            add(differences(recorded[index], current[index], path + "/" + std::to_string(index)));
        }
    } else if (recorded.is_object()) {
        for (const auto &[key, value] : recorded.items()) {
            if (current.contains(key)) {
                add(differences(value, current[key], path + "/" + key));
            } else {
                result.push_back(path + "/" + key + ": is gone");
            }
        }
    }
    return result;
}

/// Appends a column to each row of the list, as a later build may.
auto widen(Json &rows) -> void
{
    for (auto &row : rows) {
        row.push_back({{"later", true}});
    }
}

auto withLaterFields(const LoadMessage &message) -> Json
{
    auto document = Json::from_msgpack(encodeLoad(message));
    for (const auto *list : {"work", "costs", "avoid", "limits", "software"}) {
        widen(document[list]);
    }
    document["later"] = {{"field", 1}};
    document["can"] = {"relay", "later ability"};
    document["proto"] = ProtocolNumber + 1;
    return document;
}

} // namespace

/// Reads what builds before and after this one write.
class ReleaseCompatibilityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReleaseCompatibilityTest);
    CPPUNIT_TEST(messagesOfTheReleasedBuildAreRead);
    CPPUNIT_TEST(theReleasedBuildReadsWhatThisBuildWrites);
    CPPUNIT_TEST(loadReportsWithLaterFieldsAndColumnsAreRead);
    CPPUNIT_TEST(anUnknownReasonOfAnExclusionLeavesOutItsRowOnly);
    CPPUNIT_TEST(loadReportsWithoutOptionalFieldsAreRead);
    CPPUNIT_TEST(relayedAggregatesKeepLaterFields);
    CPPUNIT_TEST(originsWithLaterFieldsAreRead);
    CPPUNIT_TEST(quarantineReportsWithLaterFieldsAndColumnsAreRead);
    CPPUNIT_TEST(storedDocumentsWithLaterFieldsAreRead);
    CPPUNIT_TEST(relayedStreamsOfBuildsWithoutEvent0AreRead);
    CPPUNIT_TEST(protocolsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    static auto checkLoad(const LoadMessage &message, const Result<LoadMessage> &read) -> void
    {
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read->source == message.source && read->vm == message.vm && read->sequence == message.sequence);
        CPPUNIT_ASSERT(read->isAggregate == message.isAggregate && read->relayInPlace == message.relayInPlace);
        CPPUNIT_ASSERT(read->revisions.routesVersion == message.revisions.routesVersion && read->exclusions == message.exclusions);
        CPPUNIT_ASSERT(read->costs.size() == 1 && read->costs[0].streams == 5 && read->costs[0].cost.kvTokens == 4);
        CPPUNIT_ASSERT(read->loads.size() == 1 && read->loads[0].work.requests == 3 && read->loads[0].work.kvTokens == 200);
        CPPUNIT_ASSERT(read->limits.size() == 2 && read->limits[0].limit == 2.5 && read->limits[0].sent == 9 && !read->limits[1].limit);
        CPPUNIT_ASSERT(read->versions.size() == 1 && read->versions[0].version == "v1");
        CPPUNIT_ASSERT(read->cutOff == message.cutOff && read->unknownRows == 0);
    }

    static auto checkOrigins(const Result<OriginMessage> &read) -> void
    {
        CPPUNIT_ASSERT(read && read->report && read->report->isComplete && read->report->versions.size() == 1);
        CPPUNIT_ASSERT(read->asked == std::vector<Fingerprint>{3} && read->told.size() == 1 && read->told[0].version == 11);
        CPPUNIT_ASSERT((read->told[0].streams == std::vector<Fingerprint>{1, 2}));
    }

    static auto checkQuarantine(const Result<QuarantineMessage> &read) -> void
    {
        CPPUNIT_ASSERT(read && read->place == "z1");
        const auto &report = read->report;
        CPPUNIT_ASSERT(report.entries.size() == 1 && report.entries[0].traits == (Traits{1, 2}) && report.entries[0].upstreams.size() == 2);
        CPPUNIT_ASSERT(report.crashes.size() == 1 && report.crashes[0].requests.size() == 2 && report.crashes[0].upstream == "e1@5");
        CPPUNIT_ASSERT(report.successes.size() == 1 && report.successes[0].fingerprint == 9);
    }

    static auto checkStoredEntry(const Result<QuarantineEntry> &read) -> void
    {
        CPPUNIT_ASSERT(read && read->traits == (Traits{1, 2}) && read->remaining == Duration(seconds(600)) && read->observer == "vm1");
    }

    static auto checkRelay(const Result<RelayInfo> &read) -> void
    {
        CPPUNIT_ASSERT(read && read->vm == "vm1" && read->age == Duration(milliseconds(250)) && read->sends == 2 && read->counted);
        CPPUNIT_ASSERT(read->routesVersion == 17 && read->lastEventId == 9 && read->firstAttemptId == "first");
    }

    static auto checkVm(const Result<VmRecord> &read) -> void
    {
        CPPUNIT_ASSERT(read && read->name == "vm1" && read->place == "z1" && read->peerAddress.text() == "10.0.0.1:7380");
    }

    static auto checkJournal(const Json &head) -> void
    {
        JournalShard shard;
        shard.load(head, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), shard.size());
        const auto *answered = shard.find("visit-1");
        CPPUNIT_ASSERT(answered != nullptr && answered->answer && answered->answer->status == 201 && answered->answer->body == "{}");
        const auto *open = shard.find("visit-2");
        CPPUNIT_ASSERT(open != nullptr && !open->answer && open->vm == "vm2" && open->startedAtMs == 8);
    }

    auto decodeVm(const std::string &document) const -> Result<VmRecord>
    {
        return m_codec.decodeVm({m_codec.vmsPrefix() + "vm1", document, 1});
    }

public:
    auto messagesOfTheReleasedBuildAreRead() -> void
    {
        checkLoad(sampleLoad(), decodeLoad(readRecorded("load.msgpack")));
        checkLoad(sampleAggregate(), decodeLoad(readRecorded("aggregate.msgpack")));
        checkOrigins(decodeOrigins(readRecorded("origins.msgpack")));
        checkQuarantine(decodeQuarantine(readRecorded("quarantine.msgpack"), SampleTime));
        checkStoredEntry(decodeStoredEntry(readRecorded("stored-quarantine.json"), SampleWallTime));
        checkRelay(decodeRelay(readRecorded("relay.json")));
        checkVm(decodeVm(readRecorded("vm.json")));
        checkJournal(Json::parse(readRecorded("journal.json")));
    }

    auto theReleasedBuildReadsWhatThisBuildWrites() -> void
    {
        auto messages = sampleMessages();
        auto load = sampleLoad();
        load.protocol = PeerProtocol{ProtocolNumber, true};
        messages.push_back({"load.msgpack", encodeLoad(load)});
        auto vm = sampleVm();
        vm.protocol = {ProtocolNumber, true};
        messages.push_back({"vm.json", m_codec.encodeVm(vm)});
        for (const auto &message : messages) {
            const auto found = differences(documentOf(message.name, readRecorded(message.name)), documentOf(message.name, message.bytes));
            CPPUNIT_ASSERT_MESSAGE(message.name + (found.empty() ? "" : found.front()), found.empty());
        }
    }

    auto loadReportsWithLaterFieldsAndColumnsAreRead() -> void
    {
        const auto read = decodeLoad(toMsgpack(withLaterFields(sampleLoad())));
        checkLoad(sampleLoad(), read);
        CPPUNIT_ASSERT(read->protocol == (PeerProtocol{ProtocolNumber + 1, true}));
        CHECK_PROPERTY("a message with a later field is read as without it", [](const std::string &name, const std::string &value) {
            auto document = Json::from_msgpack(encodeLoad(sampleLoad()));
            const auto key = "later " + name;
            document[key] = value;
            const auto changed = decodeLoad(toMsgpack(document));
            RC_ASSERT(changed && changed->loads.size() == 1U && changed->cutOff == sampleLoad().cutOff);
        });
    }

    auto anUnknownReasonOfAnExclusionLeavesOutItsRowOnly() -> void
    {
        auto document = Json::from_msgpack(encodeLoad(sampleLoad()));
        document["avoid"].push_back({"e9", "later reason", 5});
        const auto read = decodeLoad(toMsgpack(document));
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read->exclusions == sampleLoad().exclusions);
        CPPUNIT_ASSERT_EQUAL(1, read->unknownRows);
    }

    auto loadReportsWithoutOptionalFieldsAreRead() -> void
    {
        const auto isRequired = [](std::string_view key) { return key == "src" || key == "vm" || key == "place" || key == "seq"; };
        const auto document = withLaterFields(sampleLoad());
        for (const auto &[key, value] : document.items()) {
            auto changed = document;
            changed.erase(key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, !isRequired(key), decodeLoad(toMsgpack(changed)).has_value());
        }
        const auto read = decodeLoad(toMsgpack({{"src", "vm1"}, {"vm", "vm1"}, {"place", "z1"}, {"seq", 7}}));
        CPPUNIT_ASSERT(read && read->loads.empty() && !read->isAggregate && !read->protocol);
    }

    auto relayedAggregatesKeepLaterFields() -> void
    {
        const auto document = withLaterFields(sampleAggregate());
        auto expected = document;
        expected["spread"] = false;
        CPPUNIT_ASSERT(Json::from_msgpack(encodeForPlace(toMsgpack(document))) == expected);
        CPPUNIT_ASSERT(encodeForPlace("\x91").empty() && encodeForPlace(toMsgpack(Json::array())).empty());
    }

    auto originsWithLaterFieldsAreRead() -> void
    {
        auto document = documentOf("origins.msgpack", encodeOrigins(sampleOrigins()));
        document[0].push_back("later column");
        document.insert(document.begin() + 2, {"later field", {{"value", 1}}});
        document.push_back("later field");
        document.push_back(5);
        checkOrigins(decodeOrigins(toMsgpack(document, OriginMagic)));
    }

    auto quarantineReportsWithLaterFieldsAndColumnsAreRead() -> void
    {
        auto document = documentOf("quarantine.msgpack", encodeQuarantine(sampleQuarantine(), SampleTime).front());
        for (const auto *list : {"entries", "crashes", "succeeded"}) {
            widen(document[list]);
        }
        document["later"] = Json::array({1});
        checkQuarantine(decodeQuarantine(toMsgpack(document, QuarantineMagic), SampleTime));
    }

    auto storedDocumentsWithLaterFieldsAreRead() -> void
    {
        const auto withLaterField = [](const std::string &text) {
            auto document = Json::parse(text);
            document["later"] = {{"field", 1}};
            return document.dump();
        };
        checkStoredEntry(decodeStoredEntry(withLaterField(encodeStoredEntry(sampleQuarantineEntry(), SampleWallTime)), SampleWallTime));
        checkRelay(decodeRelay(withLaterField(encodeRelay(sampleRelay()))));
        checkVm(decodeVm(withLaterField(m_codec.encodeVm(sampleVm()))));
        auto head = sampleJournal().head("w1");
        for (auto &entry : head["entries"]) {
            entry["later"] = 1;
        }
        checkJournal(head);
    }

    // A stream that has not begun is taken for one that has, or the other way round.
    auto relayedStreamsOfBuildsWithoutEvent0AreRead() -> void
    {
        const auto headerOf = [](std::int64_t after) {
            return fmt::format(R"({{"vm":"vm1","age_ms":250,"sends":2,"counted":true,"routes":17,"after":{},"first":"first"}})", after);
        };
        CPPUNIT_ASSERT(!decodeRelay(headerOf(0))->lastEventId);
        CPPUNIT_ASSERT(decodeRelay(headerOf(9))->lastEventId == 9);
        for (const std::optional<std::int64_t> &id :
             {std::optional<std::int64_t>(), std::optional<std::int64_t>(0), std::optional<std::int64_t>(9)}) {
            RelayInfo info{"vm1"};
            info.lastEventId = id;
            const auto after = parseJson(encodeRelay(info), "test")->at("after");
            CPPUNIT_ASSERT_MESSAGE("as the released build reads it", after.is_number_integer() && after == id.value_or(0));
        }
    }

    auto protocolsRoundTrip() -> void
    {
        for (const auto &protocol : {PeerProtocol{}, PeerProtocol{ProtocolNumber, false}, PeerProtocol{ProtocolNumber, true}}) {
            auto load = sampleLoad();
            load.protocol = protocol;
            const auto read = decodeLoad(encodeLoad(load));
            CPPUNIT_ASSERT(protocol.isReported() ? read->protocol == protocol : !read->protocol);
            auto vm = sampleVm();
            vm.protocol = protocol;
            CPPUNIT_ASSERT(decodeVm(m_codec.encodeVm(vm))->protocol == protocol);
        }
        CPPUNIT_ASSERT(!decodeVm(R"({"place":"z1","ip":"10.0.0.1","port":7380,"proto":"two"})"));
    }

private:
    platform::PlatformCodec m_codec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReleaseCompatibilityTest);
