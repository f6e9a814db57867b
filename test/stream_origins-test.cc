#include "currantstack/decisions/stream_origins.h"

#include "check.h"
#include "currantstack/edge/origin_message.h"

using namespace currantstack;

class StreamOriginsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamOriginsTest);
    CPPUNIT_TEST(theFirstOriginOfAStreamCounts);
    CPPUNIT_TEST(originsAreBoundedInNumberAndAge);
    CPPUNIT_TEST(streamsGoOnNowhereAtAGuess);
    CPPUNIT_TEST(unknownStreamsGoOnAtTheOnlyVersionThatCanHaveBegunThem);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(arbitraryDatagramsAreReadOrRejected);
    CPPUNIT_TEST_SUITE_END();

    StreamOrigins m_origins;
    TimePoint m_now = TimePoint() + seconds(1000);

public:
    auto theFirstOriginOfAStreamCounts() -> void
    {
        m_origins.record(1, {7, m_now, false});
        m_origins.record(1, {8, m_now, true});
        const auto found = m_origins.find(1, m_now);
        CPPUNIT_ASSERT(found && found->version == 7 && found->isOwn);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_origins.relayedSince(m_now).size());
        CPPUNIT_ASSERT(m_origins.relayedSince(m_now + seconds(1)).empty());
    }

    auto originsAreBoundedInNumberAndAge() -> void
    {
        for (Fingerprint stream = 0; stream < StreamOrigins::MaxEntries + 10; ++stream) {
            m_origins.record(stream, {7, m_now, false});
        }
        CPPUNIT_ASSERT_EQUAL(StreamOrigins::MaxEntries, m_origins.size());
        CPPUNIT_ASSERT(!m_origins.find(9, m_now) && m_origins.find(10, m_now));
        m_now += StreamOrigins::Lifetime;
        CPPUNIT_ASSERT(!m_origins.find(10, m_now));
        m_origins.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_origins.size());
    }

    auto streamsGoOnNowhereAtAGuess() -> void
    {
        const StreamOrigin origin{7, m_now, false};
        CPPUNIT_ASSERT(planContinuation({false, false}, std::nullopt).where == Continuation::AtAnyEngine);
        CPPUNIT_ASSERT(planContinuation({true, false}, std::nullopt).where == Continuation::Nowhere);
        CPPUNIT_ASSERT(planContinuation({false, true}, std::nullopt).where == Continuation::Nowhere);
        for (const auto &knowledge : {VersionKnowledge{true, false}, {false, true}, {true, true}, {true, false, 8}, {true, true, 8}}) {
            const auto plan = planContinuation(knowledge, origin);
            CPPUNIT_ASSERT(plan.where == Continuation::AtItsVersion && plan.version == 7U);
        }
    }

    auto unknownStreamsGoOnAtTheOnlyVersionThatCanHaveBegunThem() -> void
    {
        const auto plan = planContinuation({true, false, 8}, std::nullopt);
        CPPUNIT_ASSERT(plan.where == Continuation::AtItsVersion && plan.version == 8U);
        CPPUNIT_ASSERT(planContinuation({true, true, 8}, std::nullopt).where == Continuation::Nowhere);
        CPPUNIT_ASSERT_EQUAL(SoftwareVersionKey(8), planContinuation({false, false, 8}, std::nullopt).version);
    }

    auto messagesRoundTrip() -> void
    {
        const VersionReport report{true, {{"llm", "v1", seconds(2), seconds(3)}}, milliseconds(350)};
        CHECK_PROPERTY("an origin message is read as it was written",
                       [&report](std::uint32_t version, const std::vector<Fingerprint> &streams, const std::vector<Fingerprint> &asked) {
                           const auto read = decodeOrigins(encodeOrigins({{{version, streams}}, asked, report}));
                           RC_ASSERT(read && read->report && read->report->isComplete && read->report->versions.size() == 1U);
                           RC_ASSERT(read->report->versions[0].version == "v1" && read->report->versions[0].age == seconds(2));
                           RC_ASSERT(read->report->age == milliseconds(350));
                           RC_ASSERT(read->asked == asked && read->told.size() == 1U);
                           RC_ASSERT(read->told[0].version == version && read->told[0].streams == streams);
                       });
        CPPUNIT_ASSERT(decodeOrigins(encodeOrigins({{}, {1}, {}, true}))->asksForAllVersions);
        CPPUNIT_ASSERT(!decodeOrigins(encodeOrigins({{}, {1}, {}}))->asksForAllVersions);
        CPPUNIT_ASSERT(encodeOrigins({{{0xffffffffU, {0xffffffffffffffffULL}}}, {}, {}}).size() <= 20);
    }

    auto arbitraryDatagramsAreReadOrRejected() -> void
    {
        CHECK_PROPERTY("no datagram crashes the reader", [](const std::string &bytes) { (void)decodeOrigins("V" + bytes); });
        CHECK_PROPERTY("a message with one changed byte is read or rejected", [](std::uint16_t position, char byte) {
            auto bytes = encodeOrigins({{{5, {1, 2}}}, {3}, VersionReport{false, {{"llm", "v1"}}}});
            bytes[position % bytes.size()] = byte;
            (void)decodeOrigins(bytes);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginsTest);
