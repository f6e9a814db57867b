#include "currantstack/edge/quarantine_message.h"

#include "currantstack/json.h"

#include "check.h"

#include <fmt/format.h>

using namespace currantstack;

class QuarantineMessageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineMessageTest);
    CPPUNIT_TEST(reportRoundTrip);
    CPPUNIT_TEST(longReportsAreSplit);
    CPPUNIT_TEST(malformedDatagramsAreRejected);
    CPPUNIT_TEST(storedEntryRoundTrip);
    CPPUNIT_TEST(storedEntriesBeyondTheBoundsAreRejected);
    CPPUNIT_TEST(deeplyNestedDatagramsAreRejected);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{seconds(1000)};
    const WallTime m_wall{seconds(1'700'000'000)};

public:
    auto storedEntriesBeyondTheBoundsAreRejected() -> void
    {
        const auto isRead = [this](std::size_t traits, std::size_t observerBytes) {
            const Json document = {{"traits", std::vector<std::string>(traits, "ab")},
                                   {"until_ms", 1'700'000'009'000},
                                   {"crash_ms", 1'700'000'000'000},
                                   {"observer", std::string(observerBytes, 'x')}};
            return decodeStoredEntry(document.dump(), m_wall).has_value();
        };
        CPPUNIT_ASSERT(isRead(1, 0) && isRead(Quarantine::MaxTraits, 200));
        CPPUNIT_ASSERT(!isRead(Quarantine::MaxTraits + 1, 0) && !isRead(100'000, 0) && !isRead(1, 100'000) && !isRead(0, 0));
    }

    auto deeplyNestedDatagramsAreRejected() -> void
    {
        const std::string nested(8000, '\x91');
        CPPUNIT_ASSERT(!decodeQuarantine("Q" + nested + '\xc0', m_now));
        CPPUNIT_ASSERT(!decodeQuarantine("Q\x81\xa5" + ("extra" + nested) + '\xc0', m_now));
    }

    auto reportRoundTrip() -> void
    {
        QuarantineMessage message{"z1", {}};
        message.report.entries = {{{1, ~Fingerprint(0)}, seconds(600), {"e1@5", "e2@6"}, "vm0", milliseconds(40)}};
        message.report.crashes = {{"e1@5", "vm0", m_now - seconds(2), {{1, 2}, {3}}}};
        message.report.successes = {{9, seconds(1)}};
        const auto datagrams = encodeQuarantine(message, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), datagrams.size());
        const auto decoded = decodeQuarantine(datagrams.front(), m_now + seconds(5));
        CPPUNIT_ASSERT(decoded && decoded->place == "z1");
        const auto &entry = decoded->report.entries.at(0);
        CPPUNIT_ASSERT(entry.traits == (Traits{1, ~Fingerprint(0)}) && entry.remaining == Duration(seconds(600)));
        CPPUNIT_ASSERT(entry.upstreams.size() == 2 && entry.observer == "vm0" && entry.age == Duration(milliseconds(40)));
        const auto &crash = decoded->report.crashes.at(0);
        CPPUNIT_ASSERT(crash.upstream == "e1@5" && crash.at == m_now + seconds(3) && crash.requests == (std::vector<Traits>{{1, 2}, {3}}));
        CPPUNIT_ASSERT(decoded->report.successes.at(0).fingerprint == 9);
    }

    auto longReportsAreSplit() -> void
    {
        QuarantineMessage message{"z1", {}};
        for (Fingerprint number = 1; number <= 100; ++number) {
            message.report.crashes.push_back({fmt::format("e{}@1", number), "vm0", m_now, {{number}, {number + 1000}}});
        }
        std::size_t rows = 0;
        for (const auto &datagram : encodeQuarantine(message, m_now)) {
            CPPUNIT_ASSERT(datagram.size() < 1400);
            rows += decodeQuarantine(datagram, m_now)->report.crashes.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), rows);
        CPPUNIT_ASSERT(encodeQuarantine({"z1", {}}, m_now).empty());
    }

    auto malformedDatagramsAreRejected() -> void
    {
        CPPUNIT_ASSERT(!decodeQuarantine("Q", m_now));
        CPPUNIT_ASSERT(!decodeQuarantine("Qnot msgpack", m_now));
        CHECK_PROPERTY("damaged datagrams do not crash", [this](std::size_t position, char byte) {
            QuarantineMessage message{"z1", {}};
            message.report.entries = {{{1}, seconds(600), {"e1@5"}, "vm0", milliseconds(40)}};
            message.report.crashes = {{"e1@5", "vm0", m_now, {{1, 2}, {3}}}};
            auto bytes = encodeQuarantine(message, m_now).front();
            bytes[1 + position % (bytes.size() - 1)] = byte;
            const auto decoded = decodeQuarantine(bytes, m_now);
            RC_ASSERT(!decoded || decoded->report.entries.size() <= 1);
        });
    }

    auto storedEntryRoundTrip() -> void
    {
        const auto document = encodeStoredEntry({{1, 2}, seconds(600), {"e1@5"}, "vm0", seconds(1)}, m_wall);
        const auto entry = decodeStoredEntry(document, m_wall + seconds(100));
        CPPUNIT_ASSERT(entry && entry->traits == (Traits{1, 2}) && entry->remaining == Duration(seconds(500)));
        CPPUNIT_ASSERT(entry->age == Duration(seconds(101)) && entry->upstreams == std::vector<std::string>{"e1@5"});
        CPPUNIT_ASSERT(decodeStoredEntry(document, m_wall + seconds(700))->remaining == Duration::zero());
        for (const auto *bad :
             {"", "{}", R"({"traits":[],"until_ms":1,"crash_ms":1,"crashed":[]})", R"({"traits":"x","until_ms":1,"crash_ms":1})",
              R"({"traits":["zz"],"until_ms":1,"crash_ms":1,"crashed":[]})"}) {
            CPPUNIT_ASSERT(!decodeStoredEntry(bad, m_wall));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineMessageTest);
