#include "currantstack/http_client.h"

#include "http_client_core.h"

#include <arpa/inet.h>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Duration OpenTime = milliseconds(100); // in which a relay learns that its upstream has ended

/// Returns whether the URL's host is an IPv4 address. libcurl would resolve a host name in a thread and block the loop while joining it.
auto hasNumericHost(std::string_view url) -> bool
{
    constexpr std::string_view Scheme = "http://";
    if (!url.starts_with(Scheme)) {
        return false;
    }
    url.remove_prefix(Scheme.size());
    const std::string host(url.substr(0, url.find_first_of(":/")));
    in_addr address{};
    return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

} // namespace

auto HttpClient::Core::rejectDeferred(CallId id, std::unique_ptr<Call> call) -> void
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
                fail(ErrorCode::Unreachable, refused->options.step, refused->options.peer, "the address is not an IPv4 address"));
        }
    });
}

HttpClient::HttpClient(Loop &loop, MemoryBudget *memory)
    : m_core(std::make_unique<Core>(loop, memory))
{ }

HttpClient::~HttpClient() = default;

auto HttpClient::start(HttpCall call, HttpHandlers handlers) -> CallId
{
    auto entry = std::make_unique<Core::Call>();
    const auto id = m_core->nextId++;
    entry->id = id;
    entry->core = m_core.get();
    entry->options = std::move(call);
    entry->handlers = std::move(handlers);
    entry->startedAt = m_core->clock.now();
    entry->lastProgress = entry->startedAt;
    entry->account();
    if (!hasNumericHost(entry->options.url)) {
        m_core->rejectDeferred(id, std::move(entry));
        return id;
    }
    m_core->configure(*entry);
    auto *easy = entry->easy;
    m_core->calls.emplace(id, std::move(entry));
    if (m_core->curlDepth == 0) {
        curl_multi_add_handle(m_core->multi, easy);
        return id;
    }
    // libcurl's multi interface must not be called from its own callbacks.
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

auto HttpClient::onMemoryShortage(std::function<void(std::size_t bytes)> callback) -> void
{
    m_core->onMemoryShortage = std::move(callback);
}

auto HttpClient::progress(CallId id) const -> std::optional<CallProgress>
{
    const auto found = m_core->calls.find(id);
    if (found == m_core->calls.end() || found->second->cancelled) {
        return std::nullopt;
    }
    const auto &call = *found->second;
    const auto now = m_core->clock.now();
    return CallProgress{call.headBytes > 0, call.bodyBytes, call.declaredLength(), now - call.startedAt, now - call.lastProgress};
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

auto connectOnlyCall(std::string_view address, Duration connectTimeout) -> HttpCall
{
    HttpCall call;
    call.url = urlOf(address, "/");
    call.connectTimeout = connectTimeout;
    call.totalTimeout = connectTimeout;
    call.connectOnly = true;
    call.openTime = OpenTime;
    call.freshConnection = true; // libcurl closes it with the call, and at once if its reuse were forbidden
    return call;
}

auto urlOf(std::string_view address, std::string_view path) -> std::string
{
    return fmt::format("http://{}{}", address, path);
}

} // namespace currantstack
