#include "currantstack/event_log.h"

#include "check.h"

#include <unistd.h>

using namespace currantstack;

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(linesAreJsonWithFixedKeys);
    CPPUNIT_TEST(linesBeyondTheRateAreCounted);
    CPPUNIT_TEST(evidenceOutlastsACrowdOfOtherLines);
    CPPUNIT_TEST(fullPipeDropsLinesWithoutBlocking);
    CPPUNIT_TEST(malformedUtf8IsReplaced);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;
    std::string m_written;

    auto sink() -> LogSink
    {
        return [this](std::string_view bytes) {
            m_written += bytes;
            return bytes.size();
        };
    }

    auto lines() const -> std::vector<nlohmann::json>
    {
        std::vector<nlohmann::json> result;
        std::istringstream stream(m_written);
        for (std::string line; std::getline(stream, line);) {
            result.push_back(nlohmann::json::parse(line));
        }
        return result;
    }

public:
    auto linesAreJsonWithFixedKeys() -> void
    {
        EventLog log(m_clock, "vm1", sink());
        log.write("part", "something", {{"request", "r1"}, {"age_ms", 1.5}});
        const auto all = lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), all.size());
        CPPUNIT_ASSERT_EQUAL(std::string("vm1"), all[0]["vm"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("something"), all[0]["event"].get<std::string>());
        CPPUNIT_ASSERT(all[0].contains("time_ms") && all[0].contains("part"));
    }

    auto linesBeyondTheRateAreCounted() -> void
    {
        EventLog log(m_clock, "vm1", sink());
        for (int line = 0; line < 5000; ++line) {
            log.write("part", "flood");
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(EventLog::BurstLines), lines().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5000 - EventLog::BurstLines), log.dropped());
        m_clock.advance(seconds(1));
        log.write("part", "after");
        const auto all = lines();
        const auto &report = all[all.size() - 2];
        CPPUNIT_ASSERT_EQUAL(std::string("lines_dropped"), report["event"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(5000 - static_cast<int>(EventLog::BurstLines), report["count"].get<int>());
    }

    // Load: thousands of requests fail while a VM learns what explains it.
    auto evidenceOutlastsACrowdOfOtherLines() -> void
    {
        EventLog log(m_clock, "vm1", sink());
        for (int line = 0; line < 5000; ++line) {
            log.write("part", "flood");
        }
        for (int line = 0; line < 1000; ++line) {
            log.writeEvidence("part", "learned");
        }
        const auto all = lines();
        const auto isEvidence = [](const auto &line) { return line["event"] == "learned"; };
        CPPUNIT_ASSERT_EQUAL(static_cast<std::ptrdiff_t>(EventLog::EvidenceBurst), std::count_if(all.begin(), all.end(), isEvidence));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(6000 - EventLog::BurstLines - EventLog::EvidenceBurst), log.dropped());
    }

    auto fullPipeDropsLinesWithoutBlocking() -> void
    {
        int ends[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
        EventLog log(m_clock, "vm1", descriptorSink(ends[1]));
        for (int round = 0; round < 100; ++round) {
            m_clock.advance(seconds(1));
            for (int line = 0; line < 300; ++line) {
                log.write("part", "event", {{"text", std::string(80, 'x')}}); // the pipe is not read
            }
        }
        CPPUNIT_ASSERT(log.dropped() > 0);
        std::string buffer(1U << 20U, '\0');
        CPPUNIT_ASSERT(read(ends[0], buffer.data(), buffer.size()) > 0);
        log.flush();
        CPPUNIT_ASSERT(read(ends[0], buffer.data(), buffer.size()) > 0);
        close(ends[0]);
        close(ends[1]);
    }

    auto malformedUtf8IsReplaced() -> void
    {
        EventLog log(m_clock, "vm1", sink());
        log.write("part", "event", {{"text", "\xff\xfe"}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
