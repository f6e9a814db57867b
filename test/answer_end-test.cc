#include "currantstack/decisions/answer_end.h"

#include "check.h"

using namespace currantstack;

class AnswerEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerEndTest);
    CPPUNIT_TEST(endIsNotTrustedBeforeTheUpstreamIsTried);
    CPPUNIT_TEST(upstreamThatAcceptsConnectionsHasEndedItsAnswerItself);
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

    auto upstreamThatAcceptsConnectionsHasEndedItsAnswerItself() -> void
    {
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, false, ConnectionTrial::Accepted, 1}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, ConnectionTrial::Accepted, 1}) == AnswerEnd::Undecided);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Removed, false, ConnectionTrial::Accepted, MaxEndTrials}) == AnswerEnd::Complete);
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Present, true, std::nullopt, 0}) == AnswerEnd::Complete);
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
        CPPUNIT_ASSERT(judgeAnswerEnd({EntryState::Replaced, true, ConnectionTrial::Accepted, 1}) == AnswerEnd::Doubtful);
    }

    auto eachJudgementEndsAndNeedsEvidenceToBeComplete() -> void
    {
        CHECK_PROPERTY("a complete end has evidence", [](bool heard, int trials) {
            const auto entry = *rc::gen::element(EntryState::Present, EntryState::Removed, EntryState::Replaced);
            const auto trial = *rc::gen::element(ConnectionTrial::Accepted, ConnectionTrial::Refused, ConnectionTrial::NoAnswer);
            const AnswerEndEvidence evidence{entry, heard, trial, trials};
            const auto end = judgeAnswerEnd(evidence);
            RC_ASSERT(end != AnswerEnd::Undecided || trials < MaxEndTrials);
            RC_ASSERT(end != AnswerEnd::Complete || heard || trial == ConnectionTrial::Accepted);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerEndTest);
