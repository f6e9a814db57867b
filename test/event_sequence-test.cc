#include "currantstack/decisions/event_sequence.h"
#include "currantstack/edge/event_splitter.h"

#include "check.h"

#include <fmt/format.h>
#include <limits>
#include <vector>

using namespace currantstack;

class EventSequenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventSequenceTest);
    CPPUNIT_TEST(consecutiveIdsFollowOneAnother);
    CPPUNIT_TEST(eventsWithoutAnIdTakeNoId);
    CPPUNIT_TEST(eventsWithoutAnIdBetweenReceivedOnesAreReceived);
    CPPUNIT_TEST(firstIdIsArbitrary);
    CPPUNIT_TEST(eventsOfAnEarlierRunAreReceived);
    CPPUNIT_TEST(lowerIdInOneRunIsARegression);
    CPPUNIT_TEST(skippedIdIsAGap);
    CPPUNIT_TEST(zeroIsAnIdLikeOthers);
    CPPUNIT_TEST(extremeIdsAreOrdered);
    CPPUNIT_TEST(whatIsPassedOnIncreases);
    CPPUNIT_TEST(soundRunsLeaveNoGap);
    CPPUNIT_TEST(completeStreamsHaveEachPieceOnce);
    CPPUNIT_TEST_SUITE_END();

    static auto event(std::int64_t id, const std::string &lineEnd, bool isCounted) -> std::string
    {
        const auto before = *rc::gen::element<std::string>("", "", ": comment\n\n", "retry: 3000\r\n\r\n", "weight-versions: 2\n\n");
        const auto between = isCounted || *rc::gen::inRange(0, 4) > 0 ? "" : "event: ping\ndata\n\n";
        const auto first = *rc::gen::element<std::string>(": comment", "weight-versions: 2", "retry: 10");
        const auto idLine = isCounted && *rc::gen::arbitrary<bool>() ? ": no id" : fmt::format("id: {}", id);
        return fmt::format("{}{}{}{}{}{}data: {};{}{}", before, between, first, lineEnd, idLine, lineEnd, id, lineEnd, lineEnd);
    }

