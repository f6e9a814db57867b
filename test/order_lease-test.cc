#include "currantstack/decisions/order_lease.h"

#include "check.h"

using namespace currantstack;

class OrderTermTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderTermTest);
    CPPUNIT_TEST(ordersWaitForThoseOfTheFormerHolder);
    CPPUNIT_TEST(ordersEndBeforeTheLease);
    CPPUNIT_TEST(renewalsCountFromWhenTheyWereSent);
    CPPUNIT_TEST(aFrozenHolderWakesUpWithoutOrders);
    CPPUNIT_TEST(noTwoHoldersOrderAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Ttl = seconds(5);
    static constexpr Duration Former = seconds(3);

    ManualClock m_clock;

public:
    auto ordersWaitForThoseOfTheFormerHolder() -> void
    {
        OrderLease term(seconds(60), Former);
        CPPUNIT_ASSERT(!term.fence(m_clock.now()));
        term.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(Former + OrderLease::SendMargin - milliseconds(1));
        CPPUNIT_ASSERT(!term.fence(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, term.fence(m_clock.now()).value());
        term.end();
        CPPUNIT_ASSERT(!term.fence(m_clock.now()) && !term.isHeld());
    }

    auto ordersEndBeforeTheLease() -> void
    {
        OrderLease term(Ttl, milliseconds(0));
        term.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(Ttl - OrderLease::SendMargin - milliseconds(1));
        CPPUNIT_ASSERT(term.fence(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(!term.fence(m_clock.now()));
        CPPUNIT_ASSERT(!term.mayHaveExpired(m_clock.now()));
        m_clock.advance(OrderLease::SendMargin);
        CPPUNIT_ASSERT(term.mayHaveExpired(m_clock.now()));
    }

    auto renewalsCountFromWhenTheyWereSent() -> void
    {
        OrderLease term(Ttl, milliseconds(0));
        term.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(seconds(2));
        const auto sentAt = m_clock.now();
        m_clock.advance(seconds(2)); // the answer comes late
        term.renew(sentAt);
        m_clock.advance(seconds(2) - milliseconds(1));
        CPPUNIT_ASSERT(term.fence(m_clock.now()));
        m_clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(!term.fence(m_clock.now()));
    }

    auto aFrozenHolderWakesUpWithoutOrders() -> void
    {
        OrderLease term(Ttl, milliseconds(0));
        term.begin(7, m_clock.now(), m_clock.now());
        m_clock.advance(seconds(60));
        CPPUNIT_ASSERT(!term.fence(m_clock.now()) && term.mayHaveExpired(m_clock.now()));
    }

    auto noTwoHoldersOrderAtOnce() -> void
    {
        CHECK_PROPERTY("a successor that wins once the lease has ended never orders together with the former holder", [] {
            ManualClock clock;
            OrderLease former(Ttl, Former);
            former.begin(1, clock.now(), clock.now());
            auto leaseEnd = clock.now() + Ttl;
            const auto renewals = *rc::gen::inRange(0, 4);
            for (int renewal = 0; renewal < renewals; ++renewal) {
                clock.advance(milliseconds(*rc::gen::inRange(0, 4999)));
                const auto sentAt = clock.now();
                clock.advance(milliseconds(*rc::gen::inRange(0, 3000))); // on the way there
                if (clock.now() >= leaseEnd) {
                    break;
                }
                leaseEnd = clock.now() + Ttl;
                former.renew(sentAt);
            }
            clock.advance(std::max<Duration>(leaseEnd - clock.now(), Duration::zero()));
            OrderLease successor(Ttl, Former);
            successor.begin(2, clock.now(), clock.now());
            for (int step = 0; step < 100; ++step) {
                RC_ASSERT(!(former.fence(clock.now()) && successor.fence(clock.now())));
                RC_ASSERT(!former.fence(clock.now()));
                clock.advance(milliseconds(100));
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderTermTest);
