#include "currantstack/relay.h"

#include <algorithm>

namespace currantstack
{

auto beginRelay(RelayParts &parts, const CallerRequest &request, std::function<void()> onDisconnect) -> void
{
    auto &usage = parts.usage.forMember(request.member->name);
    ++usage.requests;
    ++usage.inFlight;
    request.exchange->onDisconnect(std::move(onDisconnect));
}

auto retryAfterOf(Duration expectedWait) -> Duration
{
    return std::clamp<Duration>(expectedWait, seconds(1), seconds(30));
}

} // namespace currantstack
