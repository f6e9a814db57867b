#include "http_fixture.h"

using namespace currantstack;

namespace
{

auto hasAnswer(std::string_view text, std::string_view status) -> bool
{
    return text.substr(0, 9 + status.size()) == "HTTP/1.1 " + std::string(status);
}

constexpr std::string_view SmallRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(respondsImmediatelyAndAsynchronously);
    CPPUNIT_TEST(streamsChunks);
    CPPUNIT_TEST(rejectsOversizedBodies);
    CPPUNIT_TEST(detectsClientDisconnect);
    CPPUNIT_TEST(survivesMalformedRequests);
    CPPUNIT_TEST(abortedStreamIsAnError);
    CPPUNIT_TEST(refusedConnectionIsUnreachable);
    CPPUNIT_TEST(connectTimeoutIsNotARefusedConnection);
    CPPUNIT_TEST(hostNamesAreRejected);
    CPPUNIT_TEST(idleCallTimesOut);
    CPPUNIT_TEST(tooLongResponsesFailTheCall);
    CPPUNIT_TEST(requestsThatAreUnreadWhenIdleConnectionsCloseAreAnswered);
    CPPUNIT_TEST(requestsThatHaveBegunWhenIdleConnectionsCloseAreAnswered);
    CPPUNIT_TEST(requestsOnNewConnectionsAreAnsweredWhenIdleOnesClose);
    CPPUNIT_TEST(quietConnectionsAreClosed);
    CPPUNIT_TEST(establishedConnectionsAreServedAfterTheServerStopsAccepting);
    CPPUNIT_TEST(stoppingServersCloseConnectionsAfterTheirResponses);
    CPPUNIT_TEST(longerIdleTimeoutsHoldForOpenConnections);
    CPPUNIT_TEST(shorterIdleTimeoutsDoNotCloseOnARequest);
    CPPUNIT_TEST(idleConnectionsCloseAfterTheirTimeout);
    CPPUNIT_TEST(slowHeadsAreCutOff);
    CPPUNIT_TEST(tooLongHeadsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    auto respondsImmediatelyAndAsynchronously() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            CPPUNIT_ASSERT_EQUAL(std::string(" "), std::string(exchange->request().argument("b")));
            if (exchange->request().body == "now") {
                return exchange->respond({200, {}, "at once"});
            }
            fixture.loop.after(milliseconds(20), [exchange]() { exchange->respond({201, {}, "later"}); });
        });
        CPPUNIT_ASSERT_EQUAL(std::string("at once"), fixture.post("now")->body);
        CPPUNIT_ASSERT_EQUAL(201, fixture.post("wait")->status);
    }

    auto streamsChunks() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            for (int chunk = 0; chunk < 50; ++chunk) {
                fixture.loop.after(milliseconds(chunk), [exchange, chunk]() {
                    exchange->write(std::to_string(chunk) + ",");
                    if (chunk == 49) {
                        exchange->end();
                    }
                });
            }
        });
        std::string expected;
        for (int chunk = 0; chunk < 50; ++chunk) {
            expected += std::to_string(chunk) + ",";
        }
        CPPUNIT_ASSERT_EQUAL(expected, fixture.post("")->body);
    }

    auto rejectsOversizedBodies() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        CPPUNIT_ASSERT_EQUAL(413, fixture.post(std::string(2000, 'x'))->status);
    }

    auto detectsClientDisconnect() -> void
    {
        ExchangePtr held;
        HttpFixture fixture([&](const ExchangePtr &exchange) {
            held = exchange; // never answered
            exchange->onDisconnect([&]() { fixture.loop.stop(); });
        });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        fixture.loop.after(milliseconds(50), [descriptor]() { close(descriptor); });
        fixture.run();
        CPPUNIT_ASSERT(held && held->isDisconnected());
    }

    auto survivesMalformedRequests() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, "fine"}); });
        std::vector<int> descriptors;
        for (const auto *malformed : {"\x01\x02\x03\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                                      "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
            descriptors.push_back(connectRaw(fixture.server->port()));
            sendRaw(descriptors.back(), malformed);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), fixture.post("")->body);
        for (const int descriptor : descriptors) {
            close(descriptor);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), fixture.post("")->body);
    }

    auto abortedStreamIsAnError() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("half");
            fixture.loop.after(milliseconds(20), [exchange]() { exchange->abort(); });
        });
        const auto result = fixture.post("");
        CPPUNIT_ASSERT(!result && result.error().connectionClosed);
    }

    auto refusedConnectionIsUnreachable() -> void
    {
        HttpFixture fixture([](const ExchangePtr &) {});
        fixture.server.reset();
        HttpCall call;
        call.url = "http://127.0.0.1:1/";
        const auto result = fixture.send(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unreachable);
        CPPUNIT_ASSERT(result.error().connectionRefused && !result.error().connectionClosed);
    }

    auto connectTimeoutIsNotARefusedConnection() -> void
    {
        // A listening socket whose backlog is full drops connection attempts without an answer. The client must not report this as a
        // refused connection, because the address may be in use.
        const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        CPPUNIT_ASSERT_EQUAL(0, bind(listener, reinterpret_cast<const sockaddr *>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, listen(listener, 0));
        getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
        HttpFixture fixture([](const ExchangePtr &) {});
        std::vector<int> backlog;
        for (int count = 0; count < 4; ++count) {
            backlog.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            connect(backlog.back(), reinterpret_cast<const sockaddr *>(&address), length);
        }
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
        call.connectTimeout = milliseconds(300);
        call.totalTimeout = milliseconds(600);
        const auto result = fixture.send(std::move(call));
        CPPUNIT_ASSERT(!result && !result.error().connectionRefused && !result.error().connectionClosed);
        for (const int descriptor : backlog) {
            ::close(descriptor);
        }
        ::close(listener);
    }

    auto tooLongResponsesFailTheCall() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) {
            exchange->respond({200, {{"X-Long", std::string(5000, 'h')}}, std::string(50000, 'b')});
        });
        const auto send = [&fixture](std::size_t maxHead, std::size_t maxBody) {
            HttpCall call;
            call.url = "http://127.0.0.1:" + std::to_string(fixture.server->port()) + "/";
            call.maxHead = maxHead;
            call.maxBody = maxBody;
            return fixture.send(std::move(call));
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(50000), send(6000, 50000)->body.size());
        const auto longHead = send(5000, 50000);
        CPPUNIT_ASSERT(!longHead && longHead.error().message == "the response head is too long");
        const auto longBody = send(6000, 49999);
        CPPUNIT_ASSERT(!longBody && longBody.error().code == ErrorCode::Unavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("the response body is too long"), longBody.error().message);
    }

    auto requestsThatAreUnreadWhenIdleConnectionsCloseAreAnswered() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({503, {}, "stopping"}); });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(500));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
        sendRaw(descriptor, SmallRequest);
        fixture.server->closeIdle();
        fixture.runFor(milliseconds(50));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
        close(descriptor);
    }

    auto requestsThatHaveBegunWhenIdleConnectionsCloseAreAnswered() -> void
    {
        for (const std::size_t begun : {1U, 8U, 20U}) {
            HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({503, {}, "stopping"}); });
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, SmallRequest);
            fixture.runFor(milliseconds(50));
            CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
            sendRaw(descriptor, SmallRequest.substr(0, begun));
            fixture.runFor(milliseconds(500));
            fixture.server->closeIdle();
            fixture.runFor(milliseconds(50));
            sendRaw(descriptor, SmallRequest.substr(begun));
            fixture.runFor(milliseconds(50));
            CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
            close(descriptor);
        }
    }

    auto requestsOnNewConnectionsAreAnsweredWhenIdleOnesClose() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({503, {}, "stopping"}); });
        const int descriptor = connectRaw(fixture.server->port());
        fixture.runFor(milliseconds(20));
        fixture.server->closeIdle();
        fixture.runFor(milliseconds(20));
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(50));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
        close(descriptor);
    }

    auto quietConnectionsAreClosed() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        const int used = connectRaw(fixture.server->port());
        const int unused = connectRaw(fixture.server->port());
        sendRaw(used, SmallRequest);
        fixture.runFor(milliseconds(500));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(used), "200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.server->connections());
        fixture.server->closeIdle();
        fixture.runFor(milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), receiveRaw(used));
        CPPUNIT_ASSERT_EQUAL(std::string("closed"), receiveRaw(unused));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.server->connections());
        close(used);
        close(unused);
    }

    auto establishedConnectionsAreServedAfterTheServerStopsAccepting() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({503, {}, "stopping"}); });
        std::vector<int> descriptors;
        for (int count = 0; count < 50; ++count) {
            descriptors.push_back(connectRaw(fixture.server->port()));
            sendRaw(descriptors.back(), SmallRequest);
        }
        fixture.server->quiesce();
        fixture.runFor(milliseconds(100));
        for (const int descriptor : descriptors) {
            CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "503"));
            close(descriptor);
        }
    }

    auto stoppingServersCloseConnectionsAfterTheirResponses() -> void
    {
        HttpFixture fixture([&fixture](const ExchangePtr &exchange) {
            if (exchange->request().path == "/stream") {
                exchange->beginStream(200, {});
                exchange->end();
                return;
            }
            exchange->respond({503, {}, "stopping"});
        });
        fixture.server->closeAfterResponses();
        for (const auto *path : {"/", "/stream"}) {
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, "GET " + std::string(path) + " HTTP/1.1\r\nHost: x\r\n\r\n");
            fixture.runFor(milliseconds(50));
            const auto text = receiveRaw(descriptor);
            CPPUNIT_ASSERT(text.find("Connection: close") != std::string::npos);
            CPPUNIT_ASSERT(text.ends_with("closed"));
            close(descriptor);
        }
    }

    auto longerIdleTimeoutsHoldForOpenConnections() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(50));
        fixture.server->setLimits({0, Duration::zero(), seconds(90)});
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "200"));
        fixture.runFor(milliseconds(4500));
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(50));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "200"));
        close(descriptor);
    }

    auto shorterIdleTimeoutsDoNotCloseOnARequest() -> void
    {
        ExchangePtr waiting;
        HttpFixture fixture([&waiting](const ExchangePtr &exchange) { waiting = exchange; });
        fixture.server->setLimits({0, Duration::zero(), seconds(4)});
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(50));
        fixture.server->setLimits({0, Duration::zero(), milliseconds(1)});
        fixture.runFor(milliseconds(2500));
        waiting->respond({200, {}, ""});
        fixture.runFor(milliseconds(2800));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "200"));
        sendRaw(descriptor, SmallRequest); // sent within the timeout that was in force when the first request was sent
        fixture.runFor(milliseconds(50));
        waiting->respond({200, {}, ""});
        fixture.runFor(milliseconds(50));
        CPPUNIT_ASSERT(hasAnswer(receiveRaw(descriptor), "200"));
        close(descriptor);
    }

    auto idleConnectionsCloseAfterTheirTimeout() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        fixture.server->setLimits({0, Duration::zero(), milliseconds(200)});
        const int descriptor = connectRaw(fixture.server->port());
        sendRaw(descriptor, SmallRequest);
        fixture.runFor(milliseconds(2500));
        const auto text = receiveRaw(descriptor);
        CPPUNIT_ASSERT(hasAnswer(text, "200") && text.ends_with("closed"));
        close(descriptor);
    }

    auto slowHeadsAreCutOff() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        fixture.server->setLimits({0, milliseconds(1500), seconds(60)});
        for (const std::size_t begun : {1U, 20U}) {
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, SmallRequest.substr(0, begun));
            fixture.runFor(milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL(std::string(), receiveRaw(descriptor));
            fixture.runFor(milliseconds(3000));
            CPPUNIT_ASSERT_EQUAL(std::string("closed"), receiveRaw(descriptor));
            close(descriptor);
        }
    }

    auto tooLongHeadsAreRejected() -> void
    {
        HttpFixture fixture([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        fixture.server->setLimits({1000, Duration::zero(), seconds(60)});
        const auto statusOf = [&fixture](std::size_t headSize) {
            const std::string start = "GET / HTTP/1.1\r\nHost: x\r\nX-Long: ";
            const int descriptor = connectRaw(fixture.server->port());
            sendRaw(descriptor, start + std::string(headSize - start.size() - 4, 'h') + "\r\n\r\n");
            fixture.runFor(milliseconds(50));
            const auto text = receiveRaw(descriptor);
            close(descriptor);
            return text.substr(9, 3);
        };
        CPPUNIT_ASSERT_EQUAL(std::string("200"), statusOf(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("431"), statusOf(1001));
        CPPUNIT_ASSERT_EQUAL(std::string("431"), statusOf(40000));
    }

    auto hostNamesAreRejected() -> void
    {
        HttpFixture fixture([](const ExchangePtr &) {});
        HttpCall call;
        call.url = urlOf("", "/v1/kv/export"); // with an empty address, the first path segment becomes the host
        const auto result = fixture.send(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unreachable);
    }

    auto idleCallTimesOut() -> void
    {
        HttpFixture fixture([](const ExchangePtr &) {}); // never answers
        HttpCall call;
        call.url = urlOf(fixture.address(), "/");
        call.idleTimeout = milliseconds(100);
        const auto result = fixture.send(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::DeadlineExceeded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
