#include "http_server_core.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantstack::detail
{

namespace
{

constexpr int MaxAcceptRounds = 200; // of the daemon, each of which accepts several connections

auto openListenSocket(const ServerOptions &options) -> Result<int>
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    const auto endpoint = fmt::format("{}:{}", options.address, options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return fail(ErrorCode::BadInput, "listen", endpoint, "the address is not an IPv4 address");
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(descriptor, 1024) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        return fail(ErrorCode::Unavailable, "listen", endpoint, reason);
    }
    return descriptor;
}

auto appendValue(void *context, MHD_ValueKind /*kind*/, const char *name, const char *value) -> MHD_Result
{
    static_cast<Headers *>(context)->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

} // namespace

auto descriptorOf(MHD_Connection *connection) -> int
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

auto encodeResponse(const HttpResponse &response) -> std::string
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)));
    for (const auto &header : response.headers) {
        if (!equalIgnoringCase(header.name, "Connection")) {
            text += fmt::format("{}: {}\r\n", header.name, header.value);
        }
    }
    return text + fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n{}", response.body.size(), response.body);
}

auto ServerCore::start(const ServerOptions &options) -> Result<void>
{
    const auto descriptor = openListenSocket(options);
    if (!descriptor) {
        return tl::unexpected(descriptor.error());
    }
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(*descriptor, reinterpret_cast<sockaddr *>(&bound), &length);
    m_port = ntohs(bound.sin_port);
    m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &ServerCore::onAccess, this,
                                MHD_OPTION_NOTIFY_CONNECTION, &ServerCore::onConnection, this, MHD_OPTION_URI_LOG_CALLBACK,
                                &ServerCore::onTarget, this, MHD_OPTION_LISTEN_SOCKET, *descriptor, MHD_OPTION_NOTIFY_COMPLETED,
                                &ServerCore::onCompleted, this, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections,
                                MHD_OPTION_CONNECTION_TIMEOUT, 0U, MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.maxHead, MHD_OPTION_END);
    if (m_daemon == nullptr) {
        ::close(*descriptor);
        return fail(ErrorCode::Internal, "listen", options.address, "the HTTP daemon did not start");
    }
    const auto *info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    ev_io_init(&m_io, &ServerCore::onReadable, info->epoll_fd, EV_READ);
    m_io.data = this;
    ev_io_start(m_loop.raw(), &m_io);
    m_timer = m_loop.timer([this]() { run(); });
    m_checkTimer = m_loop.timer([this]() { closeOverdue(); });
    m_checkTimer->startRepeating(CheckPeriod, CheckPeriod);
    m_roomTimer = m_loop.timer([this]() { makeRoom(); });
    m_arrivalTimer = m_loop.timer([this]() { findArrivals(); });
    return {};
}

auto ServerCore::close() -> void
{
    if (m_daemon == nullptr) {
        return;
    }
    ev_io_stop(m_loop.raw(), &m_io);
    m_timer.reset();
    m_checkTimer.reset();
    m_roomTimer.reset();
    m_arrivalTimer.reset();
    m_roomScheduled = m_searchesArrivals = true; // connections may still be accepted below
    // libmicrohttpd requires that all suspended connections are resumed before the daemon is stopped.
    for (auto *exchange : m_active) {
        exchange->m_aborted = true;
        exchange->m_answered = true;
        exchange->resetUnlessFramed();
        if (std::exchange(exchange->m_suspended, false)) {
            MHD_resume_connection(exchange->m_connection);
        }
    }
    MHD_run(m_daemon);
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

auto ServerCore::quiesce() -> void
{
    if (!m_quiesced && m_daemon != nullptr) {
        m_quiesced = true;
        const auto listener = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
        for (int round = 0; round < MaxAcceptRounds && waitingConnections(listener) > 0; ++round) {
            MHD_run(m_daemon);
        }
        const auto descriptor = MHD_quiesce_daemon(m_daemon);
        if (descriptor != MHD_INVALID_SOCKET) {
            ::close(descriptor);
        }
    }
}

auto ServerCore::scheduleRun() -> void
{
    if (m_runScheduled) {
        return;
    }
    m_runScheduled = true;
    m_loop.defer([weak = weak_from_this()]() {
        if (const auto core = weak.lock()) {
            core->m_runScheduled = false;
            core->run();
        }
    });
}

auto ServerCore::run() -> void
{
    if (m_daemon == nullptr) {
        return;
    }
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(m_daemon, &timeout) == MHD_YES) {
        m_timer->startOnce(milliseconds(static_cast<long long>(timeout)));
    } else {
        m_timer->stop();
    }
}

