// Interfaces that a platform adapter implements: the HTTP dialect of callers and upstreams, and the encoding of the store's records.
#pragma once

#include "currantstack/decisions/engine_placement.h"
#include "currantstack/decisions/peer_protocol.h"
#include "currantstack/decisions/route_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/edge/settings.h"
#include "currantstack/error.h"
#include "currantstack/fingerprint.h"
#include "currantstack/http.h"
#include "currantstack/http_client.h"
#include "currantstack/store.h"

#include <optional>

namespace currantstack
{

/// Data of a caller's request that the router acts on.
struct RequestMetadata
{
    std::string requestId; // of this attempt; echoed by the upstream
    std::string host;
    std::optional<Duration> timeLeft; // until the caller's deadline
    RequestShape shape; // zero for requests to plain services
    std::vector<Fingerprint> promptParts; // parts of the prompt that other requests may share, in order; without the request's own part
    std::optional<std::int64_t> lastEventId; // of the last event that the caller has received; none: it has no event
    std::string firstAttemptId; // attempt that brought the first event of the stream that the request continues; empty: not named

    /// Returns whether the caller continues a stream of an earlier attempt.
    auto continuesStream() const -> bool
    {
        return lastEventId || !firstAttemptId.empty();
    }
};

/// Data that the router adds to a request for one upstream.
struct ForwardSpec
{
    std::string instance; // the upstream's id; another upstream at the address refuses the request
    Duration timeLeft = Duration::zero();
    std::optional<std::int64_t> lastEventId; // of the last event that the caller has; none: the stream begins
    std::string kvSource; // "address/handle" of a KV cache prefilled on another engine; empty: none
    std::string reservation; // of KV memory at the upstream; empty: none
    bool prefillOnly = false;
    std::optional<std::string> tenant; // replaces the caller's key; empty: the caller has none; none: the deployment has no tenants
    std::optional<int> rank; // in which the engine admits waiting requests; 0 is the highest; none: the engine's default
};

/// The rate of requests that an upstream asks all VMs together to keep to.
struct NamedLimit
{
    std::string text; // as received; empty if the response names none
    std::optional<double> perSecond; // none although there is a text: it is malformed
};

/// The time in which an upstream that refuses a request wants no further ones.
struct NamedPause
{
    std::string text; // as received; empty if the response names none
    std::optional<Duration> duration; // none although there is a text: it is malformed
};

/// Properties of an upstream's response head beyond its status.
struct AnswerHead
{
    bool notRun = false; // the upstream promises that it did not run the request and will not
    bool fromUpstream = false; // carries an upstream's stamp, so no intermediary produced it
    bool matchesRequest = false; // echoes the request's id
    bool namesOtherRequest = false; // echoes another request's id, so that it promises nothing about this one
    bool leaving = false; // the upstream stops soon and wants no new requests
    bool encoded = false; // has a content encoding, so the body is not the upstream's plain body
    NamedLimit limit;
    NamedPause pause; // of a refusal
};

/// The KV cache of a prefilled prompt that an engine retains for a decode engine.
struct PrefillResult
{
    std::string handle;
    std::int64_t tokens = 0; // of the prompt
};

/// An engine's report of its state, some hundred milliseconds old.
struct EngineState
{
    EngineRole role = EngineRole::None;
    bool busyWithOrder = false;
    std::int64_t orderCount = 0; // orders accepted since the engine's start
    std::int64_t startedAtMs = 0; // since 1970; 0: not reported
};

/// An order to an engine to change its role.
struct RoleOrder
{
    EngineRole role = EngineRole::None;
    std::string holder; // VM that sends the order
    std::int64_t fencingToken = 0;
    std::int64_t orderCount = 0; // from the engine's last report; the engine refuses the order if it has accepted another since
};

/// The process from which the response to a probe comes.
enum class Responder
{
    Upstream, // the process that was asked
    Other, // a different one, which runs at the address now
    Unknown, // such as a front process or a relay
};

/// The HTTP dialect of callers and upstreams.
class EdgeProtocol
{
public:
    virtual ~EdgeProtocol() = default;

    virtual auto parseRequest(const HttpRequest &request) const -> RequestMetadata = 0;

    /// Returns a refusal, which promises that the request was not run. A `retryAfter` of zero is left out of the response.
    virtual auto refusal(Duration retryAfter, std::string_view reason) const -> HttpResponse = 0;

    /// Returns the API key of the request, or an empty text. The view is valid as long as the request.
    virtual auto callerKey(const HttpRequest &request) const -> std::string_view = 0;

