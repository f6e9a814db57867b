// The ports that an adapter fills: how callers and upstreams spell what the router needs to know.
#pragma once

#include "currantstack/decisions/engine_placement.h"
#include "currantstack/decisions/route_table.h"
#include "currantstack/decisions/upstream_directory.h"
#include "currantstack/edge/settings.h"
#include "currantstack/error.h"
#include "currantstack/http.h"
#include "currantstack/http_client.h"
#include "currantstack/store.h"

#include <optional>

namespace currantstack
{

/// What a caller's request says of itself.
struct RequestMetadata
{
    std::string requestId; // of this attempt; echoed by the upstream
    std::string host;
    std::optional<Duration> timeLeft; // how long the caller waits
    PromptShape shape; // zero where the request is for a plain service
    std::int64_t lastEventId = 0; // events that the caller has already
};

/// What the router adds to a request for one upstream.
struct ForwardSpec
{
    std::string instance; // the upstream's id; another one at the address refuses
    Duration timeLeft = Duration::zero();
    std::int64_t lastEventId = 0;
    std::string kvSource; // "address/handle" of a prompt that was read elsewhere; empty: none
    std::string reservation; // of room at the upstream; empty: none
    bool prefillOnly = false;
};

/// What an upstream's response head says beyond its status.
struct AnswerHead
{
    bool notRun = false; // the upstream did not run the request and will not
    bool fromUpstream = false; // the answer is an upstream's own
    bool matchesRequest = false; // it echoes the request's id
    bool encoded = false; // the body is not the upstream's plain body
};

/// A prompt that an engine has read and keeps for another.
struct PrefillResult
{
    std::string handle;
    std::int64_t tokens = 0;
};

/// What an engine says of itself; some hundred milliseconds old.
struct EngineState
{
    EngineRole role = EngineRole::None;
    bool busyWithOrder = false;
    std::int64_t orderCount = 0; // orders that it has accepted since its start
};

struct RoleOrder
{
    EngineRole role = EngineRole::None;
    std::string holder;
    std::int64_t fencingToken = 0;
    std::int64_t orderCount = 0; // the order is refused where the engine has accepted others since
};

/// The caller's and the upstreams' dialect.
class EdgeProtocol
{
public:
    virtual ~EdgeProtocol() = default;

    virtual auto parseRequest(const HttpRequest &request) const -> RequestMetadata = 0;

    /// Returns a refusal that promises that the request was not run. `retryAfter` of zero gives no advice.
    virtual auto refusal(Duration retryAfter, std::string_view reason) const -> HttpResponse = 0;

    /// Returns the headers of the request at an upstream: the caller's, without those of one connection or of the router's own.
    virtual auto forwardHeaders(const HttpRequest &request, const ForwardSpec &spec) const -> Headers = 0;

    /// Returns the headers of the caller's response from those of the upstream's.
    virtual auto answerHeaders(const Headers &headers) const -> Headers = 0;

    virtual auto parseHead(int status, const Headers &headers, const RequestMetadata &metadata) const -> AnswerHead = 0;
    virtual auto parsePrefill(std::string_view body) const -> Result<PrefillResult> = 0;

    /// Returns the call that reserves room for a request at the engine.
    virtual auto reserve(const Upstream &engine, std::int64_t tokens, Duration life) const -> HttpCall = 0;

    /// Returns the reservation's id. The error is `Overloaded` where the engine has no room.
    virtual auto parseReservation(const HttpResponse &response) const -> Result<std::string> = 0;
    virtual auto dropReservation(const Upstream &engine, std::string_view reservation) const -> HttpCall = 0;

    virtual auto report(const Upstream &engine) const -> HttpCall = 0;
    virtual auto parseReport(const HttpResponse &response) const -> Result<EngineState> = 0;
    virtual auto orderRole(const Upstream &engine, const RoleOrder &order) const -> HttpCall = 0;

    /// Returns whether the engine refused an order because it knows a higher fencing token.
    virtual auto isFencedOff(const HttpResponse &response) const -> bool = 0;

    /// Returns the call that frees a handle at the engine.
    virtual auto freeHandle(const Upstream &engine, std::string_view handle) const -> HttpCall = 0;
};

/// A VM's own entry in the store.
struct VmRecord
{
    std::string name;
    std::string place;
    SocketAddress peers;
};

/// How the store's keys and values are spelled.
class StoreCodec
{
public:
    virtual ~StoreCodec() = default;

    /// Returns the prefixes under which the records of each kind lie.
    virtual auto routesPrefix() const -> std::string = 0;
    virtual auto upstreamsPrefix() const -> std::string = 0;
    virtual auto vmsPrefix() const -> std::string = 0;

    /// Returns the key under which the holder of orders stands.
    virtual auto orderHolderKey() const -> std::string = 0;

    /// Returns whether the key holds the routes in force.
    virtual auto isRoutes(std::string_view key) const -> bool = 0;
    virtual auto decodeRoutes(const StoreValue &value) const -> Result<RouteTable> = 0;
    virtual auto decodeUpstream(const StoreValue &value) const -> Result<Upstream> = 0;

    /// Returns the upstream's id, or the VM's name, that a key stands for.
    virtual auto idOf(std::string_view key) const -> std::string = 0;

    virtual auto encodeVm(const VmRecord &record) const -> std::string = 0;
    virtual auto decodeVm(const StoreValue &value) const -> Result<VmRecord> = 0;
};

} // namespace currantstack
