// The life of one request from the server's hooks to its answer.
#include "http_server_core.h"

#include <sys/socket.h>

namespace currantstack
{

/// Notices the end of a suspended connection, which libmicrohttpd does not watch.
struct Exchange::Watcher
{
    ev_io io{};
    struct ev_loop *loop = nullptr;

    ~Watcher()
    {
        ev_io_stop(loop, &io);
    }

    static auto fire(struct ev_loop *loop, ev_io *watcher, int /*events*/) -> void
    {
        char byte = 0;
        const auto got = recv(watcher->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        ev_io_stop(loop, watcher);
        if (got > 0) {
            return; // a pipelined request; the end shows when this one is answered
        }
        const auto exchange = static_cast<Exchange *>(watcher->data)->shared_from_this();
        exchange->noteGone();
        exchange->abort();
    }
};

Exchange::Exchange(std::weak_ptr<detail::ServerCore> core, MHD_Connection *connection)
    : m_core(std::move(core))
    , m_connection(connection)
{ }

Exchange::~Exchange() = default;

auto Exchange::watchCaller() -> void
{
    const auto core = m_core.lock();
    if (m_gone || !core) {
        return;
    }
    if (!m_watcher) {
        m_watcher = std::make_unique<Watcher>();
        m_watcher->loop = core->loop().raw();
        const auto *info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        ev_io_init(&m_watcher->io, &Watcher::fire, info->connect_fd, EV_READ);
        m_watcher->io.data = this;
        ev_io_start(m_watcher->loop, &m_watcher->io);
    }
}

auto Exchange::wake() -> void
{
    const auto core = m_core.lock();
    if (!core || m_completed || !m_suspended) {
        return;
    }
    m_suspended = false;
    MHD_resume_connection(m_connection);
    core->scheduleRun();
}

auto Exchange::respond(HttpResponse response) -> void
{
    if (m_answered || m_completed) {
        return;
    }
    m_answered = true;
    m_response = std::move(response);
    m_ended = true;
    wake();
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
    wake();
}

auto Exchange::write(std::string_view data) -> void
{
    if (m_completed || m_ended) {
        return;
    }
    m_pending.append(data);
    wake();
}

auto Exchange::end() -> void
{
    m_ended = true;
    wake();
}

auto Exchange::abort() -> void
{
    if (m_completed || (m_ended && !m_gone)) {
        return;
    }
    m_aborted = true;
    m_answered = true;
    wake();
}

auto Exchange::onDisconnect(std::function<void()> hook) -> void
{
    m_onGone = std::move(hook);
}

auto Exchange::noteGone() -> void
{
    if (m_gone) {
        return;
    }
    m_gone = true;
    const auto hook = std::move(m_onGone);
    m_onGone = nullptr;
    if (hook) {
        hook();
    }
}

auto Exchange::release() -> void
{
    m_completed = true;
    m_suspended = false;
    m_watcher.reset();
}

} // namespace currantstack
