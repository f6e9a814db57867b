#include "currantstack/sse.h"

#include "check.h"

#include <vector>

using namespace currantstack;

class SseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SseTest);
    CPPUNIT_TEST(anyPiecesGiveTheSameEvents);
    CPPUNIT_TEST(ignoresCommentsAndOtherFields);
    CPPUNIT_TEST(boundsAnEvent);
    CPPUNIT_TEST_SUITE_END();

public:
    auto anyPiecesGiveTheSameEvents() -> void
    {
        CHECK_PROPERTY("events do not depend on how the stream is cut", [](const std::vector<std::uint8_t> &cuts) {
            std::string stream;
            std::vector<std::string> expected;
            for (int index = 0; index < 20; ++index) {
                expected.push_back("event " + std::to_string(index));
                stream += index % 3 == 0 ? "data: " + expected.back() + "\r\n\r\n" : formatEvent(expected.back());
            }
            EventStreamParser parser;
            std::vector<std::string> seen;
            std::size_t at = 0;
            for (std::size_t turn = 0; at < stream.size(); ++turn) {
                const std::size_t length = cuts.empty() ? stream.size() : 1 + cuts[turn % cuts.size()] % 40;
                parser.feed(std::string_view(stream).substr(at, length), [&seen](std::string_view data) { seen.emplace_back(data); });
                at += length;
            }
            RC_ASSERT(seen == expected);
        });
    }

    auto ignoresCommentsAndOtherFields() -> void
    {
        EventStreamParser parser;
        std::vector<std::string> seen;
        parser.feed(": keep-alive\nid: 4\nevent: x\ndata: a\ndata: b\n\n\n\n", [&seen](std::string_view data) { seen.emplace_back(data); });
        CPPUNIT_ASSERT((seen == std::vector<std::string>{"a\nb"}));
    }

    auto boundsAnEvent() -> void
    {
        EventStreamParser parser;
        const std::string junk(EventStreamParser::MaxEvent + 10, 'x');
        CPPUNIT_ASSERT(!parser.feed(junk, [](std::string_view) {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SseTest);
