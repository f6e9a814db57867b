// The configuration document: what operators submit and every VM has in force.
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

/// What callers of a model are promised, and the size of its KV cache.
struct Model
{
    std::string name;
    Duration firstTokenTarget = milliseconds(1700);
    Duration tokenGapTarget = milliseconds(26);
    double kvBytesPerToken = 131072;
};

/// A member of a pool that runs a model in one role.
struct Engine
{
    std::string name;
    std::string address; // "IP:port"
    std::string place;
    std::string pool;
    std::string model;
    Role role = Role::Decode;
    int slots = 20;
    double linkBytesPerSecond = 10e9;
    bool checksFencing = false; // refuses orders with an old fencing number
    bool checksSender = false; // refuses orders without the sender's token
    bool leaving = false; // takes no new work
};

/// A back end of a plain service.
struct ServiceUpstream
{
    std::string name;
    std::string address;
    std::string place;
    bool leaving = false;
};

/// Says of a service's calls whether they may be repeated. The longest matching prefix counts.
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
    Duration target = milliseconds(300);
    int maxInFlight = 64; // requests that one upstream is given at a time by one VM

    /// Returns whether the call may be repeated: by rule, else by the method's meaning in HTTP.
    auto isIdempotent(std::string_view method, std::string_view path) const -> bool;
};

/// A customer of the system.
struct Member
{
    std::string name;
    std::vector<std::string> tokenHashes; // "sha256:" and 64 hexadecimal digits
    double share = 1; // guaranteed part of the shared pool, relative to the others'
    int maxPriority = 0;
    std::vector<std::string> models; // that it may use; "*" means all
    std::vector<std::string> services; // that it may use; "*" means all
};

/// Someone who may submit configurations.
struct Operator
{
    std::string name;
    std::string member; // empty: of the consortium
    std::vector<std::string> tokenHashes;
    std::vector<std::string> mayChange; // top-level sections; "*" means all
};

struct Limits
{
    std::int64_t maxQueuedRequests = 400; // for each pool at one owner
    std::int64_t maxQueuedTokens = 2000000;
    std::int64_t maxPromptBytes = 4 << 20;
    double retryShare = 0.1; // retries and hedges as a share of successes
    double maxEjectedShare = 0.34; // of a pool
    Duration defaultDeadline = milliseconds(1700);
    Duration quarantine = seconds(600);
    Duration answerRetention = seconds(86400); // of recorded answers to idempotency keys
};

struct Timeouts
{
    Duration connect = milliseconds(300);
    Duration progress = milliseconds(2000); // without a byte from an upstream
    Duration peer = milliseconds(800);
    Duration drain = seconds(60);
};

namespace detail
{
/// Positions in a configuration's lists, so that nothing is searched on the way of a request.
struct ConfigIndex
{
    std::unordered_map<std::string, std::size_t> engines;
    std::unordered_map<std::string, std::size_t> memberTokens; // by hash
    std::unordered_map<std::string, std::string> pools; // by model and role
};
} // namespace detail

/// One whole configuration.
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

    /// Returns the pool that runs the model in the role, empty where there is none.
    auto poolOf(std::string_view model, Role role) const -> std::string;

    /// Returns the member or operator that the bearer token belongs to, or null.
    auto memberOfToken(std::string_view token) const -> const Member *;
    auto operatorOfToken(std::string_view token) const -> const Operator *;
};

/// Returns the configuration, or every fault of the document.
auto parseConfig(const Json &document) -> tl::expected<Config, ValidationErrors>;

/// Returns the JSON Schema of the document, from which a console of forms can be made.
auto configSchema() -> Json;

/// Returns the JSON pointers at which two documents differ, down to entries of lists.
auto differingPaths(const Json &left, const Json &right) -> std::vector<std::string>;

/// Returns why the operator may not make the change; empty where it may.
auto forbiddenChanges(const Config &before, const Json &beforeDocument, const Json &afterDocument, std::string_view operatorName)
    -> ValidationErrors;

/// Returns the form in which tokens are kept.
auto tokenHash(std::string_view token) -> std::string;

} // namespace currantstack
