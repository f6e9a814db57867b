#include "currantstack/decisions/watch_end.h"

namespace currantstack
{

auto classifyWatchEnd(const Error &error) -> WatchEnd
{
    if (error.code == ErrorCode::Conflict) {
        return WatchEnd::HistoryLost;
    }
    if (error.turnedAway) {
        return WatchEnd::TurnedAway;
    }
    const bool wasSent = error.code != ErrorCode::Unreachable;
    return error.connectionClosed && wasSent ? WatchEnd::Cut : WatchEnd::NoAnswer;
}

auto planResumption(WatchEnd end, const WatchEvidence &evidence) -> WatchResumption
{
    switch (end) {
    case WatchEnd::HistoryLost:
        return WatchResumption::ReadAll;
    case WatchEnd::Cut:
        return evidence.answered && !evidence.otherCallsFailed ? WatchResumption::Resume : WatchResumption::ReadAllOnReturn;
    case WatchEnd::TurnedAway:
    case WatchEnd::NoAnswer:
        break;
    }
    return WatchResumption::ReadAllOnReturn;
}

auto name(WatchEnd end) -> std::string_view
{
    switch (end) {
    case WatchEnd::Cut:
        return "cut";
    case WatchEnd::HistoryLost:
        return "history_lost";
    case WatchEnd::TurnedAway:
        return "turned_away";
    case WatchEnd::NoAnswer:
        break;
    }
    return "no_answer";
}

} // namespace currantstack
