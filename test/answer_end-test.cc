#include "currantstack/decisions/answer_end.h"

#include "check.h"

using namespace currantstack;

class AnswerEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerEndTest);
    CPPUNIT_TEST(endIsNotTrustedBeforeTheUpstreamIsTried);
    CPPUNIT_TEST(upstreamThatLeavesConnectionsOpenHasEndedItsAnswerItself);
    CPPUNIT_TEST(acceptedConnectionThatIsClosedIsTriedAgain);
    CPPUNIT_TEST(connectionsDecideWhereNoEntriesAreKnown);
    CPPUNIT_TEST(plainUpstreamThatMayHaveRestartedIsConfirmedByItsEntryAlone);
    CPPUNIT_TEST(plainUpstreamWithoutAnEntryLivesIfItAnswersLater);
    CPPUNIT_TEST(onlyAnAnswerOfTheUpstreamItselfConfirmsTheEndOfAStream);
    CPPUNIT_TEST(answeredProbeWithoutAnEntryMayBeThatOfANewProcess);
    CPPUNIT_TEST(silentUpstreamIsAwaitedIfItsAnswerCannotBeRepeated);
    CPPUNIT_TEST(callsShowWhetherTheConnectionStaysOpen);
    CPPUNIT_TEST(upstreamThatRefusesConnectionsHasEnded);
    CPPUNIT_TEST(unreachableUpstreamIsTriedAgainAndThenDoubtful);
    CPPUNIT_TEST(nothingOfAnotherProcessConfirmsTheEnd);
    CPPUNIT_TEST(eachJudgementEndsAndNeedsEvidenceToBeComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    auto endIsNotTrustedBeforeTheUpstreamIsTried() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, std::nullopt, 0}) == AnswerEnd::Undecided);
    }

    auto upstreamThatLeavesConnectionsOpenHasEndedItsAnswerItself() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Open, 1}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, ConnectionTrial::Open, 1}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, ConnectionTrial::Open, MaxEndTrials}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, true, std::nullopt, 0}) == AnswerEnd::Complete);
    }

    auto acceptedConnectionThatIsClosedIsTriedAgain() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Closed, 1}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Closed, MaxEndTrials}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, ConnectionTrial::Closed, MaxEndTrials}) == AnswerEnd::Doubtful);
    }

    auto connectionsDecideWhereNoEntriesAreKnown() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({std::nullopt, false, ConnectionTrial::Open, 1}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({std::nullopt, false, ConnectionTrial::Closed, 1}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({std::nullopt, false, ConnectionTrial::Closed, MaxEndTrials}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({std::nullopt, false, ConnectionTrial::NoAnswer, MaxEndTrials}) == AnswerEnd::Doubtful);
        CPPUNIT_ASSERT(judgeAnswerEnd({std::nullopt, false, ConnectionTrial::Refused, 1}) == AnswerEnd::Doubtful);
    }

    auto plainUpstreamThatMayHaveRestartedIsConfirmedByItsEntryAlone() -> void
    {
        for (const auto failed : {ConnectionTrial::Unidentified, ConnectionTrial::Closed, ConnectionTrial::NoAnswer}) {
            for (const bool mayRepeat : {true, false}) {
                AnswerEndEvidence evidence{EntryState::Present, true, ConnectionTrial::Answered, MaxEndTrials, false, mayRepeat};
                evidence.wasClosed = failed == ConnectionTrial::Closed;
                evidence.hadNoAnswer = failed == ConnectionTrial::NoAnswer;
                evidence.wasUnidentified = failed == ConnectionTrial::Unidentified;
                evidence.sinceAnswer = NewEntryTime;
                CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Undecided);
                evidence.sinceEnd = HeartbeatPatience;
                CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Doubtful);
                evidence.hasWritten = true;
                CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Complete);
                evidence.connection = failed;
                CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Complete);
                evidence.entry = EntryState::Replaced;
                CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Doubtful);
            }
        }
    }

    auto plainUpstreamWithoutAnEntryLivesIfItAnswersLater() -> void
    {
        AnswerEndEvidence evidence{EntryState::Removed, true, ConnectionTrial::Answered, 1};
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Undecided);
        evidence.sinceAnswer = NewEntryTime;
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Complete);
    }

    auto onlyAnAnswerOfTheUpstreamItselfConfirmsTheEndOfAStream() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Answered, 1, true}) == AnswerEnd::Complete);
        for (const auto trial : {ConnectionTrial::Unidentified, ConnectionTrial::Closed, ConnectionTrial::NoAnswer}) {
            CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, trial, 1, true}) == AnswerEnd::Undecided);
            CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, trial, MaxEndTrials, true}) == AnswerEnd::Doubtful);
            CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, true, trial, MaxEndTrials, true}) == AnswerEnd::Complete);
        }
    }

    auto answeredProbeWithoutAnEntryMayBeThatOfANewProcess() -> void
    {
        AnswerEndEvidence evidence{EntryState::Removed, false, ConnectionTrial::Answered, MaxEndTrials, true};
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Undecided);
        evidence.sinceAnswer = NewEntryTime;
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Complete);
        evidence = {EntryState::Present, false, ConnectionTrial::Answered, MaxEndTrials, true};
        evidence.wasClosed = true;
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Doubtful);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Replaced, false, ConnectionTrial::Answered, 2, true}) == AnswerEnd::Doubtful);
    }

    auto silentUpstreamIsAwaitedIfItsAnswerCannotBeRepeated() -> void
    {
        AnswerEndEvidence evidence{EntryState::Present, false, ConnectionTrial::NoAnswer, MaxEndTrials + 1, true, false};
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Undecided);
        evidence.sinceEnd = SilentEndTime;
        CPPUNIT_ASSERT(judgeAnswerEnd(evidence) == AnswerEnd::Doubtful);
    }

    auto callsShowWhetherTheConnectionStaysOpen() -> void
    {
        Error error;
        CPPUNIT_ASSERT(trialOf(HttpResponse{}) == ConnectionTrial::Open);
        CPPUNIT_ASSERT(trialOf(tl::unexpected(error)) == ConnectionTrial::NoAnswer);
        error.connectionClosed = true;
        CPPUNIT_ASSERT(trialOf(tl::unexpected(error)) == ConnectionTrial::Closed);
        error = {};
        error.connectionReset = true;
        CPPUNIT_ASSERT(trialOf(tl::unexpected(error)) == ConnectionTrial::Closed);
        error = {};
        error.connectionRefused = true;
        CPPUNIT_ASSERT(trialOf(tl::unexpected(error)) == ConnectionTrial::Refused);
    }

    auto upstreamThatRefusesConnectionsHasEnded() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Refused, 1}) == AnswerEnd::Doubtful);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, true, ConnectionTrial::Refused, 1}) == AnswerEnd::Doubtful);
    }

    auto unreachableUpstreamIsTriedAgainAndThenDoubtful() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::NoAnswer, 1}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::NoAnswer, MaxEndTrials}) == AnswerEnd::Doubtful);
    }

    auto nothingOfAnotherProcessConfirmsTheEnd() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Replaced, true, ConnectionTrial::Open, 1}) == AnswerEnd::Doubtful);
    }

    auto eachJudgementEndsAndNeedsEvidenceToBeComplete() -> void
    {
        CHECK_PROPERTY("a complete end has evidence", [](bool served, bool isStream, int trials) {
            const auto entry = *rc::gen::element(EntryState::Present, EntryState::Removed, EntryState::Replaced);
            const auto trial = *rc::gen::element(ConnectionTrial::Answered, ConnectionTrial::Unidentified, ConnectionTrial::Open,
                                                 ConnectionTrial::Closed, ConnectionTrial::Refused, ConnectionTrial::NoAnswer);
            AnswerEndEvidence evidence{entry, served, trial, trials, isStream};
            evidence.mayRepeat = *rc::gen::arbitrary<bool>();
            evidence.wasClosed = *rc::gen::arbitrary<bool>();
            evidence.runsStill = *rc::gen::arbitrary<bool>();
            evidence.hadNoAnswer = *rc::gen::arbitrary<bool>();
            evidence.wasUnidentified = *rc::gen::arbitrary<bool>();
            evidence.hasWritten = *rc::gen::arbitrary<bool>();
            evidence.readsEntries = *rc::gen::arbitrary<bool>();
            evidence.hasReadEntries = *rc::gen::arbitrary<bool>();
            evidence.hasOutlived = *rc::gen::arbitrary<bool>();
            evidence.sinceEnd = milliseconds(*rc::gen::inRange(0, 5000));
            evidence.sinceAnswer = milliseconds(*rc::gen::inRange(0, 5000));
            const auto end = judgeAnswerEnd(evidence);
            RC_ASSERT(end != AnswerEnd::Undecided || trials < MaxEndTrials || evidence.sinceEnd < HeartbeatPatience
                      || (trial == ConnectionTrial::Answered && evidence.sinceAnswer < NewEntryTime + EntryReadPatience));
            const bool isAlive = trial == ConnectionTrial::Answered || trial == ConnectionTrial::Open;
            const bool hasOutlived = !isStream && (evidence.hasWritten || evidence.hasOutlived);
            RC_ASSERT(end != AnswerEnd::Complete || ((served || isAlive || hasOutlived) && !evidence.runsStill));
            const bool keepsEntry = evidence.readsEntries && entry == EntryState::Present && trial == ConnectionTrial::Answered
                && evidence.sinceAnswer >= NewEntryTime && evidence.hasReadEntries;
            RC_ASSERT(end != AnswerEnd::Complete || isStream || hasOutlived || keepsEntry || !mayHaveRestarted(evidence));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerEndTest);
