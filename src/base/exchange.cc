// The response side of a request, and the detection of callers that disconnect.
#include "http_server_core.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>

namespace currantstack
{

/// Detects that the caller closes a suspended connection, which libmicrohttpd does not monitor. After the end of its input, sends the
/// response as well: libmicrohttpd may take the end for a disconnect when the connection is resumed.
struct Exchange::DisconnectWatcher
{
    ev_io io{};
    struct ev_loop *loop = nullptr;
    bool inputEnded = false;

    ~DisconnectWatcher()
    {
        ev_io_stop(loop, &io);
    }

    static auto onReadable(struct ev_loop *loop, ev_io *watcher, int /*events*/) -> void
    {
        char byte = 0;
        const auto received = recv(watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        ev_io_stop(loop, watcher);
        if (received > 0) {
            return; // a pipelined request; libmicrohttpd detects a disconnect once this one has its response
        }
        const auto exchange = static_cast<Exchange *>(watcher->data)->shared_from_this();
        if (received == 0 && exchange->survivesEndOfInput()) {
            exchange->m_watcher->inputEnded = true;
            return;
        }
        exchange->handleDisconnect();
        exchange->abort();
    }

    static auto onWritable(struct ev_loop *loop, ev_io *watcher, int /*events*/) -> void
    {
        const auto exchange = static_cast<Exchange *>(watcher->data)->shared_from_this();
        const auto next = exchange->m_pending.front();
        const auto sent = send(watcher->fd, next.data(), next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        exchange->m_pending.drop(static_cast<std::size_t>(std::max<ssize_t>(0, sent)));
        if (sent <= 0 || exchange->pendingBytes() == 0) {
            ev_io_stop(loop, watcher);
            exchange->m_responseQueued = false;
            exchange->m_aborted = true; // ends the connection
            exchange->resume();
        }
    }

    auto sendResponse(Exchange &exchange) -> void
    {
        exchange.m_pending.append(detail::encodeResponse(exchange.m_response));
        exchange.m_responseQueued = true;
        ev_io_stop(loop, &io);
        ev_io_set(&io, io.fd, EV_WRITE);
        ev_set_cb(&io, &DisconnectWatcher::onWritable);
        ev_io_start(loop, &io);
    }
};

Exchange::Exchange(std::weak_ptr<detail::ServerCore> core, MHD_Connection *connection)
    : m_core(std::move(core))
    , m_connection(connection)
{ }

Exchange::~Exchange() = default;

auto Exchange::watchForDisconnect() -> void
{
    const auto core = m_core.lock();
    if (m_disconnected || !core) {
        return;
    }
    if (!m_watcher) {
        m_watcher = std::make_unique<DisconnectWatcher>();
        m_watcher->loop = core->loop().raw();
        const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        ev_io_init(&m_watcher->io, &DisconnectWatcher::onReadable, info->connect_fd, EV_READ);
        m_watcher->io.data = this;
        ev_io_start(m_watcher->loop, &m_watcher->io);
    }
}

auto Exchange::resume() -> void
{
    const auto core = m_core.lock();
    if (!core || m_completed || !m_suspended) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    core->scheduleRun();
}

auto Exchange::takeHeader(std::string_view name) -> std::string
{
    std::string value(m_request.header(name));
    std::erase_if(m_request.headers, [name](const Header &header) { return equalIgnoringCase(header.name, name); });
    return value;
}

auto Exchange::callerIp() const -> std::string
{
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto *info = m_completed ? nullptr : MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) {
        return {};
    }
    inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in *>(info->client_addr)->sin_addr, text.data(), text.size());
    return text.data();
}

auto Exchange::respond(HttpResponse response) -> void
{
    if (m_answered || m_completed) {
        return;
    }
    m_answered = true;
    m_response = std::move(response);
    m_ended = true;
    reportResponse(m_response.status);
    if (m_watcher && m_watcher->inputEnded) {
        m_watcher->sendResponse(*this);
        return;
    }
    resume();
}

auto Exchange::beginStream(int status, Headers headers) -> void
{
    if (m_answered || m_completed) {
        return;
    }
    m_answered = true;
    m_streaming = true;
    m_response.status = status;
    m_response.headers = std::move(headers);
    reportResponse(status);
    resume();
}

auto Exchange::reportResponse(int status) -> void
{
    if (const auto callback = std::exchange(m_onResponse, nullptr)) {
        callback(status);
    }
}

auto Exchange::write(std::string_view data) -> void
{
    if (m_completed || m_ended) {
        return;
    }
    m_pending.append(data);
    m_backlogMemory.set(m_pending.heldBytes());
    resume();
}

auto Exchange::hasBacklog(std::size_t limit) const -> bool
{
    return pendingBytes() > std::min(limit, m_backlogMemory.backlogLimit());
}

auto Exchange::end() -> void
{
    m_ended = true;
    resume();
}

auto Exchange::abort() -> void
{
    if (m_completed || (m_ended && !m_disconnected)) {
        return;
    }
    m_aborted = true;
    m_answered = true;
    resetUnlessFramed();
    resume();
}

auto Exchange::onDisconnect(std::function<void()> callback) -> void
{
    m_onDisconnect = std::move(callback);
}

auto Exchange::onEndOfInput(std::function<bool()> callback) -> void
{
    m_onEndOfInput = std::move(callback);
}

auto Exchange::survivesEndOfInput() -> bool
{
    return !m_answered && m_onEndOfInput && m_onEndOfInput();
}

auto Exchange::handleDisconnect() -> void
{
    if (m_disconnected) {
        return;
    }
    m_disconnected = true;
    const auto callback = std::move(m_onDisconnect);
    m_onDisconnect = nullptr;
    if (callback) {
        callback();
    }
}

/// Returns whether only the end of the connection tells the caller the end of the body.
auto Exchange::endsWithConnection() const -> bool
{
    return m_streaming && !m_acceptsChunks;
}

/// Sets whether the system ends the connection with a reset, also if the process is killed.
auto Exchange::setResetOnClose(bool isOn) -> void
{
    const linger option{isOn ? 1 : 0, 0};
    setsockopt(MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd, SOL_SOCKET, SO_LINGER, &option,
               sizeof option);
}

/// Ends the connection with a reset now, and not with the end of output that libmicrohttpd sends, if the caller would take that for the end
/// of the body.
auto Exchange::resetUnlessFramed() -> void
{
    if (m_completed || !m_responseQueued || !endsWithConnection()) {
        return;
    }
    sockaddr address{};
    address.sa_family = AF_UNSPEC;
    ::connect(MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd, &address, sizeof address);
}

auto Exchange::markCompleted() -> void
{
    m_completed = true;
    m_suspended = false;
    m_watcher.reset();
}

} // namespace currantstack
