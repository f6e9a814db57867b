#include "currantstack/http_server.h"

#include "http_server_core.h"

namespace currantstack
{

HttpServer::HttpServer(std::shared_ptr<detail::ServerCore> core)
    : m_core(std::move(core))
{ }

HttpServer::~HttpServer()
{
    m_core->close();
}

auto HttpServer::open(Loop &loop, const ServerOptions &options, Handler handler) -> Result<std::unique_ptr<HttpServer>>
{
    auto core = std::make_shared<detail::ServerCore>(loop, std::move(handler), options);
    if (const auto started = core->start(options); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

auto HttpServer::port() const -> std::uint16_t
{
    return m_core->port();
}

auto HttpServer::quiesce() -> void
{
    m_core->quiesce();
}

auto HttpServer::closeIdle() -> void
{
    m_core->closeIdle();
}

auto HttpServer::refuseUnread(const HttpResponse &response) -> std::size_t
{
    return m_core->refuseUnread(response);
}

auto HttpServer::closeAfterResponses() -> void
{
    m_core->closeAfterResponses();
}

auto HttpServer::freeMemory(std::size_t bytes) -> void
{
    m_core->freeMemory(bytes);
}

auto HttpServer::setLimits(const ServerLimits &limits) -> void
{
    m_core->setLimits(limits);
}

auto HttpServer::connections() const -> std::size_t
{
    return m_core->connections();
}

auto HttpServer::active() const -> std::size_t
{
    return m_core->m_active.size();
}

} // namespace currantstack