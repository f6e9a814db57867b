// Which owner or engine is asked: the ledger's choice and the baselines.
#pragma once

#include "currantstack/settings.h"
#include "currantstack/slots.h"

#include <pcg_random.hpp>
#include <random>
#include <span>

namespace currantstack
{

using Random = pcg32;

/// What this VM knows of one owner's part of a pool.
struct OwnerView
{
    std::string owner; // VM
    PoolView pool;
    Duration age = Duration::zero(); // since the owner said so
    int pending = 0; // own requests sent there since
    bool isSelf = false;
    Duration distance = Duration::zero(); // one way to the owner and its engines
    bool holdsPrefix = false;
};

/// Returns the time that a request is expected to wait for a slot at the owner.
auto expectedWait(const OwnerView &view, Role role, double prefillMs) -> Duration;

/// Returns the index of the owner with the lowest expected cost, or nothing where no owner has capacity.
/// `prefillMs` is the time that the request's prefill takes without a cached prefix.
auto chooseOwner(std::span<const OwnerView> owners, Role role, double prefillMs, Random &random) -> std::optional<std::size_t>;

/// Returns an owner at which a request that waits at `current` would be served sooner by `margin` at least, or nothing.
auto findSooner(std::span<const OwnerView> owners, std::size_t current, Role role, double prefillMs, Duration margin)
    -> std::optional<std::size_t>;

/// What a baseline knows of one engine: its last report, which lags.
struct EngineLoad
{
    std::string engine;
    double load = 0; // running and waiting over slots
};

/// Returns the index of the engine that a baseline policy picks, or nothing of an empty list.
auto chooseEngine(PolicyKind policy, std::span<const EngineLoad> engines, std::size_t turn, Random &random) -> std::optional<std::size_t>;

} // namespace currantstack
