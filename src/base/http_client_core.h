// The calls under way of one HttpClient, and the libcurl handle that makes them.
#pragma once

#include "currantstack/http_client.h"

#include <curl/curl.h>
#include <unordered_map>
#include <vector>

namespace currantstack
{

/// Owns the calls. `http_client_core.cc` runs libcurl by the loop; `http_call.cc` sets up one call and takes in its answer.
struct HttpClient::Core
{
    struct Call
    {
        CallId id = 0;
        Core *core = nullptr;
        CURL *easy = nullptr;
        curl_slist *headerList = nullptr;
        HttpCall call;
        HttpHandlers handlers;
        HttpResponse response;
        TimePoint lastProgress;
        bool headDelivered = false;
        bool cancelled = false;
        bool idleExpired = false;
        int tcpUserTimeout = 0; // milliseconds

        ~Call()
        {
            if (easy != nullptr) {
                curl_easy_cleanup(easy);
            }
            curl_slist_free_all(headerList);
        }
    };

    struct Socket
    {
        ev_io io{};
        Core *core = nullptr;
    };

    explicit Core(Loop &ownLoop);
    ~Core();
    auto configure(Call &call) -> void;
    auto remove(CallId id) -> void;
    auto collect() -> void;
    auto sweep() -> void;
    auto finish(CURL *easy, CURLcode code) -> void;
    auto deliverHead(Call &call) -> void;
    auto refuseLater(CallId id, std::unique_ptr<Call> call) -> void;
    static auto toError(const Call &call, CURLcode code) -> Error;

    static auto onSocket(CURL *easy, curl_socket_t socket, int what, void *context, void *data) -> int;
    static auto onSocketMade(void *context, curl_socket_t socket, curlsocktype purpose) -> int;
    static auto onTimer(CURLM *multi, long timeout, void *context) -> int;
    static auto onIo(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    static auto onHeader(char *data, size_t size, size_t count, void *context) -> size_t;
    static auto onBody(char *data, size_t size, size_t count, void *context) -> size_t;

    Loop &loop;
    SystemClock clock;
    CURLM *multi;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<Timer> sweeper;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::vector<CallId> toRemove;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    CallId nextId = 1;
    int depth = 0; // above 0 while libcurl is on the call stack
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

} // namespace currantstack
