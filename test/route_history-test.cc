#include "currantstack/decisions/route_history.h"

#include "check.h"

using namespace currantstack;

class RouteHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteHistoryTest);
    CPPUNIT_TEST(replacedTablesAreFoundForTheirLifetime);
    CPPUNIT_TEST(routesOfAllTablesAreBounded);
    CPPUNIT_TEST_SUITE_END();

    ManualClock m_clock;

    static auto table(std::int64_t version, std::size_t routes = 1) -> std::shared_ptr<const RouteTable>
    {
        RouteTable result;
        result.version = version;
        result.routes.resize(routes);
        return std::make_shared<const RouteTable>(std::move(result));
    }

public:
    auto replacedTablesAreFoundForTheirLifetime() -> void
    {
        RouteHistory history;
        history.add(table(3), m_clock.now());
        history.add(table(8), m_clock.now());
        CPPUNIT_ASSERT(history.find(3)->version == 3);
        CPPUNIT_ASSERT(history.find(4) == nullptr);
        m_clock.advance(RouteHistory::Lifetime);
        history.expire(m_clock.now());
        CPPUNIT_ASSERT(history.find(3) == nullptr && history.find(8) == nullptr);
    }

    auto routesOfAllTablesAreBounded() -> void
    {
        RouteHistory history;
        history.add(table(1, RouteHistory::MaxRoutes), m_clock.now());
        CPPUNIT_ASSERT(history.find(1) != nullptr);
        history.add(table(2), m_clock.now());
        CPPUNIT_ASSERT(history.find(1) == nullptr && history.find(2) != nullptr);
        history.add(table(3, RouteHistory::MaxRoutes + 1), m_clock.now());
        CPPUNIT_ASSERT(history.find(2) == nullptr && history.find(3) == nullptr);
        for (int version = 10; version < 30; ++version) {
            history.add(table(version), m_clock.now());
        }
        CPPUNIT_ASSERT(history.find(29) != nullptr && history.find(21) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHistoryTest);
