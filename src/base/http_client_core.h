// The implementation of HttpClient: its calls in flight and its libcurl multi handle.
#pragma once

#include "currantstack/decisions/memory_budget.h"
#include "currantstack/http_client.h"

#include <curl/curl.h>
#include <unordered_map>
#include <vector>

namespace currantstack
{

/// Owns the calls. `http_client_core.cc` drives libcurl from the event loop; `http_call.cc` configures one call and processes its response.
struct HttpClient::Core
{
    struct Call
    {
        CallId id = 0;
        Core *core = nullptr;
        CURL *easy = nullptr;
        curl_slist *headerList = nullptr;
        HttpCall options;
        HttpHandlers handlers;
        HttpResponse response;
        TimePoint startedAt;
        TimePoint lastProgress; // when a part of the response arrived last; `startedAt` before
        bool headIsInterim = false; // the head that is being received has a status below 200
        bool headComplete = false; // the blank line that ends the final head was received
        bool headDelivered = false;
        bool cancelled = false;
        bool idleExpired = false;
        bool endsWithClose = false; // the response has neither a length nor chunks
        bool closedEarly = false; // the peer ended such a response before it had received the request, or with a reset
        std::size_t headBytes = 0; // received, of heads and trailers
        std::size_t bodyBytes = 0; // received
        std::string_view defect; // of a response that fails the call, although libcurl would accept it
        int tcpUserTimeout = 0; // milliseconds
        bool paused = false; // the response is not read, because there is no memory for its body
        MemoryGrant memory; // of the call's buffers
        MemoryGrant bodyMemory; // of the response's body

        /// Accounts the memory of a call that begins.
        auto account() -> void;

        /// Returns the declared length of the response's body; 0: unknown.
        auto declaredLength() const -> std::size_t;

        /// Returns the status of the last head.
        auto status() const -> int;

        /// Makes room for a part of the response's body, or for all of it if its head declares the length.
        auto reserve(std::size_t size) -> bool;

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

    Core(Loop &eventLoop, MemoryBudget *budget);
    ~Core();
    auto configure(Call &call) -> void;
    auto remove(CallId id) -> void;
    auto processCompleted() -> void;
    auto failIdleCalls() -> void;
    auto resumePaused() -> void;
    auto finish(CURL *easy, CURLcode code) -> void;
    auto complete(Call &call, CURLcode code) -> void;
    auto observeOpenConnection(Call &call) -> void;
    auto deliverHead(Call &call) -> void;
    auto rejectDeferred(CallId id, std::unique_ptr<Call> call) -> void;
    static auto incompleteReason(const Call &call) -> std::string_view;
    static auto toError(const Call &call, CURLcode code) -> Error;

    static auto onSocket(CURL *easy, curl_socket_t socket, int what, void *context, void *data) -> int;
    static auto onSocketCreated(void *context, curl_socket_t socket, curlsocktype purpose) -> int;
    static auto onSocketClosing(void *context, curl_socket_t socket) -> int;
    static auto onTimer(CURLM *multi, long timeout, void *context) -> int;
    static auto onIo(struct ev_loop *loop, ev_io *watcher, int events) -> void;
    static auto onHeader(char *data, size_t size, size_t count, void *context) -> size_t;
    static auto onBody(char *data, size_t size, size_t count, void *context) -> size_t;

    Loop &loop;
    MemoryBudget *memory; // null: unlimited
    std::function<void(std::size_t bytes)> onMemoryShortage;
    SystemClock clock;
    CURLM *multi;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<Timer> idleTimer;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<curl_socket_t, CallId> socketUsers; // the call that uses the socket, or used it last
    std::vector<CallId> pendingRemovals;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    CallId nextId = 1;
    int curlDepth = 0; // above 0 during a call into libcurl, which may run callbacks
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

} // namespace currantstack
