// Configures the libcurl handle of a call and processes its response.
#include "http_client_core.h"

#include "currantstack/tcp_progress.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantstack
{

namespace
{

constexpr std::size_t CallBytes = 24U << 10; // of libcurl's state and receive buffer
constexpr std::size_t UploadBufferBytes = 64U << 10; // of libcurl
constexpr int FirstErrorStatus = 300; // of those that do not report a success
constexpr long MaxConnectionIdleTime = 60; // seconds until an idle connection is not reused

} // namespace

auto HttpClient::Core::configure(Call &call) -> void
{
    call.easy = curl_easy_init();
    auto *easy = call.easy;
    const auto &options = call.options;
    for (const auto &header : options.headers) {
        // libcurl removes a header given as "Name:"; "Name;" sends it with an empty value.
        const auto line = header.value.empty() ? header.name + ";" : fmt::format("{}: {}", header.name, header.value);
        call.headerList = curl_slist_append(call.headerList, line.c_str());
    }
    if (options.exactHeaders) {
        for (const auto *name : {"Accept", "Content-Type", "User-Agent"}) {
            if (findHeader(options.headers, name).empty()) {
                call.headerList = curl_slist_append(call.headerList, fmt::format("{}:", name).c_str());
            }
        }
    }
    call.headerList = curl_slist_append(call.headerList, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, options.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, options.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headerList);
    const auto &payload = options.payload();
    if (!payload.empty() || options.method == "POST" || options.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(payload.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, payload.c_str()); // libcurl does not copy it
    }
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Core::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Core::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(toMilliseconds(options.connectTimeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(toMilliseconds(options.totalTimeout)));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, options.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, options.connectOnly ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, options.forbidReuse ? 1L : 0L);
    if (options.tcpUserTimeout > Duration::zero()) {
        call.tcpUserTimeout = static_cast<int>(toMilliseconds(options.tcpUserTimeout));
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Core::onSocketCreated);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &call);
    }
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Core::onSocketClosing);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this); // also of the later calls that use the connection
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxConnectionIdleTime);
    if (!options.sourceIp.empty()) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, ("host!" + options.sourceIp).c_str());
    }
    if (!options.target.empty()) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, options.target.c_str());
    }
}

auto HttpClient::Core::onSocketCreated(void *context, curl_socket_t socket, curlsocktype /*purpose*/) -> int
{
    // Sends keep-alive probes while the connection is idle, so that the limit also detects an unreachable peer then.
    constexpr int On = 1;
    constexpr int ProbeInterval = 1; // seconds
    const unsigned userTimeout = static_cast<unsigned>(static_cast<Call *>(context)->tcpUserTimeout);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeInterval, sizeof ProbeInterval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeInterval, sizeof ProbeInterval);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
    return CURL_SOCKOPT_OK;
}

auto HttpClient::Core::onSocketClosing(void *context, curl_socket_t socket) -> int
{
    auto *self = static_cast<Core *>(context);
    const auto user = self->socketUsers.extract(socket);
    const auto found = user.empty() ? self->calls.end() : self->calls.find(user.mapped());
    if (found != self->calls.end() && found->second->endsWithClose) {
        int error = 0;
        socklen_t length = sizeof error;
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
        found->second->closedEarly = error != 0 || detail::tcpProgress(socket).unacknowledged > 0;
    }
    return ::close(socket);
}

auto HttpClient::Core::finish(CURL *easy, CURLcode code) -> void
{
    Call *call = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
    if (call->cancelled) {
        pendingRemovals.push_back(call->id);
        return;
    }
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    bytesSent += static_cast<std::uint64_t>(sent) + call->options.payload().size();
    if (code == CURLE_OK) {
        call->defect = incompleteReason(*call);
        code = call->defect.empty() ? CURLE_OK : CURLE_PARTIAL_FILE;
    }
    if (code == CURLE_OK) {
        deliverHead(*call);
    }
    if (call->cancelled) {
        pendingRemovals.push_back(call->id);
    } else if (code == CURLE_OK && call->options.connectOnly && call->options.openTime > Duration::zero()) {
        observeOpenConnection(*call);
    } else {
        complete(*call, code);
    }
}

