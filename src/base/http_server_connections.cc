// The server's connections: their timeouts, their buffers, and which of them are closed so that others can be served.
#include "http_server_core.h"

#include <algorithm>
#include <sys/socket.h>

namespace currantstack::detail
{

namespace
{

constexpr Duration RoomPeriod = milliseconds(10); // between two times at which connections are closed to make room
constexpr Duration FullPeriod = milliseconds(100); // the same while none may be closed
constexpr std::size_t ReservedShare = 16; // idle connections are closed when fewer than this part of all connections are left
constexpr std::size_t FreedShare = 8; // until this part is left
constexpr Duration ArrivalPeriod = milliseconds(100); // of the search for requests that have begun to arrive; a small VM's link carries
                                                      // 2.5 MB in this time
constexpr Duration StalledHead = seconds(1); // without progress until a request whose head is incomplete gives way

} // namespace

auto ServerCore::onConnection(void *context, MHD_Connection *connection, void ** /*state*/, MHD_ConnectionNotificationCode code) -> void
{
    auto *self = static_cast<ServerCore *>(context);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        self->m_connections.insert_or_assign(connection, ConnectionWatch(self->m_limits, self->m_clock.now()));
        if (self->m_connections.size() > self->mostConnections() && !std::exchange(self->m_roomScheduled, true)) {
            self->m_roomTimer->startOnce(RoomPeriod);
        }
        if (self->mayBuffersExceedMemory() && !std::exchange(self->m_searchesArrivals, true)) {
            self->m_arrivalTimer->startRepeating(ArrivalPeriod, ArrivalPeriod);
        }
    } else {
        const bool wasFull = self->m_connections.size() >= self->m_maxConnections;
        if (const auto found = self->m_connections.find(connection); found != self->m_connections.end()) {
            self->releaseBuffer(found->second);
            self->m_connections.erase(found);
        }
        if (wasFull) {
            self->scheduleRun(); // libmicrohttpd accepts connections again with its next run
        }
    }
    self->accountConnections();
}

auto ServerCore::exchangesByConnection() const -> std::unordered_map<MHD_Connection *, Exchange *>
{
    std::unordered_map<MHD_Connection *, Exchange *> result;
    for (auto *exchange : m_active) {
        result.emplace(exchange->m_connection, exchange);
    }
    return result;
}

/// Returns the connections without a request in flight, those that have not changed for the longest first.
auto ServerCore::unusedConnections() const -> std::vector<std::pair<TimePoint, MHD_Connection *>>
{
    const auto exchanges = exchangesByConnection();
    const auto now = m_clock.now();
    std::vector<std::pair<TimePoint, MHD_Connection *>> waiting;
    for (const auto &[connection, watch] : m_connections) {
        const bool mayBeQuiet = now - watch.changedAt() >= ConnectionWatch::QuietTime && !exchanges.contains(connection);
        if (mayBeQuiet && !watch.isClosedForReading()) {
            waiting.emplace_back(watch.changedAt(), connection);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    return waiting;
}

auto ServerCore::closeIdle() -> void
{
    run();
    const auto exchanges = exchangesByConnection();
    const auto now = m_clock.now();
    for (auto &[connection, watch] : m_connections) {
        if (!exchanges.contains(connection) && watch.isQuiet(tcpProgress(descriptorOf(connection)), now)) {
            closeForReading(connection, watch);
        }
    }
    run();
}

/// Returns up to how many connections none is closed for others.
auto ServerCore::mostConnections() const -> std::size_t
{
    return m_maxConnections - m_maxConnections / ReservedShare;
}

/// Closes the connections that have been idle for the longest, and if these are too few, those with requests that stand still, so that
/// others can be accepted.
auto ServerCore::makeRoom() -> void
{
    const auto now = m_clock.now();
    const auto target = m_maxConnections - m_maxConnections / FreedShare;
    const auto open = static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &entry) { return !entry.second.isClosedForReading(); }));
    m_roomScheduled = open > mostConnections();
    if (!m_roomScheduled) {
        return;
    }
    std::size_t closed = 0;
    for (const auto &[changedAt, connection] : unusedConnections()) {
        auto &watch = m_connections.at(connection);
        if (open - closed > target && watch.isQuiet(tcpProgress(descriptorOf(connection)), now)) {
            closeForReading(connection, watch);
            ++closed;
        }
    }
    std::size_t evicted = 0;
    if (open - closed > target) {
        evictStalled(nullptr, [&evicted, open, closed, target]() { return open - closed - ++evicted <= target; });
    }
    m_roomTimer->startOnce(closed + evicted > 0 ? RoomPeriod : FullPeriod);
    if (closed > 0 && m_onIdleClosed) {
        m_onIdleClosed(closed, open);
    }
    scheduleRun();
}

/// libmicrohttpd closes the connection when it reads the end of input, after all bytes that arrive before. A request that these bytes
/// complete gets status 408.
auto ServerCore::closeForReading(MHD_Connection *connection, ConnectionWatch &watch) -> void
{
    watch.closeForReading(m_clock.now());
    ::shutdown(descriptorOf(connection), SHUT_RD);
}

auto ServerCore::isClosedForReading(MHD_Connection *connection) const -> bool
{
    const auto found = m_connections.find(connection);
    return found != m_connections.end() && found->second.isClosedForReading();
}

