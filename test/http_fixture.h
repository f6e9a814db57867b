// A server with its client, and raw connections to it, for tests.
#pragma once

#include "currantstack/http_client.h"
#include "currantstack/http_server.h"

#include "check.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <unistd.h>

namespace currantstack
{

inline constexpr Duration TestTimeout = seconds(5);

/// A server and a client on one event loop. `run` fails the test if the loop does not stop within `TestTimeout`.
struct HttpFixture
{
    Loop loop;
    HttpClient client{loop};
    std::unique_ptr<HttpServer> server;
    bool timedOut = false;

    explicit HttpFixture(HttpServer::Handler handler, std::size_t maxBody = 1000, MemoryBudget *memory = nullptr,
                         std::size_t maxHead = ServerOptions().maxHead)
    {
        ServerOptions options;
        options.maxBody = maxBody;
        options.maxHead = maxHead;
        options.memory = memory;
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
        timer->startOnce(TestTimeout);
        loop.run();
        CPPUNIT_ASSERT(!timedOut);
    }

    auto runFor(Duration time) -> void
    {
        loop.after(time, [this]() { loop.stop(); });
        loop.run();
    }

    auto post(const std::string &body) -> Result<HttpResponse>
    {
        HttpCall call;
        call.method = "POST";
        call.url = urlOf(address(), "/x?a=1&b=%20");
        call.body = body;
        return send(std::move(call));
    }

    auto send(HttpCall call) -> Result<HttpResponse>
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

/// Returns a connected socket, whose receive buffer has the size in bytes unless that is 0.
inline auto connectRaw(std::uint16_t port, int receiveBuffer = 0) -> int
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    return descriptor;
}

inline auto sendRaw(int descriptor, std::string_view text) -> void
{
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), send(descriptor, text.data(), text.size(), 0));
}

/// Returns the bytes that have arrived, at most about `limit`, and after them "closed" or "reset" if the connection has ended so.
inline auto receiveRaw(int descriptor, std::size_t limit = std::string::npos) -> std::string
{
    std::string text;
    std::array<char, 4096> buffer{};
    while (text.size() < limit) {
        const auto size = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size <= 0) {
            return size < 0 && errno == EAGAIN ? text : text + (size == 0 ? "closed" : "reset");
        }
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

} // namespace currantstack
