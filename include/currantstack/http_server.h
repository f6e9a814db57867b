// An HTTP server on libmicrohttpd that runs inside the event loop.
#pragma once

#include "currantstack/http.h"
#include "currantstack/loop.h"

#include <cstdint>
#include <memory>

struct MHD_Connection;
struct MHD_Daemon;

namespace currantstack
{

namespace detail
{
class ServerCore;
} // namespace detail

/// One request being answered. It is answered once: by `respond`, or by `beginStream`, `write` and `end`.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<detail::ServerCore> core, MHD_Connection *connection);
    ~Exchange();

    auto request() const -> const HttpRequest &
    {
        return m_request;
    }

    /// Sends the whole response. Later calls are ignored.
    auto respond(HttpResponse response) -> void;

    /// Sends the head; the body follows by `write`. A stream that is dropped without `end` breaks the connection.
    auto beginStream(int status, Headers headers) -> void;
    auto write(std::string_view data) -> void;
    auto end() -> void;

    /// Breaks the connection, so that the caller does not take a part for the whole.
    auto abort() -> void;

    /// Sets the hook that runs once when the caller goes away before the answer is complete.
    auto onDisconnect(std::function<void()> hook) -> void;

    auto isDisconnected() const -> bool
    {
        return m_gone;
    }

    auto isAnswered() const -> bool
    {
        return m_answered;
    }

    /// Returns the bytes that were written but not yet taken by the connection.
    auto pendingBytes() const -> std::size_t
    {
        return m_pending.size() - m_pendingOffset;
    }

private:
    friend class detail::ServerCore;

    struct Watcher;
    auto noteGone() -> void;
    auto release() -> void;
    auto wake() -> void;
    auto watchCaller() -> void;

    std::weak_ptr<detail::ServerCore> m_core;
    MHD_Connection *m_connection;
    HttpRequest m_request;
    HttpResponse m_response;
    std::string m_pending;
    std::size_t m_pendingOffset = 0;
    std::function<void()> m_onGone;
    std::unique_ptr<Watcher> m_watcher;
    bool m_bodyTooLarge = false;
    bool m_headRead = false;
    bool m_dispatched = false;
    bool m_suspended = false;
    bool m_answered = false;
    bool m_streaming = false;
    bool m_queued = false;
    bool m_ended = false;
    bool m_aborted = false;
    bool m_gone = false;
    bool m_completed = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerOptions
{
    std::string address = "127.0.0.1"; // IP number
    std::uint16_t port = 0; // 0 takes any free port
    std::size_t maxBody = 8U << 20; // bytes; a larger body is answered with 413
    std::size_t maxHead = 64U << 10; // bytes of memory for a request's head
    unsigned maxConnections = 20000;
    unsigned idleTimeout = 60; // seconds until a connection without progress is closed
    bool strictFraming = false; // answers 400 to a request whose body's length is ambiguous
};

/// Listens on one address and hands each whole request to the handler.
class HttpServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;

    static auto open(Loop &loop, const ServerOptions &options, Handler handler) -> Result<std::unique_ptr<HttpServer>>;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    auto port() const -> std::uint16_t;

    /// Stops taking new connections; the open ones go on.
    auto quiesce() -> void;

    /// Closes the connections on which no request is under way.
    auto closeIdle() -> void;

    /// Changes how long new requests' connections may stay without progress; `limit` is rounded up to seconds.
    auto setIdleTimeout(Duration limit) -> void;

    /// Returns how many requests are being answered.
    auto active() const -> std::size_t;

private:
    explicit HttpServer(std::shared_ptr<detail::ServerCore> core);
    std::shared_ptr<detail::ServerCore> m_core;
};

} // namespace currantstack
