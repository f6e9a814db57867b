// Common base and dependencies of the relays that serve caller requests.
#pragma once

#include "currantstack/decisions/quarantine.h"
#include "currantstack/estimate.h"
#include "currantstack/filters.h"
#include "currantstack/journal_service.h"
#include "currantstack/prefix_map.h"
#include "currantstack/request_canceller.h"
#include "currantstack/retry.h"
#include "currantstack/slot_service.h"
#include "currantstack/usage.h"

namespace currantstack
{

/// The components of a VM that relays use, besides its context.
struct RelayParts
{
    Context &context;
    SlotService &slots;
    RequestCanceller &canceller;
    JournalService &journal;
    Quarantine &quarantine;
    MemberUsageTable &usage;
    RetryBudget &retryBudget;
    RetryBudget &moveBudget; // for moving streams away from slow engines
    PrefixMap &prefixMap;
    std::map<std::string, ModelEstimate, std::less<>> &estimates; // by model
    std::map<std::string, double, std::less<>> &reportedLoads; // by engine, for the baseline policies
    std::function<void(Fingerprint, const std::string &upstream)> reportCrash;
    std::function<void(const std::string &requestId)> onFinished; // the relay is destroyed soon after
};

/// An in-flight request. It lives until its work at the upstreams has ended.
class Relay
{
public:
    virtual ~Relay() = default;
    virtual auto start() -> void = 0;
};

/// Counts the request in its member's usage and registers `onDisconnect`, which runs when the caller disconnects.
auto beginRelay(RelayParts &parts, const CallerRequest &request, std::function<void()> onDisconnect) -> void;

/// Returns the Retry-After of a refused request: the expected wait, bounded to 1 to 30 s.
auto retryAfterOf(Duration expectedWait) -> Duration;

} // namespace currantstack
