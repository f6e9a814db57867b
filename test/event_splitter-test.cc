#include "currantstack/edge/event_splitter.h"

#include "check.h"

using namespace currantstack;

class EventSplitterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSplitterTest);
    CPPUNIT_TEST(eventsDoNotDependOnChunking);
    CPPUNIT_TEST(incompleteEventsAreNotForwarded);
    CPPUNIT_TEST(idsAreParsed);
    CPPUNIT_TEST(oversizedEventsAreRejected);
    CPPUNIT_TEST(blankLinesAndCommentsAreEmptyEvents);
    CPPUNIT_TEST(fieldsWithoutDataAndIdTakeNoPlaceAmongTheEvents);
    CPPUNIT_TEST_SUITE_END();

    struct FeedResult
    {
        std::string bytes;
        std::vector<std::optional<std::int64_t>> ids;
        bool hasPartial = false;
        bool accepted = true;
    };

    static auto feed(const std::vector<std::string> &chunks) -> FeedResult
    {
        FeedResult result;
        EventSplitter splitter;
        for (const auto &chunk : chunks) {
            result.accepted = result.accepted && splitter.feed(chunk, [&result](const RawEvent &event) {
                result.bytes += event.bytes;
                result.ids.push_back(event.id);
            });
        }
        result.hasPartial = splitter.hasPartial();
        return result;
    }

public:
    auto blankLinesAndCommentsAreEmptyEvents() -> void
    {
        std::vector<bool> empty;
        EventSplitter splitter;
        splitter.feed("\n: comment\n\r\n\nid: 1\n\n: comment\ndata: x\n\n",
                      [&empty](const RawEvent &event) { empty.push_back(event.isEmpty); });
        CPPUNIT_ASSERT(empty == (std::vector<bool>{true, true, true, false, false}));
    }

    // The event after a reconnection time or a change of the weights' version is dropped as a repetition.
    auto fieldsWithoutDataAndIdTakeNoPlaceAmongTheEvents() -> void
    {
        std::vector<bool> empty;
        EventSplitter splitter;
        splitter.feed("retry: 3000\n\nevent: ping\r\n\r\nweight-versions: 2\n\ndataset: x\n\nid: 1\n\nevent: x\ndata\n\n: x\ndata:\n\n",
                      [&empty](const RawEvent &event) { empty.push_back(event.isEmpty); });
        CPPUNIT_ASSERT(empty == (std::vector<bool>{true, true, true, true, false, false, false}));
    }

    auto eventsDoNotDependOnChunking() -> void
    {
        CHECK_PROPERTY("events do not depend on the chunks in which their bytes arrive", [] {
            std::string stream;
            const auto count = *rc::gen::inRange(0, 8);
            const auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
            for (int number = 1; number <= count; ++number) {
                stream +=
                    "id: " + std::to_string(number) + lineEnd + "data: " + std::string(*rc::gen::inRange(0, 30), 'x') + lineEnd + lineEnd;
            }
            std::vector<std::string> chunks;
            for (std::size_t start = 0; start < stream.size();) {
                const auto length = *rc::gen::inRange<std::size_t>(1, 12);
                chunks.push_back(stream.substr(start, length));
                start += length;
            }
            const auto result = feed(chunks);
            RC_ASSERT(result.bytes == stream);
            RC_ASSERT(result.ids.size() == static_cast<std::size_t>(count));
            RC_ASSERT(!result.hasPartial);
        });
    }

    auto incompleteEventsAreNotForwarded() -> void
    {
        const auto result = feed({"id: 1\ndata: a\n\n", "id: 2\ndata: b\n"});
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), result.bytes);
        CPPUNIT_ASSERT(result.hasPartial);
    }

    auto idsAreParsed() -> void
    {
        const auto result = feed({"id:7\r\n\r\ndata: x\n\nid: x\n\nweight-versions: 3\nid: 12\ndata: y\n\n"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), result.ids.size());
        CPPUNIT_ASSERT(result.ids[0] == 7);
        CPPUNIT_ASSERT(!result.ids[1] && !result.ids[2]);
        CPPUNIT_ASSERT(result.ids[3] == 12);
    }

    auto oversizedEventsAreRejected() -> void
    {
        CPPUNIT_ASSERT(!feed({std::string(EventSplitter::MaxEventBytes + 1, 'x')}).accepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);
