#include "currantstack/http_client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unordered_map>
#include <vector>

namespace currantstack
{

namespace
{

constexpr Duration SweepPeriod = milliseconds(50);
constexpr long MaxConnectionAge = 60; // seconds

/// Returns whether the URL's host is an IP number. A name would be resolved by a thread that blocks the loop when it is joined.
auto hasNumericHost(std::string_view url) -> bool
{
    constexpr std::string_view Scheme = "http://";
    if (!url.starts_with(Scheme)) {
        return false;
    }
    url.remove_prefix(Scheme.size());
    const std::string host(url.substr(0, url.find_first_of(":/")));
    in_addr number{};
    return inet_pton(AF_INET, host.c_str(), &number) == 1;
}

} // namespace

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
        int silentPeerLimit = 0; // milliseconds

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

HttpClient::Core::Core(Loop &ownLoop)
    : loop(ownLoop)
{
    curl_global_init(CURL_GLOBAL_ALL);
    multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Core::onSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Core::onTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, 512L);
    timer = loop.timer([this]() {
        int running = 0;
        ++depth;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
        --depth;
        collect();
    });
    sweeper = loop.timer([this]() { sweep(); });
    sweeper->startRepeating(SweepPeriod, SweepPeriod);
}

HttpClient::Core::~Core()
{
    *alive = false;
    for (auto &[id, call] : calls) {
        if (call->easy != nullptr) {
            curl_multi_remove_handle(multi, call->easy);
        }
    }
    calls.clear();
    curl_multi_cleanup(multi);
}

auto HttpClient::Core::configure(Call &call) -> void
{
    call.easy = curl_easy_init();
    auto *easy = call.easy;
    const auto &options = call.call;
    for (const auto &header : options.headers) {
        // libcurl drops "Name:" without a value; "Name;" sends it empty.
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
    if (!options.body.empty() || options.method == "POST" || options.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(options.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, options.body.c_str());
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
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, options.closeAfterwards ? 1L : 0L);
    if (options.silentPeerLimit > Duration::zero()) {
        call.silentPeerLimit = static_cast<int>(toMilliseconds(options.silentPeerLimit));
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Core::onSocketMade);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &call);
    }
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxConnectionAge);
    if (!options.target.empty()) {
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, options.target.c_str());
    }
}

auto HttpClient::Core::refuseLater(CallId id, std::unique_ptr<Call> call) -> void
{
    calls.emplace(id, std::move(call));
    loop.defer([this, stillAlive = alive, id]() {
        if (!*stillAlive) {
            return;
        }
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        const auto refused = std::move(found->second);
        calls.erase(found);
        if (refused->handlers.onDone) {
            refused->handlers.onDone(
                fail(ErrorCode::Unreachable, refused->call.step, refused->call.peer, "the address is not an IP number"));
        }
    });
}

auto HttpClient::Core::remove(CallId id) -> void
{
    const auto found = calls.find(id);
    if (found == calls.end()) {
        return;
    }
    if (found->second->easy != nullptr) {
        curl_multi_remove_handle(multi, found->second->easy);
    }
    calls.erase(found);
}

auto HttpClient::Core::collect() -> void
{
    if (depth > 0) {
        return;
    }
    const auto stillAlive = alive;
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
            if (!*stillAlive) {
                return;
            }
        }
    }
    for (const auto id : std::exchange(toRemove, {})) {
        remove(id);
    }
}

auto HttpClient::Core::finish(CURL *easy, CURLcode code) -> void
{
    Call *call = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
    if (call->cancelled) {
        toRemove.push_back(call->id);
        return;
    }
    long sent = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
    bytesSent += static_cast<std::uint64_t>(sent) + call->call.body.size();
    if (code == CURLE_OK) {
        deliverHead(*call);
    }
    if (call->cancelled) {
        toRemove.push_back(call->id);
        return;
    }
    auto hook = std::move(call->handlers.onDone);
    auto result =
        code == CURLE_OK ? Result<HttpResponse>(std::move(call->response)) : Result<HttpResponse>(tl::unexpected(toError(*call, code)));
    remove(call->id);
    if (hook) {
        hook(std::move(result));
    }
}

auto HttpClient::Core::toError(const Call &call, CURLcode code) -> Error
{
    long sent = 0;
    curl_easy_getinfo(call.easy, CURLINFO_REQUEST_SIZE, &sent);
    Error error{ErrorCode::Unavailable, call.call.step, call.call.peer, curl_easy_strerror(code), false};
    if (call.idleExpired) {
        error.code = ErrorCode::DeadlineExceeded;
        error.message = "no progress in time";
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        error.code = ErrorCode::DeadlineExceeded;
    }
    if (sent == 0) {
        long systemError = 0;
        curl_easy_getinfo(call.easy, CURLINFO_OS_ERRNO, &systemError);
        error.code = ErrorCode::Unreachable;
        error.connectionRefused = code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    }
    return error;
}

auto HttpClient::Core::deliverHead(Call &call) -> void
{
    if (call.headDelivered) {
        return;
    }
    call.headDelivered = true;
    long status = 0;
    curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
    call.response.status = static_cast<int>(status);
    if (call.handlers.onHead) {
        call.handlers.onHead(call.response.status, call.response.headers);
    }
}

