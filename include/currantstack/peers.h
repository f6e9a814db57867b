// Authenticated messages between VMs: JSON over HTTP, with an HMAC over sender, time, nonce, path and body, and replay protection.
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

/// Signs messages and verifies received ones.
class PeerAuth
{
public:
    static constexpr Duration MaxSkew = seconds(30); // between the clocks of two VMs
    static constexpr std::size_t MaxRememberedNonces = 8192; // beyond this, expired nonces are removed

    PeerAuth(std::string secret, std::string self, const Clock &clock);

    /// Returns the value of the authentication header for a message.
    auto sign(std::string_view path, std::string_view body) -> std::string;

    /// Returns the sender, or why the message is rejected. Each message is accepted only once.
    auto verify(std::string_view header, std::string_view path, std::string_view body) -> Result<std::string>;

private:
    auto digest(std::string_view sender, std::string_view time, std::string_view nonce, std::string_view path, std::string_view body) const
        -> std::string;

    std::string m_secret;
    std::string m_self;
    const Clock &m_clock;
    std::uint64_t m_nextNonce;
    std::map<std::string, std::int64_t, std::less<>> m_seenNonces; // nonce to wall time in ms
};

/// Calls other VMs.
class PeerClient
{
public:
    PeerClient(HttpClient &client, PeerAuth &auth, Timeline &timeline, Counters &counters);

    /// Sends one message, without retries: the caller has the retry budget.
    auto call(std::string_view address, std::string_view path, const Json &body, Duration timeout, std::function<void(Result<Json>)> done)
        -> HttpClient::CallId;

    /// The same for an answer that may be long: `beginTimeout` limits the time until it begins.
    auto fetch(std::string_view address, std::string_view path, const Json &body, Duration beginTimeout,
               std::function<void(Result<Json>)> done) -> HttpClient::CallId;
    auto cancel(HttpClient::CallId id) -> void;

private:
    auto prepare(std::string_view address, std::string_view path, const Json &body) -> HttpCall;
    auto start(HttpCall call, std::function<void(Result<Json>)> done) -> HttpClient::CallId;

    HttpClient &m_client;
    PeerAuth &m_auth;
    Timeline &m_timeline;
    Counters &m_counters;
};

/// Dispatches verified messages to handlers by path.
class PeerRouter
{
public:
    using Reply = std::function<void(Result<Json>)>;
    using Handler = std::function<void(const std::string &sender, const Json &body, const ExchangePtr &exchange, Reply reply)>;

    PeerRouter(PeerAuth &auth, Timeline &timeline, Counters &counters);
    auto on(std::string path, Handler handler) -> void;

    /// Responds if the path has a handler; otherwise returns false.
    auto dispatch(const ExchangePtr &exchange) -> bool;

private:
    PeerAuth &m_auth;
    Timeline &m_timeline;
    Counters &m_counters;
    std::map<std::string, Handler, std::less<>> m_handlers;
};

/// Convert an error to JSON and back, to send it between processes. `peer` is where the error comes from; `step` is the default.
auto toJson(const Error &error) -> Json;
auto errorFromJson(const Json &value, std::string_view step, std::string_view peer) -> Error;

} // namespace currantstack
