#include "currantstack/edge/pending_queue.h"

#include "check.h"

using namespace currantstack;

class PendingQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PendingQueueTest);
    CPPUNIT_TEST(streamsBoundToAVersionArePlacedFirst);
    CPPUNIT_TEST(aWaitingVersionDoesNotBlockOthers);
    CPPUNIT_TEST(higherRanksArePlacedFirst);
    CPPUNIT_TEST(streamsThatWerePlacedBeforeGoFirst);
    CPPUNIT_TEST(aNewcomerKnowsWhetherItIsNext);
    CPPUNIT_TEST(theLongestWaitIsOfThoseAhead);
    CPPUNIT_TEST_SUITE_END();

    Loop m_loop;
    ManualClock m_clock;
    PendingQueue m_queue{m_loop, m_clock};
    std::string m_placed;

    auto enqueue(const QueueKey &key, std::string name, bool hasCapacity = true, const WaitingStream &stream = {}) -> void
    {
        m_queue.enqueue(key, stream, [this, name = std::move(name), hasCapacity](bool /*isTurn*/) {
            m_placed += hasCapacity ? name : "";
            return hasCapacity;
        });
    }

public:
    auto streamsBoundToAVersionArePlacedFirst() -> void
    {
        enqueue({"llm", AnySoftwareVersion}, "a");
        enqueue({"llm", 9}, "b");
        enqueue({"llm", 4}, "c");
        m_queue.retryHeads();
        CPPUNIT_ASSERT_EQUAL(std::string("cba"), m_placed);
    }

    auto aWaitingVersionDoesNotBlockOthers() -> void
    {
        enqueue({"llm", 9}, "b", false);
        enqueue({"llm", 4}, "c");
        enqueue({"llm", AnySoftwareVersion}, "a");
        m_queue.retryHeads();
        CPPUNIT_ASSERT_EQUAL(std::string("ca"), m_placed);
        CPPUNIT_ASSERT(m_queue.isEmpty({"llm", 4}) && !m_queue.isEmpty({"llm", 9}));
    }

    auto higherRanksArePlacedFirst() -> void
    {
        enqueue({"llm"}, "low", true, {2});
        enqueue({"llm"}, "high", true, {0});
        m_queue.retryHeads();
        CPPUNIT_ASSERT_EQUAL(std::string("highlow"), m_placed);
    }

    auto streamsThatWerePlacedBeforeGoFirst() -> void
    {
        enqueue({"llm"}, "new", true, {0});
        enqueue({"llm"}, "begun", true, {2, {}, {}, true});
        m_queue.retryHeads();
        CPPUNIT_ASSERT_EQUAL(std::string("begunnew"), m_placed);
    }

    auto aNewcomerKnowsWhetherItIsNext() -> void
    {
        CPPUNIT_ASSERT(m_queue.wouldBeNext({"llm"}, {2}));
        enqueue({"llm"}, "waiting", false, {1});
        CPPUNIT_ASSERT(m_queue.wouldBeNext({"llm"}, {0}));
        CPPUNIT_ASSERT(!m_queue.wouldBeNext({"llm"}, {2}));
    }

    auto theLongestWaitIsOfThoseAhead() -> void
    {
        const auto now = m_clock.now();
        enqueue({"llm"}, "high", false, {0, now - milliseconds(100), now + seconds(1)});
        enqueue({"llm"}, "low", false, {2, now - milliseconds(900), now + seconds(1)});
        enqueue({"llm"}, "late", false, {2, now - seconds(5), now - seconds(1)});
        CPPUNIT_ASSERT(m_queue.longestWait({"llm"}, 0) == Duration(milliseconds(100)));
        CPPUNIT_ASSERT(m_queue.longestWait({"llm"}, 2) == Duration(milliseconds(900)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingQueueTest);