auto ServerCore::closeOverdue() -> void
{
    const auto exchanges = exchangesByConnection();
    const auto now = m_clock.now();
    for (auto &[connection, watch] : m_connections) {
        auto phase = ConnectionPhase::BetweenRequests;
        Exchange *exchange = nullptr;
        if (const auto found = exchanges.find(connection); found != exchanges.end()) {
            exchange = found->second;
            phase = exchange->m_suspended && !exchange->m_ended ? ConnectionPhase::Waiting
                : exchange->m_headRead                          ? ConnectionPhase::Transfer
                                                                : ConnectionPhase::Head;
        }
        const int descriptor = descriptorOf(connection);
        if (exchange == nullptr && watch.isClosedForReading() && now - watch.closedForReadingAt() >= CheckPeriod) {
            // libmicrohttpd misses the end of input if it arrives together with the last bytes.
            ::shutdown(descriptor, SHUT_RDWR);
            continue;
        }
        const auto verdict = watch.check(m_limits, phase, tcpProgress(descriptor), now);
        const bool isRead = exchange == nullptr || !exchange->m_responseQueued; // by the server; otherwise the response is written
        if (verdict != ConnectionVerdict::Keep && isRead) {
            closeForReading(connection, watch);
        } else if (verdict != ConnectionVerdict::Keep) {
            exchange->resetUnlessFramed();
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    scheduleRun();
}

/// Returns the memory that the connections hold. A connection holds its whole buffer from its first request on, because libmicrohttpd
/// overwrites all of it between two requests.
auto ServerCore::connectionMemory() const -> std::size_t
{
    return m_connections.size() * MemoryBudget::ConnectionBytes + m_buffers * m_bufferBytes;
}

auto ServerCore::accountConnections() -> void
{
    if (m_memory != nullptr && m_connectionMemory.bytes() == 0) {
        m_connectionMemory = m_memory->grant(MemoryUse::Connections);
    }
    m_connectionMemory.set(connectionMemory());
}

auto ServerCore::releaseBuffer(ConnectionWatch &watch) -> void
{
    m_buffers -= watch.releaseBuffer() ? 1 : 0;
}

/// Returns whether there would be too little memory if requests arrived on all connections.
auto ServerCore::mayBuffersExceedMemory() const -> bool
{
    return m_memory != nullptr && !m_memory->hasRoom(MemoryUse::Connections, (m_connections.size() - m_buffers) * m_bufferBytes, 0);
}

/// Accounts the buffer of a connection on which a request begins to arrive. If there is no memory for it, other connections give way.
/// Returns false if none can.
auto ServerCore::holdBuffer(MHD_Connection *connection) -> bool
{
    const auto found = m_connections.find(connection);
    if (m_memory == nullptr || found == m_connections.end() || found->second.isClosedForReading() || !found->second.holdBuffer()) {
        return true;
    }
    ++m_buffers;
    const auto now = m_clock.now();
    bool hasRoom = m_connectionMemory.tryResize(connectionMemory());
    if (!hasRoom && now >= m_nextBufferSearch) {
        m_nextBufferSearch = now + RoomPeriod;
        closeForBuffers(connection);
        hasRoom = m_connectionMemory.tryResize(connectionMemory());
    }
    accountConnections();
    return hasRoom;
}

/// Closes connections that hold a buffer and have been idle, or have sent a part of a head, for the longest, and then those with requests
/// that stand still, until a part of the memory for connections is free.
auto ServerCore::closeForBuffers(MHD_Connection *newcomer) -> void
{
    const auto now = m_clock.now();
    const auto isEnough = [this]() {
        const auto share = MemoryBudget::ConnectionsShare * static_cast<double>(m_memory->bytes());
        const auto free = static_cast<std::size_t>(share) / FreedShare;
        accountConnections();
        return m_memory->hasRoom(MemoryUse::Connections, free, 0);
    };
    std::size_t closed = 0;
    const auto open = m_connections.size();
    for (const auto &[changedAt, connection] : unusedConnections()) {
        auto &watch = m_connections.at(connection);
        if (connection == newcomer || !watch.holdsBuffer()) {
            continue;
        }
        const auto progress = tcpProgress(descriptorOf(connection));
        if (watch.isQuiet(progress, now) || (progress.unread == 0 && now - changedAt >= StalledHead)) {
            closeForReading(connection, watch);
            releaseBuffer(watch);
            ++closed;
            if (isEnough()) {
                break;
            }
        }
    }
    if (closed > 0 && m_onIdleClosed) {
        m_onIdleClosed(closed, open);
    }
    if (!isEnough()) {
        evictStalled(nullptr, isEnough);
    }
    scheduleRun();
}

/// Finds requests that have begun to arrive on connections whose buffer is not accounted yet, before their first line is complete.
auto ServerCore::findArrivals() -> void
{
    if (!mayBuffersExceedMemory()) {
        m_searchesArrivals = false;
        m_arrivalTimer->stop();
        return;
    }
    std::vector<MHD_Connection *> begun;
    for (const auto &[connection, watch] : m_connections) {
        if (!watch.holdsBuffer() && !watch.isClosedForReading() && tcpProgress(descriptorOf(connection)).received > 0) {
            begun.push_back(connection);
        }
    }
    for (auto *connection : begun) {
        if (!holdBuffer(connection)) {
            closeForReading(connection, m_connections.at(connection));
        }
    }
}

} // namespace currantstack::detail
