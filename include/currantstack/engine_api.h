// Messages between the router and an engine. docs/INTERFACES.md documents them with examples.
#pragma once

#include "currantstack/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantstack
{

/// The `kv_transfer_params` of disaggregated serving: the location of a prefill's KV cache, or a request to retain one.
struct KvTransfer
{
    bool doRemoteDecode = false; // in a prefill request: retain the KV cache for another engine
    bool doRemotePrefill = false; // in a decode request: fetch the KV cache named here
    std::string remoteAddress; // "address:port" of the engine that holds the KV cache
    std::string remoteHandle;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; // prompt tokens found in the prefix cache
    std::int64_t expiresInMs = 0; // remaining lifetime of the KV cache
};

/// A completion request to an engine.
struct CompletionRequest
{
    std::string requestId; // "vm.startedAtMs.sequence.attempt", such as "vm0.1796358062090.12345.d0"
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 16;
    bool stream = false;
    std::int64_t priority = 0;
    std::int64_t continueFrom = 0; // output tokens already delivered; the answer resumes after them
    KvTransfer transfer;
};

/// An entry of an engine's list of requests that hold memory.
struct RunningRequest
{
    std::string requestId;
    std::string phase; // "waiting", "prefill", "exportable", "transfer", "decode"
    std::int64_t ageMs = 0;
};

/// An engine's report of its load.
struct LoadReport
{
    std::int64_t slots = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t waitingTokens = 0;
    std::int64_t ageMs = 0; // of the figures when they are sent
};

/// An order that changes an engine's role, model or version.
struct EngineOrder
{
    std::string kind; // "role", "load", "unload", "version"
    std::string value;
    std::int64_t fencingToken = 0; // an engine that checks it refuses orders with a token lower than the highest seen
    std::string senderToken; // secret of an engine that authenticates the sender; else empty
};

auto toJson(const KvTransfer &transfer) -> Json;
auto toJson(const CompletionRequest &request) -> Json;
auto toJson(const RunningRequest &request) -> Json;
auto toJson(const LoadReport &report) -> Json;
auto toJson(const EngineOrder &order) -> Json;

auto kvTransferFromJson(const Json &value) -> Result<KvTransfer>;
auto completionFromJson(const Json &value) -> Result<CompletionRequest>;
auto runningFromJson(const Json &value) -> Result<std::vector<RunningRequest>>;
auto loadReportFromJson(const Json &value) -> Result<LoadReport>;
auto engineOrderFromJson(const Json &value) -> Result<EngineOrder>;

/// Returns the prompt made of a chat's messages, one "role: content" line each.
auto promptOfMessages(const Json &messages) -> Result<std::string>;

/// Limits of every completion request.
inline constexpr std::int64_t MaxOutputTokens = 32768;
inline constexpr std::int64_t MaxPriority = 9;

} // namespace currantstack