auto HttpClient::Core::sweep() -> void
{
    const auto now = clock.now();
    std::vector<Call *> expired;
    for (auto &[id, call] : calls) {
        const auto &options = call->call;
        const bool waitsForHead = !call->headDelivered && options.headTimeout > Duration::zero();
        const auto limit = waitsForHead ? options.headTimeout : options.idleTimeout;
        if (limit > Duration::zero() && !call->cancelled && !call->idleExpired && now - call->lastProgress > limit) {
            expired.push_back(call.get());
        }
    }
    for (auto *call : expired) {
        call->idleExpired = true;
        auto hook = std::move(call->handlers.onDone);
        const auto error = toError(*call, CURLE_OPERATION_TIMEDOUT);
        call->cancelled = true;
        toRemove.push_back(call->id);
        if (hook) {
            hook(tl::unexpected(error));
        }
    }
    collect();
}

auto HttpClient::Core::onSocket(CURL * /*easy*/, curl_socket_t socket, int what, void *context, void *data) -> int
{
    auto *self = static_cast<Core *>(context);
    auto *entry = static_cast<Socket *>(data);
    if (what == CURL_POLL_REMOVE) {
        if (entry != nullptr) {
            ev_io_stop(self->loop.raw(), &entry->io);
            delete entry;
            curl_multi_assign(self->multi, socket, nullptr);
        }
        return 0;
    }
    const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    if (entry == nullptr) {
        entry = new Socket;
        entry->core = self;
        ev_io_init(&entry->io, &Core::onIo, socket, events);
        entry->io.data = entry;
        curl_multi_assign(self->multi, socket, entry);
    } else {
        ev_io_stop(self->loop.raw(), &entry->io);
        ev_io_set(&entry->io, socket, events);
    }
    ev_io_start(self->loop.raw(), &entry->io);
    return 0;
}

auto HttpClient::Core::onSocketMade(void *context, curl_socket_t socket, curlsocktype /*purpose*/) -> int
{
    // Probes on an idle connection, and a limit on how long they and other bytes may go without acknowledgement.
    constexpr int On = 1;
    constexpr int ProbeSeconds = 1;
    const unsigned limit = static_cast<unsigned>(static_cast<Call *>(context)->silentPeerLimit);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof On);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &ProbeSeconds, sizeof ProbeSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &ProbeSeconds, sizeof ProbeSeconds);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    return CURL_SOCKOPT_OK;
}

auto HttpClient::Core::onTimer(CURLM * /*multi*/, long timeout, void *context) -> int
{
    auto *self = static_cast<Core *>(context);
    if (timeout < 0) {
        self->timer->stop();
    } else {
        self->timer->startOnce(milliseconds(timeout));
    }
    return 0;
}

auto HttpClient::Core::onIo(struct ev_loop * /*loop*/, ev_io *watcher, int events) -> void
{
    auto *self = static_cast<Socket *>(watcher->data)->core;
    const int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    int running = 0;
    ++self->depth;
    curl_multi_socket_action(self->multi, watcher->fd, mask, &running);
    --self->depth;
    self->collect();
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
    if (call->headDelivered) {
        return size * count; // a trailer
    }
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        call->response.headers.clear();
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
    call->core->bytesReceived += size * count;
    call->core->deliverHead(*call);
    if (!call->cancelled) {
        if (call->handlers.onData) {
            call->handlers.onData(std::string_view(data, size * count));
        } else {
            call->response.body.append(data, size * count);
        }
    }
    return call->cancelled ? 0 : size * count;
}

HttpClient::HttpClient(Loop &loop)
    : m_core(std::make_unique<Core>(loop))
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::start(HttpCall call, HttpHandlers handlers) -> CallId
{
    auto entry = std::make_unique<Core::Call>();
    const auto id = m_core->nextId++;
    entry->id = id;
    entry->core = m_core.get();
    entry->call = std::move(call);
    entry->handlers = std::move(handlers);
    entry->lastProgress = m_core->clock.now();
    if (!hasNumericHost(entry->call.url)) {
        m_core->refuseLater(id, std::move(entry));
        return id;
    }
    m_core->configure(*entry);
    auto *easy = entry->easy;
    m_core->calls.emplace(id, std::move(entry));
    if (m_core->depth == 0) {
        curl_multi_add_handle(m_core->multi, easy);
        return id;
    }
    // libcurl must not be entered from its own callbacks.
    m_core->loop.defer([core = m_core.get(), alive = m_core->alive, id]() {
        if (!*alive) {
            return;
        }
        const auto found = core->calls.find(id);
        if (found != core->calls.end() && !found->second->cancelled) {
            curl_multi_add_handle(core->multi, found->second->easy);
        }
    });
    return id;
}

auto HttpClient::cancel(CallId id) -> void
{
    const auto found = m_core->calls.find(id);
    if (found == m_core->calls.end() || found->second->cancelled) {
        return;
    }
    found->second->cancelled = true;
    found->second->handlers = {};
    m_core->loop.defer([core = m_core.get(), alive = m_core->alive, id]() {
        if (*alive) {
            core->remove(id);
        }
    });
}

auto HttpClient::active() const -> std::size_t
{
    return m_core->calls.size();
}

auto HttpClient::bytesSent() const -> std::uint64_t
{
    return m_core->bytesSent;
}

auto HttpClient::bytesReceived() const -> std::uint64_t
{
    return m_core->bytesReceived;
}

auto urlOf(std::string_view address, std::string_view path) -> std::string
{
    return fmt::format("http://{}{}", address, path);
}

} // namespace currantstack
