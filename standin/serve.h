// Opens the stand-ins' HTTP servers.
#pragma once

#include "currantstack/http_server.h"

namespace standin
{

/// Opens a server that never closes idle connections, because the router's own handling of keep-alive connections is under test.
inline auto serve(currantstack::Loop &loop, const std::string &address, std::uint16_t port, currantstack::HttpServer::Handler handler)
    -> currantstack::Result<std::unique_ptr<currantstack::HttpServer>>
{
    currantstack::ServerOptions options;
    options.address = address;
    options.port = port;
    options.idleTimeout = 0;
    return currantstack::HttpServer::open(loop, options, std::move(handler));
}

} // namespace standin
