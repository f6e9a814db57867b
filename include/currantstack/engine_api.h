// The messages between the router and an engine. docs/INTERFACES.md describes them with examples.
#pragma once

#include "currantstack/json.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantstack
{

/// The published disaggregation fields: where a prefill's result lies, or that one is wanted.
struct KvTransfer
{
    bool doRemoteDecode = false; // in a prefill request: keep the result for another engine
    bool doRemotePrefill = false; // in a decode request: fetch the result named here
    std::string remoteAddress; // "address:port" of the engine that holds the result
    std::string remoteHandle;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; // of the prompt, found in the prefix cache
    std::int64_t expiresInMs = 0;
};

/// A completion request as an engine takes it.
struct CompletionRequest
{
    std::string requestId; // "vm.incarnation.sequence.attempt"
    std::string model;
    std::string prompt;
    std::int64_t maxTokens = 16;
    bool stream = false;
    std::int64_t priority = 0;
    std::int64_t continueFrom = 0; // tokens that the caller has already; the answer goes on after them
    KvTransfer transfer;
};

/// A request that holds memory on an engine.
struct RunningRequest
{
    std::string requestId;
    std::string phase; // "waiting", "prefill", "exportable", "transfer", "decode"
    std::int64_t ageMs = 0;
};

/// What an engine says of its load; `ageMs` old when it is answered.
struct LoadReport
{
    std::int64_t slots = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t waitingTokens = 0;
    std::int64_t ageMs = 0;
};

/// A change of an engine's role, model or version.
struct EngineOrder
{
    std::string kind; // "role", "load", "unload", "version"
    std::string value;
    std::int64_t fencingToken = 0;
    std::string senderToken;
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

/// Returns the text that a chat's messages make when they are joined into one prompt.
auto promptOfMessages(const Json &messages) -> Result<std::string>;

/// Limits that hold for every completion request.
inline constexpr std::int64_t MaxOutputTokens = 32768;
inline constexpr std::int64_t MaxPriority = 9;

} // namespace currantstack
