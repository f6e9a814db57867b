#include "store.h"

#include "../check.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace currantstack;
using namespace currantstack::platform;

namespace
{

/// Answers each request with status 200 and the body, without its length, and closes the connection in the ordinary way. Sends the body in
/// parts of one byte if there is a pause between them, and stops sending after `sentBytes`.
class UnframedStore
{
public:
    explicit UnframedStore(std::string body, Duration pause = Duration::zero(), std::size_t sentBytes = std::string::npos)
        : m_body(std::move(body))
        , m_pause(pause)
        , m_sentBytes(sentBytes)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        CPPUNIT_ASSERT_EQUAL(0, bind(m_listener, reinterpret_cast<const sockaddr *>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, listen(m_listener, 8));
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this]() { serve(); });
    }

    ~UnframedStore()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    UnframedStore(const UnframedStore &) = delete;
    auto operator=(const UnframedStore &) -> UnframedStore & = delete;

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    auto serve() -> void
    {
        for (int descriptor = accept(m_listener, nullptr, nullptr); descriptor >= 0; descriptor = accept(m_listener, nullptr, nullptr)) {
            std::array<char, 8192> request{};
            recv(descriptor, request.data(), request.size(), 0);
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
            send(descriptor, head.data(), head.size(), MSG_NOSIGNAL);
            const auto part = m_pause == Duration::zero() ? m_body.size() : 1;
            for (std::size_t sent = 0; sent < std::min(m_body.size(), m_sentBytes); sent += part) {
                std::this_thread::sleep_for(m_pause);
                send(descriptor, m_body.data() + sent, part, MSG_NOSIGNAL);
            }
            if (m_sentBytes >= m_body.size()) {
                ::shutdown(descriptor, SHUT_WR);
            }
            while (recv(descriptor, request.data(), request.size(), 0) > 0) { }
            ::close(descriptor);
        }
    }

    std::string m_body;
    Duration m_pause;
    std::size_t m_sentBytes;
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

using StoreCall = std::function<void(PlatformStore &, std::function<void(bool)>)>;

/// Makes one call and returns whether it succeeds.
auto succeeds(UnframedStore &server, const StoreCall &call) -> bool
{
    Loop loop;
    HttpClient client(loop);
    Counters counters;
    const SystemClock clock;
    PlatformStore store(loop, clock, client, counters, server.address());
    std::optional<bool> success;
    call(store, [&](bool isSuccess) {
        success = isSuccess;
        loop.stop();
    });
    loop.after(seconds(10), [&]() { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT(success.has_value());
    return *success;
}

auto succeeds(const std::string &body, const StoreCall &call) -> bool
{
    UnframedStore server(body);
    return succeeds(server, call);
}

/// Fails the test unless the call succeeds with the whole body and with no part of it.
auto checkParts(const std::string &body, const StoreCall &call) -> void
{
    for (std::size_t size = 0; size <= body.size(); ++size) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("with " + std::to_string(size) + " bytes of " + body, size == body.size(),
                                     succeeds(body.substr(0, size), call));
    }
}

const std::string Range = R"({"as_of":12,"has_more":false,"items":[{"key":"a","revision":7,"value":"YQ=="}]})";

auto readRange(PlatformStore &store, const std::function<void(bool)> &done) -> void
{
    store.read("a", false, [done](const Result<StoreRange> &range) { done(range.has_value()); });
}

auto watchOnce(PlatformStore &store, const std::function<void(bool)> &done) -> void
{
    store.watch(
        "a", 1, [done](std::span<const StoreEvent>, std::int64_t) { done(true); }, [done](const Error &) { done(false); });
}

} // namespace

/// Guards against a truncated answer of a store whose answers end with their connection, and against limits on an answer that arrives.
class PlatformStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformStoreTest);
    CPPUNIT_TEST(truncatedReadsFail);
    CPPUNIT_TEST(truncatedRangesFail);
    CPPUNIT_TEST(truncatedCommitsFail);
    CPPUNIT_TEST(truncatedLeasesFail);
    CPPUNIT_TEST(truncatedWatchesEnd);
    CPPUNIT_TEST(answersThatArriveSlowlyAreRead);
    CPPUNIT_TEST(answersThatStallFail);
    CPPUNIT_TEST_SUITE_END();

public:
    auto truncatedReadsFail() -> void
    {
        checkParts(R"({"as_of":12,"key":"a","revision":7,"value":"YQ=="})", [](PlatformStore &store, const auto &done) {
            store.read("a", true, [done](const Result<StoreRange> &range) { done(range.has_value()); });
        });
    }

    auto truncatedRangesFail() -> void
    {
        checkParts(Range, readRange);
    }

    auto truncatedCommitsFail() -> void
    {
        checkParts(R"({"revision":13})", [](PlatformStore &store, const auto &done) {
            store.commit({{}, {{"a", "b", 0}}, {}}, [done](const Result<StoreOutcome> &outcome) { done(outcome.has_value()); });
        });
    }

    auto truncatedLeasesFail() -> void
    {
        checkParts(R"({"lease":5,"ttl_ms":3000})", [](PlatformStore &store, const auto &done) {
            store.grantLease(seconds(3), [done](const Result<std::int64_t> &lease) { done(lease.has_value()); });
        });
    }

    auto truncatedWatchesEnd() -> void
    {
        checkParts(R"({"as_of":13,"events":[{"key":"a","revision":13,"value":"YQ=="}]})", watchOnce);
    }

    auto answersThatArriveSlowlyAreRead() -> void
    {
        const auto pause = milliseconds(30);
        CPPUNIT_ASSERT(pause * Range.size() > PlatformStore::CallTimeout && pause < PlatformStore::StallTimeout);
        UnframedStore server(Range, pause);
        CPPUNIT_ASSERT(succeeds(server, readRange));
        CPPUNIT_ASSERT(succeeds(server, watchOnce));
    }

    auto answersThatStallFail() -> void
    {
        UnframedStore server(Range, milliseconds(1), Range.size() / 2);
        const SystemClock clock;
        for (const auto &call : {StoreCall(readRange), StoreCall(watchOnce)}) {
            const auto begin = clock.now();
            CPPUNIT_ASSERT(!succeeds(server, call));
            CPPUNIT_ASSERT(clock.now() - begin < PlatformStore::StallTimeout + seconds(2));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformStoreTest);
