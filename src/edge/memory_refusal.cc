#include "currantstack/edge/memory_refusal.h"

#include "currantstack/edge/reach_controller.h"

#include <fmt/format.h>

namespace currantstack
{

namespace
{

constexpr Duration ShortestRetryAfter = milliseconds(250); // requests with large bodies end within about this time
constexpr Duration LongestRetryAfter = milliseconds(1000); // the range spreads the retries of refused callers
constexpr std::string_view Reason = "this VM has no memory for the request";
constexpr std::size_t MaxLoggedId = 100; // bytes

} // namespace

auto refuseForMemory(EdgeContext &context, const HttpRequest &request, const MemoryShortage &shortage, bool isRelayed) -> HttpResponse
{
    std::uniform_real_distribution<double> delayMs(toMilliseconds(ShortestRetryAfter), toMilliseconds(LongestRetryAfter));
    const auto retryAfter = fromMilliseconds(delayMs(context.random));
    auto response = isRelayed ? relayRefusal(context, Reason) : context.protocol.refusal(retryAfter, Reason);
    context.counters.at(fmt::format("requests_refused_for_memory{{use=\"{}\"}}", name(shortage.use))).add();
    context.log.write("memory", "request_refused_for_memory",
                      {{"request", context.protocol.parseRequest(request).requestId.substr(0, MaxLoggedId)},
                       {"use", name(shortage.use)},
                       {"needed", shortage.needed},
                       {"in_use_by_use", context.memory.inUse(shortage.use)},
                       {"in_use", context.memory.inUse()},
                       {"budget", context.memory.bytes()},
                       {"status", response.status},
                       {"retry_after_ms", isRelayed ? 0.0 : toMilliseconds(retryAfter)}});
    return response;
}

auto updateMemoryGauges(EdgeContext &context) -> void
{
    context.counters.at("memory_budget_bytes").set(static_cast<std::int64_t>(context.memory.bytes()));
    for (const auto use : memoryUses()) {
        context.counters.at(fmt::format("memory_bytes{{use=\"{}\"}}", name(use))).set(static_cast<std::int64_t>(context.memory.inUse(use)));
    }
}

} // namespace currantstack