auto ServerCore::onReadable(struct ev_loop * /*loop*/, ev_io *watcher, int /*events*/) -> void
{
    static_cast<ServerCore *>(watcher->data)->run();
}

auto ServerCore::refuseUnread(const HttpResponse &response) -> std::size_t
{
    run();
    std::size_t refused = 0;
    for (auto *exchange : m_active) {
        if (!exchange->m_headRead || exchange->m_dispatched || exchange->m_responseQueued) {
            continue;
        }
        refused += respondUnread(*exchange, response) ? 1 : 0;
    }
    return refused;
}

auto ServerCore::setLimits(const ServerLimits &limits) -> void
{
    m_maxHead = limits.maxHead;
    m_limits.headTimeout = limits.headTimeout;
    m_limits.idleTimeout = limits.idleTimeout;
    for (auto &[connection, watch] : m_connections) {
        watch.onLimits(m_limits);
    }
}

auto ServerCore::onTarget(void *context, const char *target, MHD_Connection *connection) -> void *
{
    auto *self = static_cast<ServerCore *>(context);
    auto exchange = std::make_shared<Exchange>(self->weak_from_this(), connection);
    exchange->m_request.target = target;
    self->m_active.insert(exchange.get());
    exchange->m_bodyProgressAt = self->m_clock.now();
    if (const auto found = self->m_connections.find(connection); found != self->m_connections.end()) {
        found->second.onRequest(self->m_limits);
    }
    exchange->m_lacksBuffer = !self->holdBuffer(connection);
    return new ExchangePtr(std::move(exchange));
}

