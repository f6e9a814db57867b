// Authenticated messages between VMs: HTTP with JSON, an HMAC over sender, time and body, and refusal of replays.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/http_client.h"
#include "currantstack/http_server.h"
#include "currantstack/json.h"
#include "currantstack/timeline.h"

#include <map>
#include <string>

namespace currantstack
{

inline constexpr std::string_view PeerAuthHeader = "X-Currant-Auth";
inline constexpr std::string_view PeerTimeHeader = "X-Currant-Logical";

/// Signs messages and checks the signatures of others.
class PeerAuth
{
public:
    static constexpr Duration MaxSkew = seconds(30); // between the clocks of two VMs
    static constexpr std::size_t MaxRemembered = 8192;

    PeerAuth(std::string secret, std::string self, const Clock &clock);

    /// Returns the header's value for a message.
    auto sign(std::string_view path, std::string_view body) -> std::string;

    /// Returns the sender, or why the message is refused. A message is accepted once.
    auto verify(std::string_view header, std::string_view path, std::string_view body) -> Result<std::string>;

private:
    auto digest(std::string_view sender, std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const
        -> std::string;

    std::string m_secret;
    std::string m_self;
    const Clock &m_clock;
    std::uint64_t m_nextNonce;
    std::map<std::string, std::int64_t, std::less<>> m_seen; // nonce to wall time in ms
};

/// Calls other VMs.
class PeerClient
{
public:
    PeerClient(HttpClient &client, PeerAuth &auth, Timeline &timeline, Counters &counters);

    /// Sends one message. There is no retry; the caller decides, within its budget.
    auto call(std::string_view address, std::string_view path, const Json &body, Duration timeout, std::function<void(Result<Json>)> done)
        -> HttpClient::CallId;
    auto cancel(HttpClient::CallId id) -> void;

private:
    HttpClient &m_client;
    PeerAuth &m_auth;
    Timeline &m_timeline;
    Counters &m_counters;
};

/// Routes verified messages to handlers by path.
class PeerRouter
{
public:
    using Reply = std::function<void(Result<Json>)>;
    using Handler = std::function<void(const std::string &sender, const Json &body, const ExchangePtr &exchange, Reply reply)>;

    PeerRouter(PeerAuth &auth, Timeline &timeline, Counters &counters);
    auto on(std::string path, Handler handler) -> void;

    /// Answers the exchange where its path has a handler; returns false otherwise.
    auto dispatch(const ExchangePtr &exchange) -> bool;

private:
    PeerAuth &m_auth;
    Timeline &m_timeline;
    Counters &m_counters;
    std::map<std::string, Handler, std::less<>> m_handlers;
};

/// Returns the JSON form of an error that crosses between processes, and back.
auto toJson(const Error &error) -> Json;
auto errorFromJson(const Json &value, std::string_view step, std::string_view peer) -> Error;

} // namespace currantstack
