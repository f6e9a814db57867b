// An HTTP client for the event loop, built on libcurl's multi interface.
#pragma once

#include "currantstack/http.h"
#include "currantstack/loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace currantstack
{

class MemoryBudget;

/// A request and its options. Timeouts of zero are disabled unless stated otherwise.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody; // sent instead of `body` if set, and held until the call ends
    Duration connectTimeout = milliseconds(500);
    Duration totalTimeout = Duration::zero(); // limit on the whole call
    Duration idleTimeout = Duration::zero(); // limit on the time without received data
    Duration firstByteTimeout = Duration::zero(); // replaces idleTimeout until the first byte of the body; zero: idleTimeout
    Duration tcpUserTimeout = Duration::zero(); // fails the connection if sent data or keep-alive probes stay unacknowledged for this time
    bool freshConnection = false; // does not reuse a pooled connection
    bool forbidReuse = false; // does not return the connection to the pool
    bool connectOnly = false; // only opens a connection and closes it; the response has status 0
    Duration openTime = Duration::zero(); // for which the peer must leave a `connectOnly` connection open; the call ends after it
    bool exactHeaders = false; // suppresses libcurl's default Accept, Content-Type and User-Agent
    std::size_t maxHead = 64U << 10; // bytes of all heads and trailers of the response; a longer one fails the call
    std::size_t maxBody = 8U << 20; // bytes of a buffered body; a longer one fails the call
    std::string sourceIp; // local address of the connection; empty: chosen by the system
    std::string target; // request target to send verbatim; empty: the URL's path and query
    std::string step; // name of the operation, for errors
    std::string peer; // name of the server, for errors

    /// Returns the body that is sent.
    auto payload() const -> const std::string &
    {
        return sharedBody ? *sharedBody : body;
    }

    static constexpr Duration StallTimeout = seconds(2); // between two parts of an answer, set by `limitSilence`
    static constexpr Duration LongestAnswer = seconds(30); // from an answer's begin to its end, set by `limitSilence`

    /// Limits the time until the answer begins and the time between two parts of it, instead of the whole time: an answer that arrives
    /// steadily takes as long as its link needs, and would be sent once more from its first byte if the call were repeated.
    auto limitSilence(Duration beginTimeout) -> void
    {
        firstByteTimeout = beginTimeout;
        idleTimeout = StallTimeout;
        totalTimeout = beginTimeout + LongestAnswer;
    }

    /// Gives the call a connection of its own. A kept connection may be dead or deliver a late answer to an earlier request, and libcurl
    /// repeats a request on a dead one.
    auto useOwnConnection() -> void
    {
        freshConnection = true;
        forbidReuse = true;
    }
};

/// What has arrived of the response to a call in flight.
struct CallProgress
{
    bool begun = false; // a part of the response has arrived
    std::size_t received = 0; // bytes of the body
    std::size_t expected = 0; // declared bytes of the body; 0: unknown
    Duration age = Duration::zero(); // since the call began
    Duration silence = Duration::zero(); // since a part of the response arrived, or since the call began
};

/// Callbacks of one call. `onDone` runs exactly once unless the call is cancelled.
struct HttpHandlers
{
    std::function<void(int status, const Headers &headers)> onHead;
    std::function<void(std::string_view data)> onData; // if unset, the body is buffered in the response
    std::function<void(Result<HttpResponse>)> onDone;
};

/// Runs any number of calls concurrently. An `Unreachable` error guarantees that no request bytes were sent.
class HttpClient
{
public:
    using CallId = std::uint64_t;

    /// Accounts the calls' buffers and the buffered bodies of responses in `memory`, which outlives the client; null: unlimited. While it
    /// has no room for the body of a response, that response is not read.
    explicit HttpClient(Loop &loop, MemoryBudget *memory = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    auto start(HttpCall call, HttpHandlers handlers) -> CallId;

    /// Aborts the call and closes its connection; no callback runs afterwards. Unknown ids are ignored.
    auto cancel(CallId id) -> void;

    /// Sets the callback that runs from time to time while a response waits for memory, with the bytes that it needs next.
    auto onMemoryShortage(std::function<void(std::size_t bytes)> callback) -> void;

    /// Returns what has arrived of a call's response, or nothing if the call is not in flight.
    auto progress(CallId id) const -> std::optional<CallProgress>;

    /// Returns the number of calls in flight.
    auto active() const -> std::size_t;

    /// Return the total bytes of request and response heads and bodies.
    auto bytesSent() const -> std::uint64_t;
    auto bytesReceived() const -> std::uint64_t;

private:
    struct Core;
    std::unique_ptr<Core> m_core;
};

/// Returns a call that only opens a connection of its own. It fails with `connectionClosed` if the peer accepts the connection but does not
/// leave it open: then it is at its limit of connections, or only a relay still listens for it.
auto connectOnlyCall(std::string_view address, Duration connectTimeout) -> HttpCall;

/// Returns the http URL of an "address:port" and a path.
auto urlOf(std::string_view address, std::string_view path) -> std::string;

} // namespace currantstack
