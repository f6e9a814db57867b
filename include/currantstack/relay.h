// What the relays of requests share.
#pragma once

#include "currantstack/cancels.h"
#include "currantstack/estimate.h"
#include "currantstack/filters.h"
#include "currantstack/journal_service.h"
#include "currantstack/prefix_map.h"
#include "currantstack/quarantine.h"
#include "currantstack/retry.h"
#include "currantstack/slot_service.h"
#include "currantstack/usage.h"

namespace currantstack
{

/// Parts of one VM that relays use, besides the context.
struct RelayParts
{
    Context &context;
    SlotService &slots;
    Cancels &cancels;
    JournalService &journal;
    Quarantine &quarantine;
    UsageBook &usage;
    RetryBudget &retries;
    RetryBudget &moves; // of streams away from slow engines
    PrefixMap &prefixes;
    std::map<std::string, ModelEstimate, std::less<>> &estimates; // by model
    std::map<std::string, double, std::less<>> &reportedLoads; // by engine, for the baselines
    std::function<void(Fingerprint, const std::string &upstream)> reportDeath;
    std::function<void(const std::string &requestId)> onFinished; // the relay may be dropped soon after
};

/// A request under way. It lives until its work at the upstreams has ended.
class Relay
{
public:
    virtual ~Relay() = default;
    virtual auto start() -> void = 0;
};

/// Counts the request for its member and has `onDisconnect` run when its caller leaves.
auto beginRelay(RelayParts &parts, const CallerRequest &request, std::function<void()> onDisconnect) -> void;

/// Returns how long a refused caller is asked to wait.
auto retryAfterOf(Duration expectedWait) -> Duration;

} // namespace currantstack
