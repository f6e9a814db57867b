// The configuration document that operators submit and every VM applies.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/json.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantstack
{

enum class Role
{
    Prefill,
    Decode,
};

auto name(Role role) -> std::string_view;

/// A data centre, within a region.
struct Place
{
    std::string name;
    std::string region;
};

/// A model with its latency targets and the size of its KV cache.
struct Model
{
    std::string name;
    Duration firstTokenTarget = milliseconds(1700);
    Duration tokenGapTarget = milliseconds(26);
    double kvBytesPerToken = 131072;
};

/// An engine: an upstream in a pool that runs a model in one role.
struct Engine
{
    std::string name;
    std::string address; // "IP:port"
    std::string place;
    std::string pool;
    std::string model;
    Role role = Role::Decode;
    int slots = 20;
    double linkBytesPerSecond = 10e9; // bandwidth of its network link
    bool checksFencing = false; // rejects orders whose fencing token is older than the latest it accepted
    bool checksSender = false; // rejects orders without the sender's token
    bool draining = false; // takes no new work
};

/// An upstream of a plain service.
struct ServiceUpstream
{
    std::string name;
    std::string address;
    std::string place;
    bool draining = false;
};

/// Declares whether calls of a service are idempotent. The rule with the longest matching path prefix applies.
struct CallRule
{
    std::string method;
    std::string pathPrefix;
    bool idempotent = true;
};

struct Service
{
    std::string name;
    std::vector<ServiceUpstream> upstreams;
    std::vector<CallRule> calls;
    Duration target = milliseconds(300); // latency
    int maxInFlight = 64; // requests in flight from one VM to one upstream

    /// Returns whether the call may be sent more than once: by the matching rule, else by the definition of its HTTP method.
    auto isIdempotent(std::string_view method, std::string_view path) const -> bool;
};

/// A customer, whose callers share the engines and services with those of other members.
struct Member
{
    std::string name;
    std::vector<std::string> tokenHashes; // "sha256:" and 64 hexadecimal digits
    double share = 1; // weight in the fair sharing of capacity, relative to the other members
    int maxPriority = 0;
    std::vector<std::string> models; // allowed models; "*" allows all
    std::vector<std::string> services; // allowed services; "*" allows all
};

/// A person or program that may submit configurations.
struct Operator
{
    std::string name;
    std::string member; // that the operator belongs to; empty for an operator of the whole consortium
    std::vector<std::string> tokenHashes;
    std::vector<std::string> mayChange; // top-level sections of the document; "*" allows all
};

struct Limits
{
    std::int64_t maxQueuedRequests = 400; // for each pool at one owner VM
    std::int64_t maxQueuedTokens = 2000000; // for each pool at one owner VM
    std::int64_t maxPromptBytes = 4 << 20;
    double retryShare = 0.1; // retries and hedges as a share of successes
    double maxEjectedShare = 0.34; // of a pool's engines that may be ejected as unhealthy
    Duration defaultDeadline = milliseconds(1700); // for the first token
    Duration quarantine = seconds(600); // of a request that crashed upstreams
    Duration answerRetention = seconds(86400); // of answers recorded for idempotency keys
};

struct Timeouts
{
    Duration connect = milliseconds(300);
    Duration progress = milliseconds(2000); // without a byte from an upstream
    Duration peer = milliseconds(800); // for a call to another VM
    Duration drain = seconds(60);
};

namespace detail
{
/// Indexes of the lists of a configuration, so that requests need no linear search.
struct ConfigIndex
{
    std::unordered_map<std::string, std::size_t> engines;
    std::unordered_map<std::string, std::size_t> memberTokens; // by hash
    std::unordered_map<std::string, std::string> pools; // by model and role
};
} // namespace detail

/// A complete configuration.
struct Config
{
    std::int64_t revision = 0;
    std::string submission; // id of the submission that made it
    std::vector<Place> places;
    std::vector<Model> models;
    std::vector<Engine> engines; // of all pools
    std::vector<Service> services;
    std::vector<Member> members;
    std::vector<Operator> operators;
    Limits limits;
    Timeouts timeouts;
    detail::ConfigIndex index; // filled by `parseConfig`

    auto findModel(std::string_view name) const -> const Model *;
    auto findEngine(std::string_view name) const -> const Engine *;
    auto findService(std::string_view name) const -> const Service *;
    auto findMember(std::string_view name) const -> const Member *;
    auto findPlace(std::string_view name) const -> const Place *;
    auto regionOf(std::string_view place) const -> std::string_view;

    /// Returns the pool that runs the model in the role, or an empty string if there is none.
    auto poolOf(std::string_view model, Role role) const -> std::string;

    /// Returns the member or operator that the bearer token belongs to, or null.
    auto memberOfToken(std::string_view token) const -> const Member *;
    auto operatorOfToken(std::string_view token) const -> const Operator *;
};

/// Returns the configuration, or all errors of the document.
auto parseConfig(const Json &document) -> tl::expected<Config, ValidationErrors>;

/// Returns the JSON Schema of the document, for example to generate forms from it.
auto configSchema() -> Json;

/// Returns the JSON pointers at which two documents differ; lists are compared by position. Ignores `/revision` and `/submission`.
auto differingPaths(const Json &left, const Json &right) -> std::vector<std::string>;

/// Returns the parts of the change that the operator is not permitted to make; empty if the change is permitted.
auto forbiddenChanges(const Config &before, const Json &beforeDocument, const Json &afterDocument, std::string_view operatorName)
    -> ValidationErrors;

/// Returns the hash by which the configuration stores a token: "sha256:" and 64 hexadecimal digits.
auto tokenHash(std::string_view token) -> std::string;

} // namespace currantstack
