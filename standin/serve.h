// What the stand-ins' servers have in common.
#pragma once

#include "currantstack/http_server.h"

namespace standin
{

/// Opens a server that never closes an idle connection: what the router does with kept connections is under test.
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
