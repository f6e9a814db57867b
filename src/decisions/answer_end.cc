#include "currantstack/decisions/answer_end.h"

namespace currantstack
{

auto trialOf(const Result<HttpResponse> &result) -> ConnectionTrial
{
    if (result) {
        return ConnectionTrial::Open;
    }
    if (result.error().connectionReset || result.error().connectionClosed) {
        return ConnectionTrial::Closed;
    }
    return result.error().connectionRefused ? ConnectionTrial::Refused : ConnectionTrial::NoAnswer;
}

auto judgeAnswerEnd(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    if (evidence.entry == EntryState::Replaced || evidence.connection == ConnectionTrial::Refused) {
        return AnswerEnd::Doubtful;
    }
    if (evidence.runsStill) {
        return evidence.sinceEnd < ReportAge ? AnswerEnd::Undecided : AnswerEnd::Doubtful;
    }
    // An engine that lives is asked whether it has ended the run.
    if (evidence.servedSince && (!evidence.isStream || evidence.trials > 0)) {
        return AnswerEnd::Complete;
    }
    const bool hasEntry = evidence.entry == EntryState::Present;
    const bool isLastTrial = evidence.trials >= MaxEndTrials;
    // Without an entry, the address may be that of a new process, whose entry arrives before the last trial. A relay has stopped
    // listening for an ended upstream by then. Further connections than its limit allows are closed by an upstream that lives; an engine
    // shows that by its other streams, but a plain upstream answers too rarely.
    const bool mayBeAtLimit = evidence.connection == ConnectionTrial::Closed && !evidence.isStream;
    if ((evidence.connection == ConnectionTrial::Open && (hasEntry || isLastTrial)) || (mayBeAtLimit && hasEntry && isLastTrial)) {
        return AnswerEnd::Complete;
    }
    const bool isFirstSign = !evidence.wasClosed || !evidence.isStream;
    if (evidence.connection == ConnectionTrial::Answered && isFirstSign) {
        const bool mayBeNewProcess = !hasEntry || evidence.wasClosed || evidence.hadNoAnswer;
        return mayBeNewProcess && evidence.sinceAnswer < NewEntryTime ? AnswerEnd::Undecided : AnswerEnd::Complete;
    }
    const bool mayBeSilent = evidence.connection == ConnectionTrial::NoAnswer && !evidence.mayRepeat && evidence.sinceEnd < SilentEndTime;
    return isLastTrial && !mayBeSilent ? AnswerEnd::Doubtful : AnswerEnd::Undecided;
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
    case ConnectionTrial::Answered:
        return "answered";
    case ConnectionTrial::Unidentified:
        return "unidentified";
    case ConnectionTrial::Open:
        return "open";
    case ConnectionTrial::Closed:
        return "closed";
    case ConnectionTrial::Refused:
        return "refused";
    case ConnectionTrial::NoAnswer:
        break;
    }
    return "no_answer";
}

} // namespace currantstack
