// An HTTP server whose answers have no length, arrive slowly, or stall.
#pragma once

#include "check.h"
#include "currantstack/clock.h"

#include <arpa/inet.h>
#include <array>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace currantstack
{

/// Answers each request with status 200 and the body, without its length, and closes the connection in the ordinary way. Sends the body in
/// parts of one byte if there is a pause between them, and stops sending after `sentBytes`.
class UnframedServer
{
public:
    explicit UnframedServer(std::string body, Duration pause = Duration::zero(), std::size_t sentBytes = std::string::npos)
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

    ~UnframedServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }

    UnframedServer(const UnframedServer &) = delete;
    auto operator=(const UnframedServer &) -> UnframedServer & = delete;

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

} // namespace currantstack