/// Ends the call after its `openTime`, with an error if the peer has closed the connection by then.
auto HttpClient::Core::observeOpenConnection(Call &call) -> void
{
    loop.after(call.options.openTime, [this, stillAlive = alive, id = call.id]() {
        if (!*stillAlive) {
            return;
        }
        const auto found = calls.find(id);
        if (found == calls.end() || found->second->cancelled) {
            return;
        }
        curl_socket_t socket = CURL_SOCKET_BAD;
        curl_easy_getinfo(found->second->easy, CURLINFO_ACTIVESOCKET, &socket);
        // The peer may have sent bytes before it closed the connection, so that a read does not show the close.
        pollfd state{socket, POLLRDHUP, 0};
        const bool isOpen = socket != CURL_SOCKET_BAD && ::poll(&state, 1, 0) == 0;
        complete(*found->second, isOpen ? CURLE_OK : CURLE_RECV_ERROR);
    });
}

auto HttpClient::Core::complete(Call &call, CURLcode code) -> void
{
    auto callback = std::move(call.handlers.onDone);
    if (call.bodyMemory.bytes() > 0) {
        call.response.memory = std::make_shared<MemoryGrant>(std::move(call.bodyMemory));
    }
    auto result =
        code == CURLE_OK ? Result<HttpResponse>(std::move(call.response)) : Result<HttpResponse>(tl::unexpected(toError(call, code)));
    remove(call.id);
    if (callback) {
        callback(std::move(result));
    }
}

/// Returns why a response that libcurl reports as a success is not complete, or an empty text.
auto HttpClient::Core::incompleteReason(const Call &call) -> std::string_view
{
    if (call.options.connectOnly) {
        return "";
    }
    if (!call.headComplete) {
        return "the response ends inside its head";
    }
    curl_off_t sent = 0;
    curl_easy_getinfo(call.easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    const bool isSent = static_cast<std::size_t>(sent) >= call.options.payload().size();
    // A server that rejects a request need not read it.
    if (call.endsWithClose && call.status() < FirstErrorStatus && (call.closedEarly || !isSent)) {
        return "the connection was closed before the request was received";
    }
    return "";
}

auto HttpClient::Core::toError(const Call &call, CURLcode code) -> Error
{
    long sent = 0;
    curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &sent);
    Error error{ErrorCode::Unavailable, call.options.step, call.options.peer, curl_easy_strerror(code), false};
    if (call.idleExpired) {
        error.code = ErrorCode::DeadlineExceeded;
        error.message = "no progress in time";
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        error.code = ErrorCode::DeadlineExceeded;
    }
    if (!call.defect.empty()) {
        error.message = call.defect;
    }
    if (sent == 0) {
        long systemError = 0;
        curl_easy_getinfo(call.easy, CURLINFO_OS_ERRNO, &systemError);
        error.code = ErrorCode::Unreachable;
        error.connectionRefused = code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
        error.connectionReset = code == CURLE_COULDNT_CONNECT && systemError == ECONNRESET;
    }
    const bool isNoHttp = code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY; // libcurl does not deliver such a head
    error.answerBegun = call.headBytes > 0 || isNoHttp;
    error.connectionClosed =
        code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE;
    return error;
}

auto HttpClient::Core::Call::status() const -> int
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

auto HttpClient::Core::Call::account() -> void
{
    if (core->memory != nullptr) {
        memory = core->memory->grant(MemoryUse::Calls);
        memory.set(CallBytes + std::min(options.payload().size(), UploadBufferBytes));
        bodyMemory = core->memory->grant(MemoryUse::Answers);
    }
}

auto HttpClient::Core::Call::reserve(std::size_t size) -> bool
{
    auto &body = response.body;
    const auto needed = body.size() + size;
    if (needed > options.maxBody) {
        return true; // it is not kept
    }
    return bodyMemory.tryGrow(body, std::clamp(declaredLength(), needed, options.maxBody), options.maxBody);
}

