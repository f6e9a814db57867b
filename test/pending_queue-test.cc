#include "currantstack/edge/pending_queue.h"

#include "check.h"

using namespace currantstack;

class PendingQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PendingQueueTest);
    CPPUNIT_TEST(streamsBoundToAVersionArePlacedFirst);
    CPPUNIT_TEST(aWaitingVersionDoesNotBlockOthers);
    CPPUNIT_TEST_SUITE_END();

    Loop m_loop;
    PendingQueue m_queue{m_loop};
    std::string m_placed;

    auto enqueue(const QueueKey &key, std::string name, bool hasCapacity = true) -> void
    {
        m_queue.enqueue(key, false, [this, name = std::move(name), hasCapacity]() {
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingQueueTest);
