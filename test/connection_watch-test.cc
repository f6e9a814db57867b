#include "currantstack/connection_watch.h"

#include "check.h"

using namespace currantstack;
using namespace currantstack::detail;

namespace
{

constexpr ConnectionLimits Limits{seconds(3), seconds(10), seconds(60)};

/// One connection, checked after each step of time.
struct WatchFixture
{
    ManualClock clock;
    ConnectionLimits limits = Limits;
    ConnectionWatch watch{Limits, clock.now()};
    TcpProgress progress;

    auto isKept(Duration after, ConnectionPhase phase) -> bool
    {
        clock.advance(after);
        return watch.check(limits, phase, progress, clock.now()) == ConnectionVerdict::Keep;
    }
};

} // namespace

class ConnectionWatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionWatchTest);
    CPPUNIT_TEST(idleConnectionsAreKeptForAtLeastTheirTimeout);
    CPPUNIT_TEST(unreadBytesKeepAConnectionAfterAFreeze);
    CPPUNIT_TEST(waitingRequestsAreNeverCutOff);
    CPPUNIT_TEST(stalledTransfersAreCutOff);
    CPPUNIT_TEST(changedTimeoutsNeverShortenTheCurrentPause);
    CPPUNIT_TEST(changedTimeoutsNeverShortenAHead);
    CPPUNIT_TEST(headsThatBeginBeforeTheFirstLimitsAreCutOff);
    CPPUNIT_TEST_SUITE_END();

public:
    auto idleConnectionsAreKeptForAtLeastTheirTimeout() -> void
    {
        WatchFixture fixture;
        fixture.progress.received = 100;
        fixture.watch.onRequestEnd(fixture.progress, fixture.clock.now());
        CPPUNIT_ASSERT(fixture.isKept(seconds(1), ConnectionPhase::BetweenRequests));
        CPPUNIT_ASSERT(fixture.isKept(seconds(10), ConnectionPhase::BetweenRequests));
        CPPUNIT_ASSERT(!fixture.isKept(milliseconds(1), ConnectionPhase::BetweenRequests));
    }

    auto unreadBytesKeepAConnectionAfterAFreeze() -> void
    {
        for (const auto phase : {ConnectionPhase::BetweenRequests, ConnectionPhase::Head, ConnectionPhase::Transfer}) {
            WatchFixture fixture;
            fixture.progress.received = 10;
            CPPUNIT_ASSERT(fixture.isKept(milliseconds(1), phase));
            fixture.progress.unread = 5;
            CPPUNIT_ASSERT(fixture.isKept(seconds(100), phase));
        }
    }

    auto waitingRequestsAreNeverCutOff() -> void
    {
        WatchFixture fixture;
        fixture.progress.received = 100;
        CPPUNIT_ASSERT(fixture.isKept(seconds(1), ConnectionPhase::Waiting));
        CPPUNIT_ASSERT(fixture.isKept(seconds(1000), ConnectionPhase::Waiting));
        CPPUNIT_ASSERT(fixture.isKept(seconds(59), ConnectionPhase::Transfer));
    }

    auto stalledTransfersAreCutOff() -> void
    {
        WatchFixture fixture;
        fixture.progress.received = 100;
        for (int step = 0; step < 5; ++step) {
            fixture.progress.acknowledged += 10;
            CPPUNIT_ASSERT(fixture.isKept(seconds(50), ConnectionPhase::Transfer));
        }
        CPPUNIT_ASSERT(!fixture.isKept(seconds(61), ConnectionPhase::Transfer));
    }

    auto changedTimeoutsNeverShortenTheCurrentPause() -> void
    {
        WatchFixture fixture;
        fixture.watch.onRequest(Limits);
        for (const auto timeout : {seconds(1), seconds(20), seconds(2)}) {
            fixture.limits.idleTimeout = timeout;
            fixture.watch.onLimits(fixture.limits);
        }
        fixture.watch.onRequestEnd(fixture.progress, fixture.clock.now());
        CPPUNIT_ASSERT(fixture.isKept(seconds(20), ConnectionPhase::BetweenRequests));
        CPPUNIT_ASSERT(!fixture.isKept(seconds(1), ConnectionPhase::BetweenRequests));
        fixture.watch.onRequest(fixture.limits);
        fixture.watch.onRequestEnd(fixture.progress, fixture.clock.now());
        CPPUNIT_ASSERT(!fixture.isKept(seconds(3), ConnectionPhase::BetweenRequests));
    }

    auto changedTimeoutsNeverShortenAHead() -> void
    {
        WatchFixture fixture;
        fixture.progress.received = 10;
        CPPUNIT_ASSERT(fixture.isKept(milliseconds(1), ConnectionPhase::Head));
        fixture.limits.headTimeout = seconds(1);
        fixture.watch.onLimits(fixture.limits);
        CPPUNIT_ASSERT(fixture.isKept(seconds(3), ConnectionPhase::Head));
        CPPUNIT_ASSERT(!fixture.isKept(milliseconds(1), ConnectionPhase::Head));
    }

    auto headsThatBeginBeforeTheFirstLimitsAreCutOff() -> void
    {
        WatchFixture fixture;
        fixture.watch = ConnectionWatch({}, fixture.clock.now());
        fixture.limits = {};
        fixture.progress.received = 10;
        CPPUNIT_ASSERT(fixture.isKept(seconds(1), ConnectionPhase::Head));
        fixture.limits = Limits;
        fixture.watch.onLimits(Limits);
        CPPUNIT_ASSERT(fixture.isKept(seconds(3), ConnectionPhase::Head));
        CPPUNIT_ASSERT(!fixture.isKept(milliseconds(1), ConnectionPhase::Head));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionWatchTest);
