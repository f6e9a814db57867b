#include "currantstack/http_client.h"

#include "check.h"

#include <arpa/inet.h>
#include <array>
#include <fmt/format.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace currantstack;

namespace
{

constexpr Duration TestTimeout = seconds(5);

/// Accepts connections one after the other, answers the first request of each with the given bytes, and closes it.
class RawServer
{
public:
    explicit RawServer(std::vector<std::string> answers)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CPPUNIT_ASSERT_EQUAL(0, bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address));
        CPPUNIT_ASSERT_EQUAL(0, listen(m_socket, 8));
        getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, answers = std::move(answers)]() {
            for (const auto &answer : answers) {
                serve(answer);
            }
        });
    }

    ~RawServer()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    RawServer(const RawServer &) = delete;
    auto operator=(const RawServer &) -> RawServer & = delete;

    auto address() const -> std::string
    {
        return fmt::format("127.0.0.1:{}", m_port);
    }

    auto url() const -> std::string
    {
        return urlOf(address(), "/x");
    }

    /// Accepts a connection of a server without answers.
    auto acceptNext() const -> int
    {
        return accept(m_socket, nullptr, nullptr);
    }

    /// Has accepted connections hold little of what is sent to them.
    auto limitReceiveBuffer() const -> void
    {
        constexpr int Bytes = 2048;
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
    }

    /// Accepts a connection of a server without answers, and closes it.
    auto closeNext() const -> void
    {
        close(accept(m_socket, nullptr, nullptr));
    }

private:
    auto serve(const std::string &answer) const -> void
    {
        const int connection = accept(m_socket, nullptr, nullptr);
        std::array<char, 4096> buffer{};
        if (connection >= 0 && read(connection, buffer.data(), buffer.size()) > 0) {
            (void)!write(connection, answer.data(), answer.size());
        }
        close(connection);
    }

    int m_socket;
    int m_port = 0;
    std::thread m_thread;
};

/// The calls of one test. Its loop ends the test if a call takes too long.
struct ClientFixture
{
    Loop loop;
    HttpClient client{loop};
    int heads = 0; // delivered to the handlers
    bool timedOut = false;

    auto get(const std::string &url) -> Result<HttpResponse>
    {
        HttpCall call;
        call.url = url;
        call.useOwnConnection();
        return send(std::move(call));
    }

    auto send(HttpCall call) -> Result<HttpResponse>
    {
        Result<HttpResponse> result = fail(ErrorCode::Internal, "", "", "");
        HttpHandlers handlers;
        handlers.onHead = [this](int /*status*/, const Headers & /*headers*/) { ++heads; };
        handlers.onDone = [&](Result<HttpResponse> response) {
            result = std::move(response);
            loop.stop();
        };
        const auto timer = loop.timer([this]() {
            timedOut = true;
            loop.stop();
        });
        timer->startOnce(TestTimeout);
        client.start(std::move(call), std::move(handlers));
        loop.run();
        CPPUNIT_ASSERT(!timedOut);
        return result;
    }
};

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(responsesThatEndInsideTheirHeadAreErrors);
    CPPUNIT_TEST(responsesThatEndInsideTheirBodyAreErrors);
    CPPUNIT_TEST(ambiguousBodyLengthsAreErrors);
    CPPUNIT_TEST(unreadableBodyLengthsAreErrors);
    CPPUNIT_TEST(statusesThatAreNoneAreErrors);
    CPPUNIT_TEST(completeResponsesAreDelivered);
    CPPUNIT_TEST(closeBeforeTheRequestIsReceivedEndsNoResponse);
    CPPUNIT_TEST(connectionsThatStayOpenAreReported);
    CPPUNIT_TEST(acceptedConnectionsThatAreClosedOrResetAreErrors);
    CPPUNIT_TEST(openConnectionsOfCancelledCallsAreNotReported);
    CPPUNIT_TEST(connectionsThatAreClosedBehindBytesAreErrors);
    CPPUNIT_TEST(observedConnectionsAreClosedWithTheirCall);
    CPPUNIT_TEST(clientMayEndWhileItObservesAConnection);
    CPPUNIT_TEST_SUITE_END();

    static auto assertBroken(const std::string &answer, int headsAllowed) -> void
    {
        const RawServer server({answer});
        ClientFixture fixture;
        const auto result = fixture.get(server.url());
        const auto text = fmt::format("{} was taken as complete", answer);
        CPPUNIT_ASSERT_MESSAGE(text, !result);
        CPPUNIT_ASSERT_MESSAGE(text, result.error().code == ErrorCode::Unavailable);
        CPPUNIT_ASSERT_MESSAGE(text, fixture.heads <= headsAllowed);
        CPPUNIT_ASSERT_MESSAGE(text, result.error().answerBegun == (answer.find('\n') != std::string::npos));
    }

