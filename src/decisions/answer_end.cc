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

auto mayHaveRestarted(const AnswerEndEvidence &evidence) -> bool
{
    const bool isUnanswered =
        evidence.connection && evidence.connection != ConnectionTrial::Answered && evidence.connection != ConnectionTrial::Open;
    return isUnanswered || evidence.wasClosed || evidence.hadNoAnswer || evidence.wasUnidentified;
}

namespace
{

auto judgeByConnections(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    const bool isLastTrial = evidence.trials >= MaxEndTrials;
    // An upstream that lives closes further connections than its limit allows. A relay has stopped listening for an ended one by then.
    if (evidence.connection == ConnectionTrial::Open || (evidence.connection == ConnectionTrial::Closed && isLastTrial)) {
        return AnswerEnd::Complete;
    }
    return isLastTrial ? AnswerEnd::Doubtful : AnswerEnd::Undecided;
}

auto judgePlainEnd(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    if (evidence.hasWritten || evidence.hasOutlived) {
        return AnswerEnd::Complete;
    }
    const bool hasEntry = evidence.entry == EntryState::Present;
    const bool isLastTrial = evidence.trials >= MaxEndTrials;
    if (!mayHaveRestarted(evidence)) {
        // Without an entry, the address may be that of a new process, whose entry arrives before the last trial.
        const bool isConfirmed = evidence.connection == ConnectionTrial::Open ? isLastTrial : evidence.sinceAnswer >= NewEntryTime;
        const bool lives = hasEntry ? evidence.servedSince || evidence.connection : evidence.connection && isConfirmed;
        return lives ? AnswerEnd::Complete : AnswerEnd::Undecided;
    }
    if (!isLastTrial) {
        return AnswerEnd::Undecided;
    }
    // A new process registers when it starts.
    if (evidence.connection == ConnectionTrial::Answered && hasEntry && evidence.readsEntries) {
        if (evidence.sinceAnswer >= NewEntryTime && evidence.hasReadEntries) {
            return AnswerEnd::Complete;
        }
        if (evidence.sinceAnswer < NewEntryTime + EntryReadPatience) {
            return AnswerEnd::Undecided;
        }
    }
    const bool isAnswered = evidence.connection == ConnectionTrial::Answered || evidence.connection == ConnectionTrial::Open;
    // An upstream that lives closes further connections than its limit allows.
    const bool mayLive = isAnswered || (evidence.connection == ConnectionTrial::Closed && hasEntry);
    if (evidence.mayRepeat) {
        return mayLive && evidence.sinceEnd < (isAnswered ? HeartbeatPatience : RepeatPatience) ? AnswerEnd::Undecided
                                                                                                : AnswerEnd::Doubtful;
    }
    // What is not the upstream answers for it twice.
    const bool isReplaced = evidence.connection == ConnectionTrial::Unidentified && !evidence.servedSince;
    return !isReplaced && evidence.sinceEnd < HeartbeatPatience ? AnswerEnd::Undecided : AnswerEnd::Doubtful;
}

auto judgeStreamEnd(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    // An engine that lives is asked whether it has ended the run.
    if (evidence.servedSince && evidence.trials > 0) {
        return AnswerEnd::Complete;
    }
    const bool hasEntry = evidence.entry == EntryState::Present;
    const bool isLastTrial = evidence.trials >= MaxEndTrials;
    // Without an entry, the address may be that of a new process, whose entry arrives before the last trial. A relay has stopped
    // listening for an ended upstream by then.
    if (evidence.connection == ConnectionTrial::Open && (hasEntry || isLastTrial)) {
        return AnswerEnd::Complete;
    }
    if (evidence.connection == ConnectionTrial::Answered && !evidence.wasClosed) {
        const bool mayBeNewProcess = !hasEntry || evidence.hadNoAnswer;
        return mayBeNewProcess && evidence.sinceAnswer < NewEntryTime ? AnswerEnd::Undecided : AnswerEnd::Complete;
    }
    const bool mayBeSilent = evidence.connection == ConnectionTrial::NoAnswer && !evidence.mayRepeat && evidence.sinceEnd < SilentEndTime;
    return isLastTrial && !mayBeSilent ? AnswerEnd::Doubtful : AnswerEnd::Undecided;
}

} // namespace

auto judgeAnswerEnd(const AnswerEndEvidence &evidence) -> AnswerEnd
{
    if (evidence.entry == EntryState::Replaced || evidence.connection == ConnectionTrial::Refused) {
        return AnswerEnd::Doubtful;
    }
    if (evidence.runsStill) {
        return evidence.sinceEnd < ReportAge ? AnswerEnd::Undecided : AnswerEnd::Doubtful;
    }
    if (!evidence.entry) {
        return judgeByConnections(evidence);
    }
    return evidence.isStream ? judgeStreamEnd(evidence) : judgePlainEnd(evidence);
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