auto ServerCore::readHead(Exchange &exchange, const char *method, const char *url) -> void
{
    auto *connection = exchange.m_connection;
    exchange.m_request.method = method;
    exchange.m_request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendValue, &exchange.m_request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &appendValue, &exchange.m_request.query);
    const int on = 1;
    setsockopt(descriptorOf(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Returns the response to a request whose head forbids to read its body, or nothing.
auto ServerCore::headError(const Exchange &exchange) const -> std::optional<HttpResponse>
{
    const auto *info = MHD_get_connection_info(exchange.m_connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    if (m_maxHead > 0 && info != nullptr && info->header_size > m_maxHead) {
        return HttpResponse{431,
                            {{"Content-Type", "application/problem+json"}, {"Connection", "close"}},
                            R"({"title":"head too large","status":431,"ran":"no"})"};
    }
    const auto error = m_strictFraming ? framingError(exchange.m_request.headers) : std::string_view();
    return error.empty() ? std::nullopt : std::make_optional(HttpResponse{400, {{"Connection", "close"}}, std::string(error)});
}

auto ServerCore::onAccess(void *context, MHD_Connection *connection, const char *url, const char *method, const char *version,
                          const char *data, size_t *size, void **state) -> MHD_Result
{
    auto *self = static_cast<ServerCore *>(context);
    auto &exchange = **static_cast<ExchangePtr *>(*state);
    if (!std::exchange(exchange.m_headRead, true)) {
        exchange.m_bodyProgressAt = self->m_clock.now();
        exchange.m_acceptsChunks = std::string_view(version) != MHD_HTTP_VERSION_1_0;
        self->readHead(exchange, method, url);
        if (auto error = self->headError(exchange)) {
            exchange.respond(std::move(*error));
            return self->queueResponse(exchange);
        }
        if (self->m_checkHead) {
            if (auto refusal = self->m_checkHead(exchange.m_request)) {
                return self->refuseBeforeBody(exchange, std::move(*refusal));
            }
        }
        if (exchange.m_lacksBuffer) {
            return self->refuseForMemory(exchange, {MemoryUse::Connections, self->m_bufferBytes});
        }
        const auto shortage = self->reserveForRequest(exchange);
        return shortage ? self->refuseForMemory(exchange, *shortage) : MHD_YES;
    }
    if (*size > 0) {
        const auto shortage = self->appendBody(exchange, {data, *size});
        *size = 0;
        return shortage ? self->refuseForMemory(exchange, *shortage) : MHD_YES;
    }
    if (!exchange.m_dispatched && !exchange.m_answered) {
        exchange.m_dispatched = true;
        if (exchange.m_bodyTooLarge) {
            exchange.respond(
                {413, {{"Content-Type", "application/problem+json"}}, R"({"title":"body too large","status":413,"ran":"no"})"});
        } else if (self->isClosedForReading(connection)) {
            // libmicrohttpd would take the end of input for the caller's disconnect while the request waits for its answer.
            exchange.respond({408,
                              {{"Content-Type", "application/problem+json"}, {"Connection", "close"}},
                              R"({"title":"the connection is being closed","status":408,"ran":"no"})"});
        } else {
            self->m_handler(*static_cast<ExchangePtr *>(*state));
        }
    }
    if (exchange.m_answered) {
        return self->queueResponse(exchange);
    }
    exchange.m_suspended = true;
    MHD_suspend_connection(connection);
    exchange.watchForDisconnect();
    return MHD_YES;
}

auto ServerCore::queueResponse(Exchange &exchange) -> MHD_Result
{
    if (exchange.m_responseQueued) {
        return MHD_YES;
    }
    exchange.m_responseQueued = true;
    if (exchange.m_aborted && (!exchange.m_streaming || exchange.endsWithConnection())) {
        return MHD_NO;
    }
    MHD_Response *response = nullptr;
    if (exchange.m_streaming) {
        response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 16U << 10, &ServerCore::onRead, &exchange, nullptr);
    } else {
        response =
            MHD_create_response_from_buffer(exchange.m_response.body.size(), exchange.m_response.body.data(), MHD_RESPMEM_PERSISTENT);
    }
    for (const auto &header : exchange.m_response.headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    if (m_closesConnections && findHeader(exchange.m_response.headers, "Connection").empty()) {
        MHD_add_response_header(response, "Connection", "close");
    }
    if (exchange.endsWithConnection()) {
        exchange.setResetOnClose(true); // until the response is complete
    }
    const auto result = MHD_queue_response(exchange.m_connection, static_cast<unsigned>(exchange.m_response.status), response);
    MHD_destroy_response(response);
    return result;
}

auto ServerCore::onRead(void *context, std::uint64_t /*position*/, char *buffer, size_t size) -> ssize_t
{
    auto *exchange = static_cast<Exchange *>(context);
    const auto pending = exchange->pendingBytes();
    if (exchange->m_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (pending == 0) {
        if (exchange->m_ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        exchange->m_suspended = true;
        MHD_suspend_connection(exchange->m_connection);
        exchange->watchForDisconnect();
        return 0;
    }
    const auto copied = exchange->m_pending.read(buffer, size);
    exchange->m_backlogMemory.set(exchange->m_pending.heldBytes());
    return static_cast<ssize_t>(copied);
}

auto ServerCore::onCompleted(void *context, MHD_Connection *connection, void **state, MHD_RequestTerminationCode code) -> void
{
    if (*state == nullptr) {
        return;
    }
    auto *holder = static_cast<ExchangePtr *>(*state);
    const auto exchange = std::move(*holder);
    delete holder;
    *state = nullptr;
    auto *self = static_cast<ServerCore *>(context);
    self->m_active.erase(exchange.get());
    if (const auto found = self->m_connections.find(connection); found != self->m_connections.end()) {
        found->second.onRequestEnd(tcpProgress(descriptorOf(connection)), self->m_clock.now());
    }
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->endsWithConnection()) {
        exchange->setResetOnClose(false); // bytes that wait in the connection are still sent
    }
    exchange->markCompleted();
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
        exchange->handleDisconnect();
    }
}

} // namespace currantstack::detail