public:
    /// Guards against success, or a promise that nothing ran, that is read out of half a head.
    auto responsesThatEndInsideTheirHeadAreErrors() -> void
    {
        const std::vector<std::string> heads = {
            "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nServer-Stamp: s\r\nContent-Length: 20\r\n\r\n",
            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nRetry-After: 1\r\n\r\n",
            "HTTP/1.1 204 X\r\nRequest-Id: r\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\n",
        };
        for (const auto &head : heads) {
            for (std::size_t length = 0; length < head.size() - 1; ++length) {
                assertBroken(head.substr(0, length), 0);
            }
        }
    }

    auto responsesThatEndInsideTheirBodyAreErrors() -> void
    {
        assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", 1);
        const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        for (std::size_t length = chunked.find("\r\n\r\n") + 4; length < chunked.size() - 4; ++length) {
            assertBroken(chunked.substr(0, length), 1);
        }
    }

    auto ambiguousBodyLengthsAreErrors() -> void
    {
        assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nabc", 0);
        assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 0);
    }

    // A part of an answer counts as the whole because its length cannot be read.
    auto unreadableBodyLengthsAreErrors() -> void
    {
        for (const auto *length : {"99999999999999999999", "0x3", "3x", "3,4", "3, 3", "+3", "-3", "", "x"}) {
            assertBroken(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\nabc", length), 0);
        }
    }

    auto statusesThatAreNoneAreErrors() -> void
    {
        for (const auto *line : {"HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999", "HTTP/1.1 200X"}) {
            assertBroken(fmt::format("{}\r\nContent-Length: 3\r\n\r\nabc", line), 0);
        }
    }

    // A part of a response counts as the whole because its end is read before the reset which says that the request was not received.
    auto closeBeforeTheRequestIsReceivedEndsNoResponse() -> void
    {
        constexpr std::size_t Longer = 8U << 20; // than the buffers of the system
        constexpr std::size_t Short = 8U << 10; // which the client's buffer holds
        for (const auto size : {Longer, Short}) {
            for (const auto &[head, isWhole] : {std::pair("HTTP/1.1 200 OK\r\n\r\n", false), {"HTTP/1.1 413 X\r\n\r\n", true}}) {
                const RawServer server({});
                server.limitReceiveBuffer();
                ClientFixture fixture;
                int connection = -1;
                fixture.loop.after(milliseconds(20), [&, text = std::string(head) + "abc"]() {
                    connection = server.acceptNext();
                    (void)!write(connection, text.data(), text.size());
                    shutdown(connection, SHUT_WR);
                });
                HttpCall call;
                call.method = "POST";
                call.url = server.url();
                call.body = std::string(size, 'u');
                const auto result = fixture.send(std::move(call));
                close(connection);
                CPPUNIT_ASSERT_MESSAGE(head, result.has_value() == isWhole);
                CPPUNIT_ASSERT_MESSAGE(head, isWhole || (result.error().connectionClosed && result.error().answerBegun));
            }
        }
    }

    auto completeResponsesAreDelivered() -> void
    {
        const std::vector<std::pair<std::string, std::string>> answers = {
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc"},
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc"},
            {"HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end"},
            {"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc", "abc"},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
            {"HTTP/1.1 503 X\r\nNot-Run: 1\r\n\r\n", ""},
        };
        for (const auto &[answer, body] : answers) {
            const RawServer server({answer});
            ClientFixture fixture;
            const auto result = fixture.get(server.url());
            CPPUNIT_ASSERT_MESSAGE(answer, result && result->body == body && fixture.heads == 1);
        }
    }

    auto connectionsThatStayOpenAreReported() -> void
    {
        const RawServer server({});
        ClientFixture fixture;
        const auto call = connectOnlyCall(server.address(), TestTimeout);
        const auto begunAt = SystemClock().now();
        CPPUNIT_ASSERT(fixture.send(call));
        CPPUNIT_ASSERT(SystemClock().now() - begunAt >= call.openTime);
    }

    auto acceptedConnectionsThatAreClosedOrResetAreErrors() -> void
    {
        for (const bool isReset : {false, true}) {
            auto server = std::make_unique<RawServer>(std::vector<std::string>());
            ClientFixture fixture;
            fixture.loop.after(milliseconds(20), [&server, isReset]() {
                if (isReset) {
                    server.reset(); // so is each connection that it has not accepted
                } else {
                    server->closeNext();
                }
            });
            const auto result = fixture.send(connectOnlyCall(server->address(), TestTimeout));
            CPPUNIT_ASSERT(!result && result.error().connectionClosed && !result.error().connectionRefused);
            CPPUNIT_ASSERT(result.error().code == ErrorCode::Unreachable);
        }
    }

    auto openConnectionsOfCancelledCallsAreNotReported() -> void
    {
        const RawServer server({});
        ClientFixture fixture;
        auto call = connectOnlyCall(server.address(), TestTimeout);
        bool isDone = false;
        HttpHandlers handlers;
        handlers.onDone = [&isDone](const Result<HttpResponse> & /*result*/) { isDone = true; };
        const auto id = fixture.client.start(call, std::move(handlers));
        fixture.loop.after(call.openTime / 2, [&]() { fixture.client.cancel(id); });
        fixture.loop.after(call.openTime * 2, [&]() { fixture.loop.stop(); });
        fixture.loop.run();
        CPPUNIT_ASSERT(!isDone && fixture.client.active() == 0);
    }

    auto connectionsThatAreClosedBehindBytesAreErrors() -> void
    {
        const RawServer server({});
        ClientFixture fixture;
        fixture.loop.after(milliseconds(20), [&server]() {
            const int connection = server.acceptNext();
            (void)!write(connection, "HTTP/1.1 503 X\r\n\r\n", 18);
            close(connection);
        });
        const auto result = fixture.send(connectOnlyCall(server.address(), TestTimeout));
        CPPUNIT_ASSERT(!result && result.error().connectionClosed);
    }

    auto observedConnectionsAreClosedWithTheirCall() -> void
    {
        const RawServer server({});
        ClientFixture fixture;
        int connection = -1;
        fixture.loop.after(milliseconds(20), [&]() { connection = server.acceptNext(); });
        CPPUNIT_ASSERT(fixture.send(connectOnlyCall(server.address(), TestTimeout)));
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t{0}, recv(connection, &byte, 1, MSG_DONTWAIT));
        close(connection);
    }

    auto clientMayEndWhileItObservesAConnection() -> void
    {
        const RawServer server({});
        Loop loop;
        auto client = std::make_unique<HttpClient>(loop);
        bool isDone = false;
        HttpHandlers handlers;
        handlers.onDone = [&isDone](const Result<HttpResponse> & /*result*/) { isDone = true; };
        client->start(connectOnlyCall(server.address(), TestTimeout), std::move(handlers));
        loop.after(milliseconds(50), [&client]() { client.reset(); });
        loop.after(milliseconds(200), [&loop]() { loop.stop(); });
        loop.run();
        CPPUNIT_ASSERT(!isDone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
