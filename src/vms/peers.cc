#include "currantstack/peers.h"

#include "currantstack/codec.h"

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace currantstack
{

namespace
{

auto parseInteger(std::string_view text) -> std::int64_t
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto codeOf(std::string_view text) -> ErrorCode
{
    constexpr std::array<ErrorCode, 13> Codes = {
        ErrorCode::BadInput,       ErrorCode::Unauthorized,     ErrorCode::Forbidden,   ErrorCode::NotFound,    ErrorCode::Conflict,
        ErrorCode::Overloaded,     ErrorCode::DeadlineExceeded, ErrorCode::Unreachable, ErrorCode::Unavailable, ErrorCode::Cancelled,
        ErrorCode::OutcomeUnknown, ErrorCode::Quarantined,      ErrorCode::Internal};
    for (const auto code : Codes) {
        if (name(code) == text) {
            return code;
        }
    }
    return ErrorCode::Internal;
}

} // namespace

auto toJson(const Error &error) -> Json
{
    return {{"code", name(error.code)}, {"step", error.step}, {"peer", error.peer}, {"message", error.message}};
}

auto errorFromJson(const Json &value, std::string_view step, std::string_view peer) -> Error
{
    Error error{ErrorCode::Internal, std::string(step), std::string(peer), "the peer rejected the message"};
    if (value.is_object() && value.contains("error") && value["error"].is_object()) {
        ValidationErrors ignored;
        ObjectReader reader(value["error"], "", ignored);
        error.code = codeOf(reader.text("code", "internal"));
        error.message = reader.text("message", error.message);
        error.step = reader.text("step", error.step);
    }
    return error;
}

PeerAuth::PeerAuth(std::string secret, std::string self, const Clock &clock)
    : m_secret(std::move(secret))
    , m_self(std::move(self))
    , m_clock(clock)
    , m_nextNonce(static_cast<std::uint64_t>(clock.wall().time_since_epoch().count()))
{ }

auto PeerAuth::digest(std::string_view sender, std::string_view time, std::string_view nonce, std::string_view path,
                      std::string_view body) const -> std::string
{
    return hmac(m_secret, fmt::format("{}\n{}\n{}\n{}\n{}", sender, time, nonce, path, body));
}

auto PeerAuth::sign(std::string_view path, std::string_view body) -> std::string
{
    const auto time = std::to_string(epochMilliseconds(m_clock.wall()));
    const auto nonce = fmt::format("{}-{:x}", m_self, m_nextNonce++);
    return fmt::format("{};{};{};{}", m_self, time, nonce, digest(m_self, time, nonce, path, body));
}

auto PeerAuth::verify(std::string_view header, std::string_view path, std::string_view body) -> Result<std::string>
{
    std::array<std::string_view, 4> parts;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const auto end = index + 1 < parts.size() ? header.find(';') : header.size();
        if (end == std::string_view::npos) {
            return fail(ErrorCode::Unauthorized, "peer message", "", "the signature is missing or malformed");
        }
        parts[index] = header.substr(0, end);
        header.remove_prefix(std::min(header.size(), end + 1));
    }
    const auto &[sender, time, nonce, mac] = parts;
    if (!equalConstantTime(mac, digest(sender, time, nonce, path, body))) {
        return fail(ErrorCode::Unauthorized, "peer message", sender, "the signature is invalid");
    }
    const auto now = epochMilliseconds(m_clock.wall());
    const auto limit = std::chrono::duration_cast<milliseconds>(MaxSkew).count();
    if (std::abs(now - parseInteger(time)) > limit) {
        return fail(ErrorCode::Unauthorized, "peer message", sender, "the message's time is off by more than the allowed clock skew");
    }
    if (m_seenNonces.size() >= MaxRememberedNonces) {
        std::erase_if(m_seenNonces, [now, limit](const auto &entry) { return now - entry.second > 2 * limit; });
    }
    if (!m_seenNonces.emplace(std::string(nonce), parseInteger(time)).second) {
        return fail(ErrorCode::Unauthorized, "peer message", sender, "the message was received before");
    }
    return std::string(sender);
}

PeerClient::PeerClient(HttpClient &client, PeerAuth &auth, Timeline &timeline, Counters &counters)
    : m_client(client)
    , m_auth(auth)
    , m_timeline(timeline)
    , m_counters(counters)
{ }