    /// Returns the response to a request whose key is missing or unknown.
    virtual auto unauthorized(std::string_view reason) const -> HttpResponse = 0;

    /// Returns the response to a request beyond its tenant's quota, which promises that it was not run.
    virtual auto quotaExceeded(Duration retryAfter, std::string_view reason) const -> HttpResponse = 0;

    /// Returns the headers for the upstream: the caller's, without hop-by-hop headers and the router's own headers, plus those of `spec`.
    virtual auto forwardHeaders(const HttpRequest &request, const ForwardSpec &spec) const -> Headers = 0;

    /// Returns the headers for another VM that forwards the request: the caller's, without hop-by-hop headers, `RelayHeader` and, if the
    /// deployment has tenants, the key.
    virtual auto relayHeaders(const HttpRequest &request, bool hasTenants) const -> Headers = 0;

    /// Returns the headers of the response to the caller from those of the upstream's response.
    virtual auto answerHeaders(const Headers &headers) const -> Headers = 0;

    virtual auto parseHead(int status, const Headers &headers, const RequestMetadata &metadata) const -> AnswerHead = 0;
    virtual auto parsePrefill(std::string_view body) const -> Result<PrefillResult> = 0;

    /// Returns the call that reserves KV memory for `tokens` at the engine.
    virtual auto reserveCall(const Upstream &engine, std::int64_t tokens, Duration lifetime) const -> HttpCall = 0;

    /// Returns the reservation's id. The error is `Overloaded` if the engine has no capacity.
    virtual auto parseReservation(const HttpResponse &response) const -> Result<std::string> = 0;

    /// Returns the call that releases a reservation.
    virtual auto dropReservationCall(const Upstream &engine, std::string_view reservation) const -> HttpCall = 0;

    /// Returns a call to which an upstream at the path responds, whatever its state.
    virtual auto probeCall(const Upstream &upstream, std::string_view healthPath) const -> HttpCall = 0;

    /// Returns which process the response to a probe comes from. One that anything at the address could have sent proves nothing.
    virtual auto responderOf(const HttpResponse &response, const Upstream &upstream) const -> Responder = 0;

    /// Returns whether an engine's report lists the request among its runs.
    virtual auto listsRun(const HttpResponse &report, std::string_view requestId) const -> bool = 0;

    /// Returns the call that fetches the engine's state.
    virtual auto reportCall(const Upstream &engine) const -> HttpCall = 0;
    virtual auto parseReport(const HttpResponse &response) const -> Result<EngineState> = 0;

    /// Returns the call that sends the order.
    virtual auto orderCall(const Upstream &engine, const RoleOrder &order) const -> HttpCall = 0;

    /// Returns whether the engine refused an order because it has accepted a higher fencing token.
    virtual auto isFencedOff(const HttpResponse &response) const -> bool = 0;

    /// Returns the call that frees a retained KV cache at the engine.
    virtual auto freeHandleCall(const Upstream &engine, std::string_view handle) const -> HttpCall = 0;
};

/// A VM's entry in the store.
struct VmRecord
{
    std::string name;
    std::string place;
    SocketAddress peerAddress; // receives datagrams of other VMs
    PeerProtocol protocol = {}; // when the VM registered
};

/// Encoding of the store's keys and values.
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    /// Return the key prefixes of each kind of record.
    virtual auto routesPrefix() const -> std::string = 0;
    virtual auto upstreamsPrefix() const -> std::string = 0;
    virtual auto vmsPrefix() const -> std::string = 0;
    virtual auto quarantinePrefix() const -> std::string = 0;
    virtual auto versionsPrefix() const -> std::string = 0;

    /// Returns the key that names the VM that may send orders.
    virtual auto orderHolderKey() const -> std::string = 0;

    /// Returns whether the key holds the routes in force.
    virtual auto isRoutes(std::string_view key) const -> bool = 0;
    virtual auto decodeRoutes(const StoreValue &value) const -> Result<RouteTable> = 0;
    virtual auto decodeUpstream(const StoreValue &value) const -> Result<Upstream> = 0;

    /// Returns the upstream's id, or the VM's name, that the key contains.
    virtual auto idOf(std::string_view key) const -> std::string = 0;

    virtual auto encodeVm(const VmRecord &record) const -> std::string = 0;
    virtual auto decodeVm(const StoreValue &value) const -> Result<VmRecord> = 0;
};

} // namespace currantstack
