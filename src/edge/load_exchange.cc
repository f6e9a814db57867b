#include "currantstack/edge/load_exchange.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxDatagram = 1400; // bytes, under the usual path MTU
constexpr int MaxReadsPerWake = 64; // so that datagrams do not starve callers

auto toSocketAddress(const SocketAddress &address) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

} // namespace

auto encodeLoad(const LoadMessage &message) -> std::string
{
    // An array for each upstream keeps the message short.
    auto works = nlohmann::json::array();
    for (const auto &[upstream, work] : message.works) {
        works.push_back({upstream, static_cast<std::int64_t>(work.promptTokens), static_cast<std::int64_t>(work.kvTokens), work.requests});
    }
    const nlohmann::json document = {{"vm", message.vm}, {"seq", message.sequence}, {"work", std::move(works)}};
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

auto decodeLoad(std::string_view bytes) -> Result<LoadMessage>
{
    const auto document = nlohmann::json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    const auto malformed = [](std::string_view what) { return fail(ErrorCode::BadInput, "decode load", "", what); };
    if (!document.is_object() || !document.contains("vm") || !document["vm"].is_string() || !document.contains("seq")
        || !document["seq"].is_number_unsigned() || !document.contains("work") || !document["work"].is_array()) {
        return malformed("fields are missing");
    }
    LoadMessage message{document["vm"].get<std::string>(), document["seq"].get<std::uint64_t>(), {}};
    for (const auto &row : document["work"]) {
        const bool valid = row.is_array() && row.size() == 4 && row[0].is_string() && row[1].is_number_integer() && row[2].is_number_integer()
            && row[3].is_number_integer();
        if (!valid) {
            return malformed("a row is malformed");
        }
        message.works.push_back({row[0].get<std::string>(), {row[1].get<double>(), row[2].get<double>(), row[3].get<int>()}});
    }
    return message;
}

LoadExchange::LoadExchange(EdgeContext &context)
    : m_context(context)
    , m_timer(context.loop.timer([this]() { tell(); }))
    // A restarted VM goes on above its former numbers.
    , m_sequence(static_cast<std::uint64_t>(epochMilliseconds(context.clock.wall())))
{ }

LoadExchange::~LoadExchange()
{
    if (m_socket >= 0) {
        ev_io_stop(m_context.loop.raw(), &m_io);
        ::close(m_socket);
    }
}

auto LoadExchange::start() -> Result<void>
{
    const auto &own = m_context.settings.peers;
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = toSocketAddress(own);
    if (m_socket < 0 || ::bind(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return fail(ErrorCode::Unavailable, "bind datagrams", own.text(), std::strerror(errno));
    }
    ev_io_init(&m_io, &LoadExchange::onReadable, m_socket, EV_READ);
    m_io.data = this;
    ev_io_start(m_context.loop.raw(), &m_io);
    m_timer->startRepeating(Period, Period);
    return {};
}

auto LoadExchange::setPeers(const VmRecords &vms) -> void
{
    m_peers.clear();
    for (const auto &[name, record] : vms) {
        if (name != m_context.settings.vm) {
            m_peers.push_back(record.peers);
        }
    }
}

auto LoadExchange::onReadable(struct ev_loop * /*loop*/, ev_io *watcher, int /*events*/) -> void
{
    static_cast<LoadExchange *>(watcher->data)->receive();
}

auto LoadExchange::receive() -> void
{
    std::array<char, 2 * MaxDatagram> buffer{};
    for (int turn = 0; turn < MaxReadsPerWake; ++turn) {
        const auto size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return;
        }
        const auto message = decodeLoad({buffer.data(), static_cast<std::size_t>(size)});
        if (!message) {
            m_context.counters.at("datagrams_malformed").add();
            m_context.log.write("load", "datagram_ignored", {{"error", describe(message.error())}});
            continue;
        }
        m_context.loads.hear(message->vm, message->sequence, message->works, m_context.clock.now());
    }
}

auto LoadExchange::tell() -> void
{
    const auto now = m_context.clock.now();
    LoadMessage message{m_context.settings.vm, 0, m_context.loads.own()};
    auto body = encodeLoad(message);
    if (body == m_lastBody && now - m_toldAt < IdlePeriod) {
        return;
    }
    m_lastBody = std::move(body);
    m_toldAt = now;
    message.sequence = ++m_sequence;
    auto bytes = encodeLoad(message);
    while (bytes.size() > MaxDatagram && !message.works.empty()) {
        // What does not fit is work of few tokens at the end of the list; the rest is still worth knowing.
        message.works.resize(message.works.size() * 3 / 4);
        m_context.counters.at("load_rows_cut").add();
        bytes = encodeLoad(message);
    }
    for (const auto &peer : m_peers) {
        const auto address = toSocketAddress(peer);
        ::sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    }
    m_context.counters.at("datagrams_sent").add(static_cast<std::int64_t>(m_peers.size()));
    m_context.counters.at("datagram_bytes_sent").add(static_cast<std::int64_t>(bytes.size() * m_peers.size()));
}

} // namespace currantstack
