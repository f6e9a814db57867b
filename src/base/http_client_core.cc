// Drives libcurl's multi interface from the event loop: sockets, timers and completed calls.
#include "http_client_core.h"

namespace currantstack
{

namespace
{

constexpr Duration IdleCheckPeriod = milliseconds(50);

} // namespace

HttpClient::Core::Core(Loop &eventLoop, MemoryBudget *budget)
    : loop(eventLoop)
    , memory(budget)
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
        ++curlDepth;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
        --curlDepth;
        processCompleted();
    });
    idleTimer = loop.timer([this]() {
        resumePaused();
        failIdleCalls();
    });
    idleTimer->startRepeating(IdleCheckPeriod, IdleCheckPeriod);
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

auto HttpClient::Core::processCompleted() -> void
{
    if (curlDepth > 0) {
        return;
    }
    const auto stillAlive = alive;
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
            if (!*stillAlive) {
                return;
            }
        }
    }
    for (const auto id : std::exchange(pendingRemovals, {})) {
        remove(id);
    }
}

auto HttpClient::Core::failIdleCalls() -> void
{
    const auto now = clock.now();
    std::vector<Call *> expired;
    for (auto &[id, call] : calls) {
        const auto &options = call->options;
        const bool awaitsBody = !call->headDelivered && options.firstByteTimeout > Duration::zero();
        const auto limit = awaitsBody ? options.firstByteTimeout : options.idleTimeout;
        if (limit > Duration::zero() && !call->cancelled && !call->idleExpired && now - call->lastProgress > limit) {
            expired.push_back(call.get());
        }
    }
    for (auto *call : expired) {
        call->idleExpired = true;
        auto callback = std::move(call->handlers.onDone);
        const auto error = toError(*call, CURLE_OPERATION_TIMEDOUT);
        call->cancelled = true;
        pendingRemovals.push_back(call->id);
        if (callback) {
            callback(tl::unexpected(error));
        }
    }
    processCompleted();
}

auto HttpClient::Core::onSocket(CURL *easy, curl_socket_t socket, int what, void *context, void *data) -> int
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
    Call *user = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &user);
    self->socketUsers[socket] = user->id;
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
    ++self->curlDepth;
    curl_multi_socket_action(self->multi, watcher->fd, mask, &running);
    --self->curlDepth;
    self->processCompleted();
}

} // namespace currantstack
