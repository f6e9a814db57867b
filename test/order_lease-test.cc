#include "currantstack/decisions/order_lease.h"

#include "check.h"

using namespace currantstack;

class OrderLeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderLeaseTest);
    CPPUNIT_TEST(ordersWaitForThePredecessorsLease);
    CPPUNIT_TEST(ordersStopBeforeTheLeaseExpires);
    CPPUNIT_TEST(renewalsCountFromTheirRequest);
    CPPUNIT_TEST(aSuspendedHolderMaySendNoOrders);
    CPPUNIT_TEST(twoHoldersNeverSendOrdersAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Ttl = seconds(5);
    static constexpr Duration PredecessorLease = seconds(3);

    ManualClock m_clock;

public:
    auto ordersWaitForThePredecessorsLease() -> void
    {
        OrderLease lease(seconds(60), PredecessorLease);
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()));
        lease.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(PredecessorLease + OrderLease::SendMargin - milliseconds(1));
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, lease.fencingToken(m_clock.now()).value());
        lease.end();
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()) && !lease.isHeld());
    }

    auto ordersStopBeforeTheLeaseExpires() -> void
    {
        OrderLease lease(Ttl, milliseconds(0));
        lease.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(Ttl - OrderLease::SendMargin - milliseconds(1));
        CPPUNIT_ASSERT(lease.fencingToken(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()));
        CPPUNIT_ASSERT(!lease.mayHaveExpired(m_clock.now()));
        m_clock.advance(OrderLease::SendMargin);
        CPPUNIT_ASSERT(lease.mayHaveExpired(m_clock.now()));
    }

    auto renewalsCountFromTheirRequest() -> void
    {
        OrderLease lease(Ttl, milliseconds(0));
        lease.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(seconds(2));
        const auto requestedAt = m_clock.now();
        m_clock.advance(seconds(2)); // the answer is delayed
        lease.renew(requestedAt);
        m_clock.advance(seconds(2) - milliseconds(1));
        CPPUNIT_ASSERT(lease.fencingToken(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()));
    }

    auto aSuspendedHolderMaySendNoOrders() -> void
    {
        OrderLease lease(Ttl, milliseconds(0));
        lease.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(seconds(60));
        CPPUNIT_ASSERT(!lease.fencingToken(m_clock.now()) && lease.mayHaveExpired(m_clock.now()));
    }

    auto twoHoldersNeverSendOrdersAtOnce() -> void
    {
        CHECK_PROPERTY("a successor that acquires the key after the lease expired never sends orders together with its predecessor", [] {
            ManualClock clock;
            OrderLease predecessor(Ttl, PredecessorLease);
            predecessor.begin(1, clock.now(), clock.now());
            auto leaseEnd = clock.now() + Ttl;
            const auto renewals = *rc::gen::inRange(0, 4);
            for (int renewal = 0; renewal < renewals; ++renewal) {
                clock.advance(milliseconds(*rc::gen::inRange(0, 4999)));
                const auto requestedAt = clock.now();
                clock.advance(milliseconds(*rc::gen::inRange(0, 3000))); // until the store receives it
                if (clock.now() >= leaseEnd) {
                    break;
                }
                leaseEnd = clock.now() + Ttl;
                predecessor.renew(requestedAt);
            }
            clock.advance(std::max<Duration>(leaseEnd - clock.now(), Duration::zero()));
            OrderLease successor(Ttl, PredecessorLease);
            successor.begin(2, clock.now(), clock.now());
            for (int step = 0; step < 100; ++step) {
                RC_ASSERT(!(predecessor.fencingToken(clock.now()) && successor.fencingToken(clock.now())));
                RC_ASSERT(!predecessor.fencingToken(clock.now()));
                clock.advance(milliseconds(100));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderLeaseTest);
