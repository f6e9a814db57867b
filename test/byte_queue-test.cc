#include "currantstack/byte_queue.h"

#include "check.h"

using namespace currantstack;

class ByteQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ByteQueueTest);
    CPPUNIT_TEST(bytesAreReadInOrder);
    CPPUNIT_TEST(readBytesAreNotHeld);
    CPPUNIT_TEST_SUITE_END();

public:
    auto bytesAreReadInOrder() -> void
    {
        CHECK_PROPERTY("what is read are the bytes that were appended, and memory stays close to their number", []() {
            ByteQueue queue;
            std::string appended;
            std::string received;
            const auto steps = *rc::gen::inRange(0, 60);
            for (int step = 0; step < steps; ++step) {
                const auto size = *rc::gen::inRange<std::size_t>(0, 20'000);
                if (*rc::gen::arbitrary<bool>()) {
                    const std::string part(size, static_cast<char>('a' + step % 26));
                    queue.append(part);
                    appended += part;
                } else {
                    std::string buffer(size, ' ');
                    received += buffer.substr(0, queue.read(buffer.data(), size));
                }
                RC_ASSERT(queue.size() == appended.size() - received.size());
                RC_ASSERT(queue.heldBytes() <= queue.size() + 3 * ByteQueue::BlockBytes);
            }
            RC_ASSERT(appended.starts_with(received));
        });
    }

    /// A caller that reads slowly, but never all, must not make the queue keep what it has read.
    auto readBytesAreNotHeld() -> void
    {
        ByteQueue queue;
        std::string buffer(1000, ' ');
        queue.append(std::string(100, 'x'));
        for (int step = 0; step < 10'000; ++step) {
            queue.append(buffer);
            queue.read(buffer.data(), buffer.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), queue.size());
        CPPUNIT_ASSERT(queue.heldBytes() <= 2 * ByteQueue::BlockBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteQueueTest);
