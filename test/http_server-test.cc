#include "currantstack/http_server.h"

#include "currantstack/http_client.h"

#include "check.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace currantstack;

namespace
{

constexpr Duration Limit = seconds(5);

/// A server and a client on one loop; a test runs the loop until it is done or the limit passes.
struct Rig
{
    Loop loop;
    HttpClient client{loop};
    std::unique_ptr<HttpServer> server;
    bool timedOut = false;

    explicit Rig(HttpServer::Handler handler, std::size_t maxBody = 1000)
    {
        ServerOptions options;
        options.maxBody = maxBody;
        options.idleTimeout = 2;
        server = *HttpServer::open(loop, options, std::move(handler));
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(server->port());
    }

    auto run() -> void
    {
        const auto timer = loop.timer([this]() {
            timedOut = true;
            loop.stop();
        });
        timer->startOnce(Limit);
        loop.run();
        CPPUNIT_ASSERT(!timedOut);
    }

    auto post(const std::string &body) -> Result<HttpResponse>
    {
        HttpCall call;
        call.method = "POST";
        call.url = urlOf(address(), "/x?a=1&b=%20");
        call.body = body;
        return make(std::move(call));
    }

    auto make(HttpCall call) -> Result<HttpResponse>
    {
        Result<HttpResponse> result = fail(ErrorCode::Internal, "", "", "");
        HttpHandlers handlers;
        handlers.onDone = [&](Result<HttpResponse> response) {
            result = std::move(response);
            loop.stop();
        };
        client.start(std::move(call), std::move(handlers));
        run();
        return result;
    }
};

auto connectRaw(std::uint16_t port) -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    return descriptor;
}

auto sendRaw(int descriptor, std::string_view text) -> void
{
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), send(descriptor, text.data(), text.size(), 0));
}

} // namespace

class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(answersAtOnceAndLater);
    CPPUNIT_TEST(streamsInPieces);
    CPPUNIT_TEST(refusesLargeBodies);
    CPPUNIT_TEST(noticesACallerThatLeaves);
    CPPUNIT_TEST(survivesJunk);
    CPPUNIT_TEST(abortedStreamIsNoWholeAnswer);
    CPPUNIT_TEST(tellsThatNothingWasSent);
    CPPUNIT_TEST(silenceIsNoRefusal);
    CPPUNIT_TEST(namesAreNotResolved);
    CPPUNIT_TEST(idleCallEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    auto answersAtOnceAndLater() -> void
    {
        Rig rig([&rig](const ExchangePtr &exchange) {
            CPPUNIT_ASSERT_EQUAL(std::string(" "), std::string(exchange->request().argument("b")));
            if (exchange->request().body == "now") {
                return exchange->respond({200, {}, "at once"});
            }
            rig.loop.after(milliseconds(20), [exchange]() { exchange->respond({201, {}, "later"}); });
        });
        CPPUNIT_ASSERT_EQUAL(std::string("at once"), rig.post("now")->body);
        CPPUNIT_ASSERT_EQUAL(201, rig.post("wait")->status);
    }

    auto streamsInPieces() -> void
    {
        Rig rig([&rig](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            for (int piece = 0; piece < 50; ++piece) {
                rig.loop.after(milliseconds(piece), [exchange, piece]() {
                    exchange->write(std::to_string(piece) + ",");
                    if (piece == 49) {
                        exchange->end();
                    }
                });
            }
        });
        std::string expected;
        for (int piece = 0; piece < 50; ++piece) {
            expected += std::to_string(piece) + ",";
        }
        CPPUNIT_ASSERT_EQUAL(expected, rig.post("")->body);
    }

    auto refusesLargeBodies() -> void
    {
        Rig rig([](const ExchangePtr &exchange) { exchange->respond({200, {}, ""}); });
        CPPUNIT_ASSERT_EQUAL(413, rig.post(std::string(2000, 'x'))->status);
    }

    auto noticesACallerThatLeaves() -> void
    {
        ExchangePtr kept;
        Rig rig([&](const ExchangePtr &exchange) {
            kept = exchange; // never answered
            exchange->onDisconnect([&]() { rig.loop.stop(); });
        });
        const int descriptor = connectRaw(rig.server->port());
        sendRaw(descriptor, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        rig.loop.after(milliseconds(50), [descriptor]() { close(descriptor); });
        rig.run();
        CPPUNIT_ASSERT(kept && kept->isDisconnected());
    }

    auto survivesJunk() -> void
    {
        Rig rig([](const ExchangePtr &exchange) { exchange->respond({200, {}, "fine"}); });
        std::vector<int> descriptors;
        for (const auto *junk : {"\x01\x02\x03\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                                 "GET / HTTP/1.1\r\nHo", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
            descriptors.push_back(connectRaw(rig.server->port()));
            sendRaw(descriptors.back(), junk);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), rig.post("")->body);
        for (const int descriptor : descriptors) {
            close(descriptor);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("fine"), rig.post("")->body);
    }

    auto abortedStreamIsNoWholeAnswer() -> void
    {
        Rig rig([&rig](const ExchangePtr &exchange) {
            exchange->beginStream(200, {});
            exchange->write("half");
            rig.loop.after(milliseconds(20), [exchange]() { exchange->abort(); });
        });
        CPPUNIT_ASSERT(!rig.post(""));
    }

    auto tellsThatNothingWasSent() -> void
    {
        Rig rig([](const ExchangePtr &) {});
        rig.server.reset();
        HttpCall call;
        call.url = "http://127.0.0.1:1/";
        const auto result = rig.make(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unreachable);
        CPPUNIT_ASSERT(result.error().connectionRefused);
    }

    auto silenceIsNoRefusal() -> void
    {
        // A socket that listens but whose queue is full drops what comes; the address may be in use.
        const int silent = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        CPPUNIT_ASSERT_EQUAL(0, bind(silent, reinterpret_cast<const sockaddr *>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, listen(silent, 0));
        getsockname(silent, reinterpret_cast<sockaddr *>(&address), &length);
        Rig rig([](const ExchangePtr &) {});
        std::vector<int> fillers;
        for (int count = 0; count < 4; ++count) {
            fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            connect(fillers.back(), reinterpret_cast<const sockaddr *>(&address), length);
        }
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port)) + "/";
        call.connectTimeout = milliseconds(300);
        call.totalTimeout = milliseconds(600);
        const auto result = rig.make(std::move(call));
        CPPUNIT_ASSERT(!result && !result.error().connectionRefused);
        for (const int filler : fillers) {
            ::close(filler);
        }
        ::close(silent);
    }

    auto namesAreNotResolved() -> void
    {
        Rig rig([](const ExchangePtr &) {});
        HttpCall call;
        call.url = urlOf("", "/v1/kv/export"); // an empty address makes the path's first part the host
        const auto result = rig.make(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::Unreachable);
    }

    auto idleCallEnds() -> void
    {
        Rig rig([](const ExchangePtr &) {}); // never answers
        HttpCall call;
        call.url = urlOf(rig.address(), "/");
        call.idleTimeout = milliseconds(100);
        const auto result = rig.make(std::move(call));
        CPPUNIT_ASSERT(!result && result.error().code == ErrorCode::DeadlineExceeded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
