#include "currantstack/sse.h"

#include "check.h"

#include <vector>

using namespace currantstack;

class SseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SseTest);
    CPPUNIT_TEST(eventsDoNotDependOnChunking);
    CPPUNIT_TEST(ignoresCommentsAndOtherFields);
    CPPUNIT_TEST(rejectsOversizedEvents);
    CPPUNIT_TEST_SUITE_END();

public:
    auto eventsDoNotDependOnChunking() -> void
    {
        CHECK_PROPERTY("events do not depend on how the stream is split", [](const std::vector<std::uint8_t> &lengths) {
            std::string stream;
            std::vector<std::string> expected;
            for (int index = 0; index < 20; ++index) {
                expected.push_back("event " + std::to_string(index));
                stream += index % 3 == 0 ? "data: " + expected.back() + "\r\n\r\n" : formatEvent(expected.back());
            }
            EventStreamParser parser;
            std::vector<std::string> events;
            std::size_t offset = 0;
            for (std::size_t index = 0; offset < stream.size(); ++index) {
                const std::size_t length = lengths.empty() ? stream.size() : 1 + lengths[index % lengths.size()] % 40;
                parser.feed(std::string_view(stream).substr(offset, length),
                            [&events](std::string_view data) { events.emplace_back(data); });
                offset += length;
            }
            RC_ASSERT(events == expected);
        });
    }

    auto ignoresCommentsAndOtherFields() -> void
    {
        EventStreamParser parser;
        std::vector<std::string> events;
        parser.feed(": keep-alive\nid: 4\nevent: x\ndata: a\ndata: b\n\n\n\n",
                    [&events](std::string_view data) { events.emplace_back(data); });
        CPPUNIT_ASSERT((events == std::vector<std::string>{"a\nb"}));
    }

    auto rejectsOversizedEvents() -> void
    {
        EventStreamParser parser;
        const std::string oversized(EventStreamParser::MaxEventBytes + 10, 'x');
        CPPUNIT_ASSERT(!parser.feed(oversized, [](std::string_view) {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseTest);
