#include "currantstack/decisions/answer_end.h"

namespace currantstack
{

auto judgeAnswerEnd(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    if (evidence.entry == EntryState::Replaced || evidence.connection == ConnectionTrial::Refused) {
        return AnswerEnd::Doubtful;
    }
    const bool hasEntry = evidence.entry == EntryState::Present;
    const bool isAccepted = evidence.connection == ConnectionTrial::Accepted;
    // Without an entry, the address may be that of a new process, whose entry arrives before the last trial.
    if (evidence.reachedSince || (isAccepted && (hasEntry || evidence.trials >= MaxEndTrials))) {
        return AnswerEnd::Complete;
    }
    return evidence.trials < MaxEndTrials ? AnswerEnd::Undecided : AnswerEnd::Doubtful;
}

auto name(AnswerEnd end) -> std::string_view
{
    switch (end) {
    case AnswerEnd::Complete:
        return "complete";
    case AnswerEnd::Undecided:
        return "undecided";
    case AnswerEnd::Doubtful:
        break;
    }
    return "doubtful";
}

auto name(ConnectionTrial trial) -> std::string_view
{
    switch (trial) {
    case ConnectionTrial::Accepted:
        return "accepted";
    case ConnectionTrial::Refused:
        return "refused";
    case ConnectionTrial::NoAnswer:
        break;
    }
    return "no_answer";
}

} // namespace currantstack
