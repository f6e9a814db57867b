// An HTTP client on libcurl multi that runs inside the event loop.
#pragma once

#include "currantstack/http.h"
#include "currantstack/loop.h"

#include <cstdint>
#include <map>
#include <memory>

namespace currantstack
{

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    Duration connectTimeout = milliseconds(500);
    Duration totalTimeout = Duration::zero(); // zero: no limit
    Duration idleTimeout = Duration::zero(); // limit on time without progress; zero: none
    Duration firstByteTimeout = Duration::zero(); // limit on time without progress before the first byte; zero: idleTimeout
    Duration tcpUserTimeout = Duration::zero(); // ends a connection whose peer's host answers nothing for so long; zero: none
    bool freshConnection = false;
    bool forbidReuse = false; // the connection is not kept for later calls
    bool exactHeaders = false; // sends no header of the client's own but the body's length
    std::string target; // sent in place of the URL's path and query, unchanged; empty: the URL's own
    std::string step; // names the call in errors
    std::string peer; // names the callee in errors
};

/// Hooks of one call. `onDone` runs exactly once unless the call is cancelled.
struct HttpHandlers
{
    std::function<void(int status, const Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData; // where unset, the body is collected
    std::function<void(Result<HttpResponse>)> onDone;
};

/// Makes many calls at once. An `Unreachable` error proves that nothing was sent.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    explicit HttpClient(Loop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    auto start(HttpCall call, HttpHandlers handlers) -> CallId;

    /// Ends the call and its connection; no hook runs afterwards. Unknown ids are ignored.
    auto cancel(CallId id) -> void;

    auto active() const -> std::size_t;

    /// Returns the bytes sent and received in bodies and heads since the start.
    auto bytesSent() const -> std::uint64_t;
    auto bytesReceived() const -> std::uint64_t;

private:
    struct Core;
    std::unique_ptr<Core> m_core;
};

/// Returns a URL from an "address:port" and a path.
auto urlOf(std::string_view address, std::string_view path) -> std::string;

} // namespace currantstack
