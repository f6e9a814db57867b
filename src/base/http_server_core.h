// The implementation of HttpServer: a libmicrohttpd daemon driven by the event loop.
#pragma once

#include "currantstack/connection_watch.h"
#include "currantstack/http_server.h"

#include <microhttpd.h>
#include <unordered_map>
#include <unordered_set>

namespace currantstack::detail
{

constexpr Duration CheckPeriod = seconds(1); // of the connections' limits

/// Returns the descriptor of the connection's socket.
auto descriptorOf(MHD_Connection *connection) -> int;

/// Returns the response as it is sent on a connection that ends after it.
auto encodeResponse(const HttpResponse &response) -> std::string;

/// Owns the libmicrohttpd daemon and its loop watchers. Exchanges hold weak references to it.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(Loop &loop, HttpServer::Handler handler, const ServerOptions &options)
        : m_loop(loop)
        , m_handler(std::move(handler))
        , m_maxBody(options.maxBody)
        , m_maxConnections(options.maxConnections)
        , m_onIdleClosed(options.onIdleClosed)
        , m_onStalledEvicted(options.onStalledEvicted)
        , m_strictFraming(options.strictFraming)
        , m_memory(options.memory)
        , m_checkHead(options.checkHead)
        , m_onMemoryShortage(options.onMemoryShortage)
        , m_bufferBytes(options.maxHead)
        , m_limits{Duration::zero(), seconds(options.idleTimeout), seconds(options.idleTimeout)}
    { }

    ~ServerCore()
    {
        close();
    }

    auto start(const ServerOptions &options) -> Result<void>;
    auto close() -> void;
    auto quiesce() -> void;

    /// Schedules one run of the daemon for the loop's next iteration.
    auto scheduleRun() -> void;

    auto loop() -> Loop &
    {
        return m_loop;
    }

    auto port() const -> std::uint16_t
    {
        return m_port;
    }

    auto closeIdle() -> void;
    auto refuseUnread(const HttpResponse &response) -> std::size_t;

    auto freeMemory(std::size_t bytes) -> void;

    auto closeAfterResponses() -> void
    {
        m_closesConnections = true;
    }

    auto setLimits(const ServerLimits &limits) -> void;

    auto connections() const -> std::size_t
    {
        return m_connections.size();
    }

    std::unordered_set<Exchange *> m_active; // requests in flight

private:
    static auto onConnection(void *context, MHD_Connection *connection, void **state, MHD_ConnectionNotificationCode code) -> void;
    static auto onTarget(void *context, const char *target, MHD_Connection *connection) -> void *;
    static auto onAccess(void *context, MHD_Connection *connection, const char *url, const char *method, const char *version,
                         const char *data, size_t *size, void **state) -> MHD_Result;
    static auto onCompleted(void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code) -> void;
    static auto onRead(void *context, std::uint64_t position, char *buffer, size_t size) -> ssize_t;
    static auto onReadable(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    auto readHead(Exchange &exchange, const char *method, const char *url) -> void;
    auto headError(const Exchange &exchange) const -> std::optional<HttpResponse>;
    auto reserveForRequest(Exchange &exchange) -> std::optional<MemoryShortage>;
    auto appendBody(Exchange &exchange, std::string_view data) -> std::optional<MemoryShortage>;
    auto refuseForMemory(Exchange &exchange, const MemoryShortage &shortage) -> MHD_Result;
    auto refuseBeforeBody(Exchange &exchange, HttpResponse response) -> MHD_Result;
    static auto respondUnread(Exchange &exchange, const HttpResponse &response) -> bool;
    auto isStalled(const Exchange &exchange, TimePoint now) const -> bool;
    auto evictUnread(TimePoint now) -> std::size_t;
    auto evictStalled(const Exchange *newcomer, const std::function<bool()> &isEnough) -> void;
    auto obtain(const Exchange &exchange, const std::function<bool()> &reserve) -> bool;
    auto accountConnections() -> void;
    auto connectionMemory() const -> std::size_t;
    auto holdBuffer(MHD_Connection *connection) -> bool;
    auto releaseBuffer(ConnectionWatch &watch) -> void;
    auto closeForBuffers(MHD_Connection *newcomer) -> void;
    auto mayBuffersExceedMemory() const -> bool;
    auto findArrivals() -> void;
    auto closeOverdue() -> void;
    auto mostConnections() const -> std::size_t;
    auto makeRoom() -> void;
    auto isClosedForReading(MHD_Connection *connection) const -> bool;
    auto closeForReading(MHD_Connection *connection, ConnectionWatch &watch) -> void;
    auto exchangesByConnection() const -> std::unordered_map<MHD_Connection *, Exchange *>;
    auto unusedConnections() const -> std::vector<std::pair<TimePoint, MHD_Connection *>>;
    auto queueResponse(Exchange &exchange) -> MHD_Result;
    auto run() -> void;

    Loop &m_loop;
    HttpServer::Handler m_handler;
    std::size_t m_maxBody;
    std::size_t m_maxConnections;
    std::function<void(std::size_t closed, std::size_t open)> m_onIdleClosed;
    std::function<void(std::size_t evicted)> m_onStalledEvicted;
    bool m_strictFraming;
    MemoryBudget *m_memory; // null: unlimited
    std::function<std::optional<HttpResponse>(const HttpRequest &request)> m_checkHead;
    std::function<HttpResponse(const HttpRequest &request, const MemoryShortage &shortage)> m_onMemoryShortage;
    MemoryGrant m_connectionMemory;
    std::size_t m_bufferBytes; // of one connection
    std::size_t m_buffers = 0; // connections that hold their buffer
    TimePoint m_nextBufferSearch; // for connections that can give way
    ConnectionLimits m_limits;
    std::size_t m_maxHead = 0; // bytes; 0: unlimited
    std::unordered_map<MHD_Connection *, ConnectionWatch> m_connections; // open connections
    SystemClock m_clock;
    MHD_Daemon *m_daemon = nullptr;
    ev_io m_io{};
    std::unique_ptr<Timer> m_timer;
    std::unique_ptr<Timer> m_checkTimer;
    std::unique_ptr<Timer> m_roomTimer;
    std::unique_ptr<Timer> m_arrivalTimer;
    std::uint16_t m_port = 0;
    bool m_runScheduled = false;
    bool m_roomScheduled = false;
    bool m_searchesArrivals = false;
    bool m_quiesced = false;
    bool m_closesConnections = false;
};

} // namespace currantstack::detail
