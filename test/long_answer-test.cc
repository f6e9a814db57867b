#include "currantstack/peers.h"
#include "currantstack/store.h"

#include "check.h"
#include "unframed_server.h"

using namespace currantstack;

/// Guards against limits on the whole time of a call whose answer arrives steadily.
class LongAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongAnswerTest);
    CPPUNIT_TEST(readsOfTheStoreTakeAsLongAsTheirAnswersArrive);
    CPPUNIT_TEST(documentsOfPeersTakeAsLongAsTheyArrive);
    CPPUNIT_TEST(messagesToPeersKeepTheirLimit);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration Limit = milliseconds(300);
    static constexpr Duration Pause = milliseconds(20);

    Loop m_loop;
    HttpClient m_client{m_loop};
    Counters m_counters;
    SystemClock m_clock;
    Timeline m_timeline{m_clock, "vm0", 100};
    PeerAuth m_auth{"a secret of the peers", "vm0", m_clock};
    PeerClient m_peers{m_client, m_auth, m_timeline, m_counters};
    std::optional<bool> m_succeeded;

    auto run() -> bool
    {
        m_loop.after(seconds(10), [this]() { m_loop.stop(); });
        m_loop.run();
        CPPUNIT_ASSERT(m_succeeded.has_value());
        return *m_succeeded;
    }

    template<typename T>
    auto stopWith(const Result<T> &result) -> void
    {
        m_succeeded = result.has_value();
        m_loop.stop();
    }

public:
    auto readsOfTheStoreTakeAsLongAsTheirAnswersArrive() -> void
    {
        const std::string answer = R"({"header":{"revision":"7"},"kvs":[]})";
        CPPUNIT_ASSERT(Pause * answer.size() > 2 * Limit);
        UnframedServer server(answer, Pause);
        EtcdStore store(m_client, m_counters, {server.address()}, Limit, seconds(5));
        store.read("a", true, [this](const Result<StoreRange> &range) { stopWith(range); });
        CPPUNIT_ASSERT(run());
    }

    auto documentsOfPeersTakeAsLongAsTheyArrive() -> void
    {
        UnframedServer server(R"({"revision":7,"document":{"services":[]}})", Pause);
        m_peers.fetch(server.address(), "/peer/config", Json::object(), Limit, [this](const Result<Json> &reply) { stopWith(reply); });
        CPPUNIT_ASSERT(run());
    }

    auto messagesToPeersKeepTheirLimit() -> void
    {
        UnframedServer server(R"({"revision":7,"document":{"services":[]}})", Pause);
        m_peers.call(server.address(), "/peer/slot", Json::object(), Limit, [this](const Result<Json> &reply) { stopWith(reply); });
        CPPUNIT_ASSERT(!run());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongAnswerTest);
