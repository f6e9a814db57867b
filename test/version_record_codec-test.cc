#include "currantstack/edge/version_record_codec.h"

#include "currantstack/edge/origin_message.h"
#include "currantstack/edge/software_version_codec.h"
#include "currantstack/json.h"

#include "check.h"

using namespace currantstack;

class VersionRecordCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionRecordCodecTest);
    CPPUNIT_TEST(recordsRoundTripWithTheirVersionsSorted);
    CPPUNIT_TEST(unknownFieldsOfARecordAreIgnored);
    CPPUNIT_TEST(malformedRecordsAreRejected);
    CPPUNIT_TEST(reportsSayWhetherTheyRestOnTheRecord);
    CPPUNIT_TEST(versionsThatOnlyTheRecordNamesAreRead);
    CPPUNIT_TEST_SUITE_END();

    /// Decodes a message's list of versions that has this row.
    static auto readRow(const Json &row) -> std::optional<std::vector<SoftwareVersionNotice>>
    {
        return decodeVersions(Json::array({row}));
    }

public:
    auto recordsRoundTripWithTheirVersionsSorted() -> void
    {
        const auto read = decodeVersionRecord(encodeVersionRecord({"llm", {{"v2", false}, {"", true}, {"v10", true}}}));
        CPPUNIT_ASSERT(read && *read == (VersionRecord{"llm", {{"", true}, {"v10", true}, {"v2", false}}}));
        CPPUNIT_ASSERT(decodeVersionRecord(encodeVersionRecord({"llm", {}})) == (VersionRecord{"llm", {}}));
    }

    // A later build adds a field, and this one takes the record for unreadable.
    auto unknownFieldsOfARecordAreIgnored() -> void
    {
        const auto read = decodeVersionRecord(R"({"service":"llm","later":1,"versions":[{"version":"v1","settled":true,"later":[]}]})");
        CPPUNIT_ASSERT(read && *read == (VersionRecord{"llm", {{"v1", true}}}));
    }

    // A record is read as one that names fewer versions than it does.
    auto malformedRecordsAreRejected() -> void
    {
        for (const auto *bad : {"", "{", "[]", "{}", R"({"service":"llm"})", R"({"versions":[]})", R"({"service":1,"versions":[]})",
                                R"({"service":"llm","versions":{}})", R"({"service":"llm","versions":["v1"]})",
                                R"({"service":"llm","versions":[{"settled":true}]})", R"({"service":"llm","versions":[{"version":"v1"}]})",
                                R"({"service":"llm","versions":[{"version":"v1","settled":1}]})"}) {
            CPPUNIT_ASSERT_MESSAGE(bad, !decodeVersionRecord(bad));
        }
    }

    // What a VM of an earlier build knows by contact alone counts as the record.
    auto reportsSayWhetherTheyRestOnTheRecord() -> void
    {
        OriginMessage message;
        message.report = VersionReport{true, {{"llm", "v1"}}, milliseconds(40), 7};
        const auto read = decodeOrigins(encodeOrigins(message));
        CPPUNIT_ASSERT(read && read->report && read->report->question == 7U && read->report->age == Duration(milliseconds(40)));
        message.report->question.reset();
        CPPUNIT_ASSERT(!decodeOrigins(encodeOrigins(message))->report->question);
        CPPUNIT_ASSERT(decodeOrigins(encodeOrigins({{}, {1}, {}, true, 7}))->question == 7U);
        std::string earlier(OriginMagic);
        Json::to_msgpack(Json::parse(R"([[true,[["llm","v1",0,5]]],[],"age",40])"), earlier);
        const auto readEarlier = decodeOrigins(earlier);
        CPPUNIT_ASSERT(readEarlier && readEarlier->report && readEarlier->report->isComplete && !readEarlier->report->question);
    }

    // A version of which no upstream is left is lost on its way to another VM, while streams of it return.
    auto versionsThatOnlyTheRecordNamesAreRead() -> void
    {
        const SoftwareVersionNotice left{"llm", "v1", SoftwareVersions::Lifetime + seconds(9), seconds(70), true};
        const auto read = decodeVersions(encodeVersions({&left, 1}));
        CPPUNIT_ASSERT(read && read->size() == 1 && read->front().isRecorded && read->front().age == Duration(SoftwareVersions::Lifetime));
        const auto before = readRow({"llm", "v1", 40, 50});
        CPPUNIT_ASSERT(before && !before->front().isRecorded && before->front().age == Duration(milliseconds(40)));
        CPPUNIT_ASSERT(before->front().knownFor == Duration(milliseconds(50)));
        CPPUNIT_ASSERT(!readRow({"llm", "v1", 40, 50, 1})->front().isRecorded && !readRow({"llm", "v1", 40}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionRecordCodecTest);
