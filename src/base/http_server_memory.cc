// The server's part in the memory budget: it reserves memory for requests and refuses those that do not fit.
#include "http_server_core.h"

#include <algorithm>
#include <charconv>
#include <sys/socket.h>

namespace currantstack::detail
{

namespace
{

constexpr Duration EvictionStall = seconds(1); // without progress until a body gives way; a lost packet is repeated sooner
constexpr Duration UnreadStall = seconds(3); // for which a caller has read nothing of its response until it gives way
constexpr std::size_t MaxUnreadEvicted = 8; // at a time, because their memory comes back only with the next run
constexpr std::size_t ProgressBytes = 4U << 10; // of a body that are progress; otherwise a byte now and then would keep a large body
constexpr std::size_t MaxDiscardedBody = 16U << 10; // bytes of a body that is read, so that its connection can be used again

auto declaredLength(const HttpRequest &request) -> std::size_t
{
    std::size_t length = 0;
    const auto text = request.header("Content-Length");
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

} // namespace

/// Reserves memory for the request and for the body that its head declares. Returns what is short, or nothing.
auto ServerCore::reserveForRequest(Exchange &exchange) -> std::optional<MemoryShortage>
{
    const auto declared = declaredLength(exchange.m_request);
    exchange.m_bodyTooLarge = declared > m_maxBody;
    if (m_memory == nullptr) {
        return std::nullopt;
    }
    exchange.m_requestMemory = m_memory->grant(MemoryUse::Requests);
    exchange.m_bodyMemory = m_memory->grant(MemoryUse::Bodies);
    exchange.m_backlogMemory = m_memory->grant(MemoryUse::Backlogs);
    if (!obtain(exchange, [&exchange]() { return exchange.m_requestMemory.tryResize(MemoryBudget::RequestBytes); })) {
        return MemoryShortage{MemoryUse::Requests, MemoryBudget::RequestBytes};
    }
    const auto reserveBody = [&exchange, declared]() { return exchange.m_bodyMemory.tryGrow(exchange.m_request.body, declared, declared); };
    if (!exchange.m_bodyTooLarge && !obtain(exchange, reserveBody)) {
        return MemoryShortage{MemoryUse::Bodies, declared};
    }
    return std::nullopt;
}

/// Keeps a part of the body, unless the request is refused already. Returns what is short, or nothing.
auto ServerCore::appendBody(Exchange &exchange, std::string_view data) -> std::optional<MemoryShortage>
{
    const bool isRefused = exchange.m_refusedUnread || exchange.m_bodyTooLarge;
    exchange.m_newBodyBytes += isRefused ? 0 : data.size();
    if (exchange.m_newBodyBytes >= ProgressBytes) {
        exchange.m_newBodyBytes = 0;
        exchange.m_bodyProgressAt = m_clock.now();
    }
    auto &body = exchange.m_request.body;
    const auto size = body.size() + data.size();
    if (exchange.m_answered || exchange.m_bodyTooLarge) {
        return std::nullopt;
    }
    if (size > m_maxBody) {
        exchange.m_bodyTooLarge = true;
        return std::nullopt;
    }
    if (!obtain(exchange, [this, &exchange, &body, size]() { return exchange.m_bodyMemory.tryGrow(body, size, m_maxBody); })) {
        return MemoryShortage{MemoryUse::Bodies, size};
    }
    body.append(data);
    return std::nullopt;
}

auto ServerCore::refuseForMemory(Exchange &exchange, const MemoryShortage &shortage) -> MHD_Result
{
    return refuseBeforeBody(exchange,
                            m_onMemoryShortage ? m_onMemoryShortage(exchange.m_request, shortage) : HttpResponse{503, {}, "out of memory"});
}

/// Responds to a request whose body has not arrived completely. What still arrives of the body is ignored.
auto ServerCore::refuseBeforeBody(Exchange &exchange, HttpResponse response) -> MHD_Result
{
    std::string().swap(exchange.m_request.body);
    exchange.m_bodyMemory.set(0);
    const bool isChunked = !exchange.m_request.header("Transfer-Encoding").empty();
    const bool isShort = !isChunked && declaredLength(exchange.m_request) <= MaxDiscardedBody;
    if (exchange.m_lacksBuffer) {
        response.headers.push_back({"Connection", "close"});
    }
    if (isShort) {
        exchange.respond(std::move(response));
    } else {
        respondUnread(exchange, response);
    }
    return MHD_YES;
}

/// Writes to the connection itself, because libmicrohttpd takes no response while a body arrives. Returns whether all was sent.
auto ServerCore::respondUnread(Exchange &exchange, const HttpResponse &response) -> bool
{
    exchange.m_dispatched = true;
    exchange.m_refusedUnread = true;
    exchange.abort();
    const auto text = encodeResponse(response);
    const int descriptor = descriptorOf(exchange.m_connection);
    const auto sent = ::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    ::shutdown(descriptor, SHUT_WR);
    return sent == static_cast<ssize_t>(text.size());
}

/// Returns whether the request's head or body stands still, or its response was sent while the body was arriving and has been in the
/// caller's hands long enough. Bytes that wait to be read are progress, as this process may have stood still, unless they do not fit.
auto ServerCore::isStalled(const Exchange &exchange, TimePoint now) const -> bool
{
    const bool isArriving = !exchange.m_responseQueued && (!exchange.m_dispatched || exchange.m_refusedUnread);
    if (!isArriving || now - exchange.m_bodyProgressAt < EvictionStall || isClosedForReading(exchange.m_connection)) {
        return false;
    }
    const auto progress = tcpProgress(descriptorOf(exchange.m_connection));
    return exchange.m_refusedUnread || progress.unread == 0 || m_connections.at(exchange.m_connection).isBlocked(progress);
}

/// Ends the connections whose callers have read nothing of their responses for the longest. Returns their number.
auto ServerCore::evictUnread(TimePoint now) -> std::size_t
{
    std::vector<std::pair<TimePoint, Exchange *>> unread;
    for (auto *exchange : m_active) {
        const auto found = m_connections.find(exchange->m_connection);
        const bool isWritten = exchange->m_responseQueued && (!exchange->m_suspended || exchange->m_ended);
        if (isWritten && found != m_connections.end() && !found->second.isClosedForReading()
            && now - found->second.changedAt() >= UnreadStall) {
            unread.emplace_back(found->second.changedAt(), exchange);
        }
    }
    std::sort(unread.begin(), unread.end());
    std::size_t evicted = 0;
    for (const auto &[changedAt, exchange] : unread) {
        const int descriptor = descriptorOf(exchange->m_connection);
        if (evicted == MaxUnreadEvicted) {
            break;
        }
        if (tcpProgress(descriptor).unacknowledged > 0) {
            exchange->resetUnlessFramed();
            ::shutdown(descriptor, SHUT_WR);
            closeForReading(exchange->m_connection, m_connections.at(exchange->m_connection));
            ++evicted;
        }
    }
    return evicted;
}

/// Ends requests whose bodies stand still with status 408, those that have done so for the longest first, until there is enough room.
auto ServerCore::evictStalled(const Exchange *newcomer, const std::function<bool()> &isEnough) -> void
{
    const auto now = m_clock.now();
    std::vector<Exchange *> stalled;
    for (auto *exchange : m_active) {
        if (exchange != newcomer && isStalled(*exchange, now)) {
            stalled.push_back(exchange);
        }
    }
    std::sort(stalled.begin(), stalled.end(),
              [](const Exchange *left, const Exchange *right) { return left->m_bodyProgressAt < right->m_bodyProgressAt; });
    std::size_t evicted = 0;
    for (auto *exchange : stalled) {
        if (!exchange->m_refusedUnread) {
            respondUnread(
                *exchange,
                {408, {{"Content-Type", "application/problem+json"}}, R"({"title":"the request stalled","status":408,"ran":"no"})"});
            std::string().swap(exchange->m_request.body);
            exchange->m_bodyMemory.set(0);
        }
        exchange->m_requestMemory.set(0); // the exchange ends when libmicrohttpd reads the end of input, within its next run
        auto &watch = m_connections.at(exchange->m_connection);
        closeForReading(exchange->m_connection, watch);
        releaseBuffer(watch);
        ++evicted;
        if (isEnough()) {
            break;
        }
    }
    evicted += isEnough() ? 0 : evictUnread(now);
    if (evicted > 0) {
        scheduleRun();
        if (m_onStalledEvicted) {
            m_onStalledEvicted(evicted);
        }
    }
}

auto ServerCore::freeMemory(std::size_t bytes) -> void
{
    if (m_memory != nullptr) {
        evictStalled(nullptr, [this, bytes]() { return m_memory->hasRoom(MemoryUse::Answers, bytes, 0); });
    }
}

/// Reserves memory for the exchange, if need be in place of requests that stand still. Returns whether it has got it.
auto ServerCore::obtain(const Exchange &exchange, const std::function<bool()> &reserve) -> bool
{
    bool isReserved = reserve();
    if (!isReserved) {
        evictStalled(&exchange, [&isReserved, &reserve]() { return isReserved = reserve(); });
    }
    return isReserved;
}

} // namespace currantstack::detail