auto PeerClient::call(std::string_view address, std::string_view path, const Json &body, Duration timeout,
                      std::function<void(Result<Json>)> done) -> HttpClient::CallId
{
    auto call = prepare(address, path, body);
    call.totalTimeout = timeout;
    return start(std::move(call), std::move(done));
}

auto PeerClient::fetch(std::string_view address, std::string_view path, const Json &body, Duration beginTimeout,
                       std::function<void(Result<Json>)> done) -> HttpClient::CallId
{
    auto call = prepare(address, path, body);
    call.limitSilence(beginTimeout);
    return start(std::move(call), std::move(done));
}

auto PeerClient::prepare(std::string_view address, std::string_view path, const Json &body) -> HttpCall
{
    HttpCall call;
    call.method = "POST";
    call.url = urlOf(address, path);
    call.body = dumpJson(body);
    call.headers = {{"Content-Type", "application/json"},
                    {std::string(PeerAuthHeader), m_auth.sign(path, call.body)},
                    {std::string(PeerTimeHeader), std::to_string(m_timeline.logical())}};
    call.step = path;
    call.peer = address;
    return call;
}

auto PeerClient::start(HttpCall call, std::function<void(Result<Json>)> done) -> HttpClient::CallId
{
    m_counters.at("peer_messages_sent").add();
    // The byte counters add 350 bytes for the headers of a request and 150 for those of a reply.
    m_counters.at("peer_bytes_sent").add(static_cast<std::int64_t>(call.body.size()) + 350);
    HttpHandlers handlers;
    handlers.onDone = [this, path = call.step, address = call.peer, done = std::move(done)](const Result<HttpResponse> &response) {
        if (!response) {
            m_counters.at("peer_errors").add();
            return done(tl::unexpected(response.error()));
        }
        m_timeline.observe(parseInteger(findHeader(response->headers, PeerTimeHeader)));
        m_counters.at("peer_bytes_received").add(static_cast<std::int64_t>(response->body.size()) + 150);
        auto reply = parseJson(response->body, path);
        if (reply && response->status != 200) {
            return done(tl::unexpected(errorFromJson(*reply, path, address)));
        }
        done(std::move(reply));
    };
    return m_client.start(std::move(call), std::move(handlers));
}

auto PeerClient::cancel(HttpClient::CallId id) -> void
{
    m_client.cancel(id);
}

PeerRouter::PeerRouter(PeerAuth &auth, Timeline &timeline, Counters &counters)
    : m_auth(auth)
    , m_timeline(timeline)
    , m_counters(counters)
{ }

auto PeerRouter::on(std::string path, Handler handler) -> void
{
    m_handlers[std::move(path)] = std::move(handler);
}

auto PeerRouter::dispatch(const ExchangePtr &exchange) -> bool
{
    const auto &request = exchange->request();
    const auto handler = m_handlers.find(request.path);
    if (handler == m_handlers.end()) {
        return false;
    }
    const auto refuse = [&exchange](const Error &error) {
        exchange->respond(jsonResponse(httpStatus(error.code), dumpJson({{"error", toJson(error)}})));
    };
    const auto sender = m_auth.verify(request.header(PeerAuthHeader), request.path, request.body);
    if (!sender) {
        m_counters.at("peer_messages_refused").add();
        refuse(sender.error());
        return true;
    }
    m_timeline.observe(parseInteger(request.header(PeerTimeHeader)));
    m_counters.at("peer_messages_received").add();
    m_counters.at("peer_bytes_received").add(static_cast<std::int64_t>(request.body.size()) + 350);
    const auto body = parseJson(request.body, request.path);
    if (!body || !body->is_object()) {
        refuse({ErrorCode::BadInput, request.path, *sender, "the body must be a JSON object"});
        return true;
    }
    handler->second(*sender, *body, exchange, [this, exchange](const Result<Json> &reply) {
        auto response = reply ? jsonResponse(200, dumpJson(*reply))
                              : jsonResponse(httpStatus(reply.error().code), dumpJson({{"error", toJson(reply.error())}}));
        response.headers.push_back({std::string(PeerTimeHeader), std::to_string(m_timeline.logical())});
        m_counters.at("peer_bytes_sent").add(static_cast<std::int64_t>(response.body.size()) + 150);
        exchange->respond(std::move(response));
    });
    return true;
}

} // namespace currantstack