public:
    auto consecutiveIdsFollowOneAnother() -> void
    {
        EventSequence sequence(std::nullopt);
        for (int id = 1; id <= 5; ++id) {
            CPPUNIT_ASSERT(sequence.onEvent(id) == EventPlace::Next);
        }
        CPPUNIT_ASSERT(sequence.lastId() == 5 && sequence.isPositionKnown() && sequence.gaps() == 0);
    }

    // The event after one without an id is dropped as a repetition, or a run is asked for what follows an event that it has not sent.
    auto eventsWithoutAnIdTakeNoId() -> void
    {
        for (const std::int64_t next : {6, 7, 8}) {
            EventSequence sequence(5);
            CPPUNIT_ASSERT(sequence.onEvent(std::nullopt) == EventPlace::Next);
            CPPUNIT_ASSERT(sequence.lastId() == 5 && !sequence.isPositionKnown());
            CPPUNIT_ASSERT_MESSAGE("its id may have been left out",
                                   sequence.onEvent(next) == (next < 8 ? EventPlace::Next : EventPlace::Gap));
            CPPUNIT_ASSERT((next == 8 || sequence.lastId() == next) && sequence.isPositionKnown() == (next < 8));
        }
        EventSequence first(std::nullopt);
        CPPUNIT_ASSERT(first.onEvent(std::nullopt) == EventPlace::Next && !first.lastId());
        CPPUNIT_ASSERT(first.onEvent(0) == EventPlace::Next && first.onEvent(0) == EventPlace::Repeated);
    }

    auto eventsWithoutAnIdBetweenReceivedOnesAreReceived() -> void
    {
        EventSequence sequence(2);
        sequence.beginRun();
        const std::vector<std::optional<std::int64_t>> run = {1, std::nullopt, 2, std::nullopt, 3};
        const std::vector<EventPlace> places = {EventPlace::Received, EventPlace::Received, EventPlace::Received, EventPlace::Next,
                                                EventPlace::Next};
        for (std::size_t index = 0; index < run.size(); ++index) {
            CPPUNIT_ASSERT(sequence.onEvent(run[index]) == places[index]);
        }
    }

    auto firstIdIsArbitrary() -> void
    {
        EventSequence fromZero(std::nullopt);
        CPPUNIT_ASSERT(fromZero.onEvent(0) == EventPlace::Next && fromZero.onEvent(1) == EventPlace::Next);
        EventSequence fromNine(std::nullopt);
        CPPUNIT_ASSERT(fromNine.onEvent(9) == EventPlace::Next && fromNine.gaps() == 0);
    }

    auto eventsOfAnEarlierRunAreReceived() -> void
    {
        EventSequence sequence(3);
        sequence.beginRun();
        for (int id = 1; id <= 3; ++id) {
            CPPUNIT_ASSERT(sequence.onEvent(id) == EventPlace::Received);
        }
        CPPUNIT_ASSERT(sequence.onEvent(4) == EventPlace::Next);
        CPPUNIT_ASSERT(sequence.onEvent(4) == EventPlace::Repeated);
        CPPUNIT_ASSERT(sequence.lastId() == 4 && sequence.dropped() == 4);
    }

    auto lowerIdInOneRunIsARegression() -> void
    {
        EventSequence sequence(std::nullopt);
        for (int id = 1; id <= 6; ++id) {
            sequence.onEvent(id);
        }
        CPPUNIT_ASSERT(sequence.onEvent(3) == EventPlace::Regressed);
        CPPUNIT_ASSERT(sequence.lastId() == 6);
    }

    auto skippedIdIsAGap() -> void
    {
        EventSequence sequence(5);
        sequence.beginRun();
        CPPUNIT_ASSERT(sequence.onEvent(8) == EventPlace::Gap);
        CPPUNIT_ASSERT_MESSAGE("the run may be given up", sequence.lastId() == 5 && sequence.gaps() == 0);
        sequence.passGap(8);
        CPPUNIT_ASSERT(sequence.lastId() == 8 && sequence.gaps() == 1);
        CPPUNIT_ASSERT(sequence.onEvent(7) == EventPlace::Regressed);
        CPPUNIT_ASSERT_MESSAGE("one event is missing", sequence.onEvent(10) == EventPlace::Gap);
    }

    auto zeroIsAnIdLikeOthers() -> void
    {
        EventSequence sequence(0);
        sequence.beginRun();
        CPPUNIT_ASSERT(sequence.onEvent(0) == EventPlace::Received && sequence.onEvent(1) == EventPlace::Next);
        EventSequence none(std::nullopt);
        CPPUNIT_ASSERT(none.onEvent(0) == EventPlace::Next && none.onEvent(0) == EventPlace::Repeated);
    }

    auto extremeIdsAreOrdered() -> void
    {
        constexpr auto Lowest = std::numeric_limits<std::int64_t>::min();
        constexpr auto Highest = std::numeric_limits<std::int64_t>::max();
        EventSequence sequence(std::nullopt);
        CPPUNIT_ASSERT(sequence.onEvent(Lowest) == EventPlace::Next && sequence.onEvent(Highest) == EventPlace::Gap);
        sequence.passGap(Highest);
        CPPUNIT_ASSERT(sequence.onEvent(std::nullopt) == EventPlace::Next && sequence.lastId() == Highest);
        CPPUNIT_ASSERT(sequence.onEvent(Lowest) == EventPlace::Regressed);
    }

    // A piece comes twice, or an earlier one follows a later one.
    auto whatIsPassedOnIncreases() -> void
    {
        using Run = std::vector<std::pair<bool, std::int64_t>>; // whether the event has an id, and which
        CHECK_PROPERTY("strictly increasing", [](const std::vector<Run> &runs, bool passesGaps) {
            EventSequence sequence(std::nullopt);
            std::optional<std::int64_t> last;
            for (const auto &run : runs) {
                sequence.beginRun();
                for (const auto &[hasId, id] : run) {
                    const auto place = sequence.onEvent(hasId ? std::make_optional(id) : std::nullopt);
                    if (place == EventPlace::Regressed || (place == EventPlace::Gap && !passesGaps)) {
                        RC_ASSERT(sequence.lastId() == last);
                        break;
                    }
                    if (place == EventPlace::Gap) {
                        sequence.passGap(id);
                    }
                    const bool isPassed = place == EventPlace::Next || place == EventPlace::Gap;
                    RC_ASSERT((isPassed && hasId ? sequence.lastId() == id && (!last || id > *last) : sequence.lastId() == last));
                    RC_ASSERT((!isPassed || sequence.isPositionKnown() == hasId));
                    last = sequence.lastId();
                }
            }
        });
    }

    // A piece is missing although each run sent all from the one that it was asked for.
    auto soundRunsLeaveNoGap() -> void
    {
        CHECK_PROPERTY("consecutive", [](bool fromZero) {
            const std::int64_t firstId = fromZero ? 0 : 1;
            const auto runs =
                *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
            EventSequence sequence(std::nullopt);
            std::vector<std::int64_t> passed;
            for (const auto &[again, count] : runs) {
                sequence.beginRun();
                const auto next = sequence.lastId() ? *sequence.lastId() + 1 : firstId;
                const auto begin = std::max(firstId, next - again);
                for (auto id = begin; id < next + count; ++id) {
                    const auto place = sequence.onEvent(id);
                    RC_ASSERT(place == (id < next ? EventPlace::Received : EventPlace::Next));
                    if (place == EventPlace::Next) {
                        passed.push_back(id);
                        RC_ASSERT(sequence.onEvent(id) == EventPlace::Repeated);
                    }
                }
            }
            for (std::size_t index = 0; index < passed.size(); ++index) {
                RC_ASSERT(passed[index] == firstId + static_cast<std::int64_t>(index));
            }
        });
    }

    // A piece is missing or comes twice in a stream that ends as complete, although each run goes on where it was asked to.
    auto completeStreamsHaveEachPieceOnce() -> void
    {
        CHECK_PROPERTY("in order and whole", []() {
            const std::int64_t firstId = *rc::gen::element(0, 1, 7);
            const std::int64_t end = firstId + *rc::gen::inRange(1, 9);
            const auto lineEnd = *rc::gen::element<std::string>("\n", "\r\n");
            const bool isCounted = *rc::gen::arbitrary<bool>(); // whether an event without an id has a place among the ids
            EventSequence sequence(std::nullopt);
            std::string received;
            for (int runs = *rc::gen::inRange(1, 5); runs > 0 && sequence.isPositionKnown(); --runs) {
                std::string run;
                std::string all;
                const auto next = sequence.lastId() ? *sequence.lastId() + 1 : firstId;
                const auto begin = std::max(firstId, next - *rc::gen::inRange(0, 3));
                for (auto id = firstId; id < end; ++id) {
                    all += fmt::format("data: {}", id);
                    run += id < begin ? "" : id < next ? fmt::format("id: {}\ndata: {};\n\n", id, id) : event(id, lineEnd, isCounted);
                }
                run.resize(runs == 1 ? run.size() : *rc::gen::inRange<std::size_t>(0, run.size() + 1));
                EventSplitter splitter;
                sequence.beginRun();
                for (std::size_t size = 0; !run.empty(); run.erase(0, size)) {
                    size = *rc::gen::inRange<std::size_t>(1, 30);
                    splitter.feed(std::string_view(run).substr(0, size), [&](const RawEvent &event) {
                        const bool isPassed = !event.isEmpty && sequence.onEvent(event.id) == EventPlace::Next;
                        const auto data = std::min(event.bytes.find("data: "), event.bytes.size());
                        received += isPassed ? event.bytes.substr(data, event.bytes.find(';') - data) : "";
                    });
                }
                RC_ASSERT((runs == 1 ? received == all : all.starts_with(received)));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventSequenceTest);