auto HttpClient::Core::Call::declaredLength() const -> std::size_t
{
    std::size_t length = 0;
    const auto text = findHeader(response.headers, "Content-Length");
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

/// Resumes the calls that have memory again, those that began first before others.
auto HttpClient::Core::resumePaused() -> void
{
    std::vector<CallId> paused;
    for (const auto &[id, call] : calls) {
        if (call->paused && !call->cancelled) {
            paused.push_back(id);
        }
    }
    std::sort(paused.begin(), paused.end());
    std::size_t missing = 0; // bytes
    for (const auto id : paused) {
        const auto found = calls.find(id);
        if (found == calls.end() || found->second->cancelled) {
            continue; // ended by a callback of a call that was resumed
        }
        auto &call = *found->second;
        if (call.reserve(1)) {
            call.paused = false;
            ++curlDepth;
            curl_easy_pause(call.easy, CURLPAUSE_CONT);
            --curlDepth;
        } else if (missing == 0) {
            missing = std::max<std::size_t>(1, call.declaredLength());
        }
    }
    processCompleted();
    if (missing > 0 && onMemoryShortage) {
        onMemoryShortage(missing);
    }
}

auto HttpClient::Core::deliverHead(Call &call) -> void
{
    if (call.headDelivered) {
        return;
    }
    call.headDelivered = true;
    call.response.status = call.status();
    if (call.handlers.onHead) {
        call.handlers.onHead(call.response.status, call.response.headers);
    }
}

auto HttpClient::Core::onHeader(char *data, size_t size, size_t count, void *context) -> size_t
{
    auto *call = static_cast<Call *>(context);
    if (call->cancelled) {
        return 0;
    }
    const std::string_view line(data, size * count);
    call->lastProgress = call->core->clock.now();
    call->core->bytesReceived += line.size();
    call->headBytes += line.size();
    if (call->headBytes > call->options.maxHead) {
        call->defect = "the response head is too long";
        return 0;
    }
    if (call->headDelivered) {
        return size * count; // a trailer
    }
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        const auto space = line.find(' ');
        call->headIsInterim = space != std::string_view::npos && line.substr(space + 1).starts_with('1');
        call->headComplete = false;
        call->response.headers.clear();
        call->defect = statusLineError(line);
        return call->defect.empty() ? size * count : 0;
    } else if (line == "\r\n" || line == "\n") {
        call->headComplete = !call->headIsInterim;
        call->defect = call->headComplete ? framingError(call->response.headers) : std::string_view();
        call->endsWithClose = call->headComplete && framingOf(call->status(), call->response.headers) == BodyFraming::Connection;
        return call->defect.empty() ? size * count : 0;
    } else if (colon != std::string_view::npos) {
        auto value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ')) {
            value.remove_prefix(1);
        }
        while (!value.empty() && (value.back() == '\n' || value.back() == '\r')) {
            value.remove_suffix(1);
        }
        call->response.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return size * count;
}

auto HttpClient::Core::onBody(char *data, size_t size, size_t count, void *context) -> size_t
{
    auto *call = static_cast<Call *>(context);
    if (call->cancelled) {
        return 0;
    }
    call->lastProgress = call->core->clock.now();
    call->core->deliverHead(*call);
    if (!call->cancelled && !call->handlers.onData && !call->reserve(size * count)) {
        call->paused = true;
        return CURL_WRITEFUNC_PAUSE; // libcurl delivers the same data again
    }
    call->core->bytesReceived += size * count;
    call->bodyBytes += size * count;
    if (!call->cancelled) {
        if (call->handlers.onData) {
            call->handlers.onData(std::string_view(data, size * count));
        } else if (call->response.body.size() + size * count > call->options.maxBody) {
            call->defect = "the response body is too long";
            return 0;
        } else {
            call->response.body.append(data, size * count);
        }
    }
    return call->cancelled ? 0 : size * count;
}

} // namespace currantstack
