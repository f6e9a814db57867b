// An HTTP server for the event loop, built on libmicrohttpd.
#pragma once

#include "currantstack/byte_queue.h"
#include "currantstack/decisions/memory_budget.h"
#include "currantstack/http.h"
#include "currantstack/loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

struct MHD_Connection;
struct MHD_Daemon;

namespace currantstack
{

namespace detail
{
class ServerCore;
} // namespace detail

/// A request and its response. The response is sent either by `respond`, or by `beginStream`, `write` and `end`.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::weak_ptr<detail::ServerCore> core, MHD_Connection *connection);
    ~Exchange();

    auto request() const -> const HttpRequest &
    {
        return m_request;
    }

    /// Returns the request's body, which stays valid as long as the pointer.
    auto sharedBody() -> std::shared_ptr<const std::string>
    {
        return {shared_from_this(), &m_request.body};
    }

    /// Removes the header from the request and returns its value, or an empty text if there is none.
    auto takeHeader(std::string_view name) -> std::string;

    /// Returns the IPv4 address of the caller.
    auto callerIp() const -> std::string;

    /// Sends the complete response. Ignored if a response has been started.
    auto respond(HttpResponse response) -> void;

    /// Sends the response head; the body follows with `write`. Closing the server aborts streams that have not ended. A caller that does
    /// not accept chunks takes the end of the connection for the end of the body, so it sees a reset if the body is incomplete.
    auto beginStream(int status, Headers headers) -> void;
    auto write(std::string_view data) -> void;
    auto end() -> void;

    /// Closes the connection without completing the response, so that the caller can detect the truncation.
    auto abort() -> void;

    /// Sets the callback that runs once if the caller disconnects before the response is complete.
    auto onDisconnect(std::function<void()> callback) -> void;

    /// Sets the callback that runs once, with the status, when the response begins.
    auto onResponse(std::function<void(int status)> callback) -> void
    {
        m_onResponse = std::move(callback);
    }

    /// Sets the callback that runs if the caller ends its sending direction before the response has begun. It may have closed the
    /// connection as well, which only sending to it can tell. The callback returns whether the response is still to be sent; without one,
    /// the caller counts as disconnected.
    auto onEndOfInput(std::function<bool()> callback) -> void;

    auto isDisconnected() const -> bool
    {
        return m_disconnected;
    }

    auto isAnswered() const -> bool
    {
        return m_answered;
    }

    /// Returns the number of body bytes written but not yet passed to the connection.
    auto pendingBytes() const -> std::size_t
    {
        return m_pending.size();
    }

    /// Returns whether more bytes wait for the caller than `limit` or the free memory allows.
    auto hasBacklog(std::size_t limit) const -> bool;

private:
    friend class detail::ServerCore;

    struct DisconnectWatcher;
    auto handleDisconnect() -> void;
    auto survivesEndOfInput() -> bool;
    auto reportResponse(int status) -> void;
    auto markCompleted() -> void;
    auto endsWithConnection() const -> bool;
    auto setResetOnClose(bool isOn) -> void;
    auto resetUnlessFramed() -> void;
    auto resume() -> void;
    auto watchForDisconnect() -> void;

    std::weak_ptr<detail::ServerCore> m_core;
    MHD_Connection *m_connection;
    HttpRequest m_request;
    HttpResponse m_response;
    ByteQueue m_pending;
    MemoryGrant m_requestMemory;
    MemoryGrant m_bodyMemory;
    MemoryGrant m_backlogMemory; // of `m_pending`
    std::function<void()> m_onDisconnect;
    std::function<bool()> m_onEndOfInput;
    std::function<void(int status)> m_onResponse;
    std::unique_ptr<DisconnectWatcher> m_watcher;
    TimePoint m_bodyProgressAt; // when the body was last seen to make progress
    std::size_t m_newBodyBytes = 0; // that have arrived since
    bool m_bodyTooLarge = false;
    bool m_lacksBuffer = false; // there is no memory for the connection's buffer, so the connection is closed
    bool m_headRead = false;
    bool m_acceptsChunks = false;
    bool m_dispatched = false;
    bool m_refusedUnread = false; // answered while the body was arriving; what still arrives is ignored
    bool m_suspended = false;
    bool m_answered = false;
    bool m_streaming = false;
    bool m_responseQueued = false;
    bool m_ended = false;
    bool m_aborted = false;
    bool m_disconnected = false;
    bool m_completed = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Limits on callers that may change while the server runs. A duration of zero is no limit.
struct ServerLimits
{
    std::size_t maxHead = 0; // bytes; requests with a longer head get status 431; 0: only limited by `ServerOptions::maxHead`
    Duration headTimeout = Duration::zero(); // from the first byte of a request to the end of its head
    Duration idleTimeout = Duration::zero(); // between two requests; never closed sooner unless connections run out
};

struct ServerOptions
{
    std::string address = "127.0.0.1"; // IPv4 address
    std::uint16_t port = 0; // 0 selects a free port
    std::size_t maxBody = 8U << 20; // bytes; requests with a larger body get status 413
    std::size_t maxHead = 64U << 10; // bytes; memory limit of a connection, including the request's head
    unsigned maxConnections = 20000; // before they run out, those that have been idle for the longest are closed
    unsigned idleTimeout = 60; // seconds without activity until a connection is closed; 0: unlimited
    bool strictFraming = false; // responds with 400 to a request whose body length is ambiguous
    std::function<void(std::size_t closed, std::size_t open)> onIdleClosed; // runs when idle connections are closed to make room
    std::function<void(std::size_t evicted)> onStalledEvicted; // runs when stalled requests are ended in favour of others
    MemoryBudget *memory = nullptr; // shared with the process's other users, outlives the server; null: unlimited
    /// Returns the response to a request that is refused by its head, before its body is read, or nothing.
    std::function<std::optional<HttpResponse>(const HttpRequest &request)> checkHead;
    /// Returns the response to a request for which there is no memory. It must not have side effects on the server.
    std::function<HttpResponse(const HttpRequest &request, const MemoryShortage &shortage)> onMemoryShortage;
};

/// Listens on one address and calls the handler for each request once its body is complete.
class HttpServer
{
public:
    using Handler = std::function<void(const ExchangePtr &)>;

    static auto open(Loop &loop, const ServerOptions &options, Handler handler) -> Result<std::unique_ptr<HttpServer>>;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    auto port() const -> std::uint16_t;

    /// Stops accepting connections, except those that are already established; open connections stay usable.
    auto quiesce() -> void;

    /// Closes the connections that have no request in flight and on which none has begun to arrive.
    auto closeIdle() -> void;

    /// Answers the requests whose body has not arrived completely and ends their connections for writing, so that their callers need not
    /// guess whether they were read. What still arrives is ignored. Returns their number.
    auto refuseUnread(const HttpResponse &response) -> std::size_t;

    /// Closes each connection after its next response, which tells the caller.
    auto closeAfterResponses() -> void;

    /// Ends requests that stand still and responses that nobody reads, until the memory has room for this many bytes of an answer.
    auto freeMemory(std::size_t bytes) -> void;

    /// Sets the limits. Open connections get longer timeouts at once and shorter ones from their next request.
    auto setLimits(const ServerLimits &limits) -> void;

    /// Returns the number of requests in flight.
    auto active() const -> std::size_t;

    /// Returns the number of open connections.
    auto connections() const -> std::size_t;

private:
    explicit HttpServer(std::shared_ptr<detail::ServerCore> core);
    std::shared_ptr<detail::ServerCore> m_core;
};

} // namespace currantstack
