// Choice of the owner to request a slot from, and of the engine under the baseline policies.
#pragma once

#include "currantstack/settings.h"
#include "currantstack/slots.h"

#include <pcg_random.hpp>
#include <random>
#include <span>

namespace currantstack
{

using Random = pcg32;

/// The last report of one owner about its part of a pool, and what this VM has sent there since.
struct OwnerView
{
    std::string owner; // VM
    PoolView pool;
    Duration age = Duration::zero(); // of the report
    int sentSinceReport = 0; // slot requests that this VM sent to the owner since the report
    bool isSelf = false;
    Duration latency = Duration::zero(); // one way, to the owner and its engines
    bool holdsPrefix = false; // owns the engine that probably caches the prompt's prefix
};

/// Returns the expected wait for a slot at the owner. `prefillMs` is the expected time of the request's prefill.
auto expectedWait(const OwnerView &view, Role role, double prefillMs) -> Duration;

/// Returns the index of the owner with the lowest expected cost, or nothing if no owner has capacity.
/// `prefillMs` is the time that the request's prefill takes without a cached prefix.
auto chooseOwner(std::span<const OwnerView> owners, Role role, double prefillMs, Random &random) -> std::optional<std::size_t>;

/// Returns the index of the owner with the shortest expected wait, if that is shorter than the wait at `current` by more than `margin`.
auto findFasterOwner(std::span<const OwnerView> owners, std::size_t current, Role role, double prefillMs, Duration margin)
    -> std::optional<std::size_t>;

/// The last load report of one engine, for the baseline policies. It may be stale.
struct EngineLoad
{
    std::string engine;
    double load = 0; // (running + waiting requests) / slots
};

/// Returns the index of the engine that a baseline policy picks, or nothing for an empty list. `sequence` counts the choices, for
/// round robin.
auto chooseBaselineEngine(PolicyKind policy, std::span<const EngineLoad> engines, std::size_t sequence, Random &random)
    -> std::optional<std::size_t>;

} // namespace currantstack
