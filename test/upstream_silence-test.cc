#include "currantstack/decisions/upstream_silence.h"

#include "check.h"
#include "currantstack/decisions/exclusion_list.h"
#include "currantstack/edge/load_message.h"

using namespace currantstack;

class UpstreamSilenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSilenceTest);
    CPPUNIT_TEST(aSlowEngineIsNeverGone);
    CPPUNIT_TEST(anEngineWithoutEntryIsGoneOnceAProbeIsUnanswered);
    CPPUNIT_TEST(anEngineThatServesOnWithoutEntryIsNotGone);
    CPPUNIT_TEST(anEngineWithoutEntryMayBeSilentForTwoSeconds);
    CPPUNIT_TEST(anEngineThatStartedAnewIsGone);
    CPPUNIT_TEST(anEngineWithAnEntryIsGoneOnlyIfAnotherVmSaysSo);
    CPPUNIT_TEST(awaitedAndSuspectedEnginesAreProbed);
    CPPUNIT_TEST(probesEndWhenTheEngineIsHeard);
    CPPUNIT_TEST(answersDuringACallOutweighIt);
    CPPUNIT_TEST(silentEnginesAreAvoidedUntilTheyAreHeard);
    CPPUNIT_TEST(silenceDoesNotReplaceAnotherReason);
    CPPUNIT_TEST(onlyOwnFindingsAreAnnounced);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    TimePoint m_begin = m_now;
    UpstreamSilence m_silence;
    Upstream m_engine;

    auto after(Duration time) -> TimePoint
    {
        m_now = m_begin + time;
        return m_now;
    }

    auto reason(EntryState entry) const -> EndReason
    {
        return m_silence.endReason(m_engine, entry, m_begin, m_now);
    }

    /// Leaves a call unanswered that was sent now.
    auto leaveUnanswered() -> void
    {
        CPPUNIT_ASSERT(m_silence.onUnanswered(m_engine, m_now, m_now + milliseconds(700)));
    }

public:
    auto setUp() -> void override
    {
        m_engine.id = "e";
    }

    auto aSlowEngineIsNeverGone() -> void
    {
        // It answers probes, and its other streams bring bytes, while this stream waits.
        for (int second = 1; second <= 60; ++second) {
            m_silence.onHeard("e", after(seconds(second)));
            CPPUNIT_ASSERT(reason(EntryState::Present) == EndReason::None && reason(EntryState::Removed) == EndReason::None);
        }
    }

    auto anEngineWithoutEntryIsGoneOnceAProbeIsUnanswered() -> void
    {
        after(seconds(30));
        CPPUNIT_ASSERT_MESSAGE("silence alone proves nothing", reason(EntryState::Removed) == EndReason::None);
        leaveUnanswered();
        CPPUNIT_ASSERT(reason(EntryState::Removed) == EndReason::Removed);
        after(UpstreamSilence::GoneAfter - milliseconds(1));
        CPPUNIT_ASSERT_MESSAGE("bytes may be under way", reason(EntryState::Removed) == EndReason::None);
    }

    auto anEngineThatServesOnWithoutEntryIsNotGone() -> void
    {
        leaveUnanswered();
        m_silence.onHeard("e", after(seconds(5)));
        after(seconds(10));
        CPPUNIT_ASSERT(reason(EntryState::Removed) == EndReason::None);
    }

    auto anEngineWithoutEntryMayBeSilentForTwoSeconds() -> void
    {
        leaveUnanswered();
        after(seconds(2));
        CPPUNIT_ASSERT(reason(EntryState::Removed) == EndReason::None);
    }

    auto anEngineThatStartedAnewIsGone() -> void
    {
        after(UpstreamSilence::ReplacedAfter - milliseconds(1));
        CPPUNIT_ASSERT(reason(EntryState::Replaced) == EndReason::None);
        after(seconds(2));
        m_silence.onHeard("e", m_now); // the new process answers
        CPPUNIT_ASSERT(reason(EntryState::Replaced) == EndReason::Replaced);
    }

    auto anEngineWithAnEntryIsGoneOnlyIfAnotherVmSaysSo() -> void
    {
        for (int call = 0; call < UpstreamSilence::ProbesUntilDark; ++call) {
            after(seconds(1 + call));
            leaveUnanswered();
        }
        after(UpstreamSilence::DarkAfter);
        CPPUNIT_ASSERT(reason(EntryState::Present) == EndReason::None);
        m_silence.onWitness("e", m_now);
        CPPUNIT_ASSERT(reason(EntryState::Present) == EndReason::Silent);
        after(UpstreamSilence::DarkAfter + UpstreamSilence::WitnessLifetime);
        CPPUNIT_ASSERT_MESSAGE("an old notice does not count", reason(EntryState::Present) == EndReason::None);
    }

    auto awaitedAndSuspectedEnginesAreProbed() -> void
    {
        m_silence.onAwaited(m_engine, m_begin, m_begin);
        CPPUNIT_ASSERT(m_silence.takeDueProbes(m_begin).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_silence.takeDueProbes(after(UpstreamSilence::ProbeAfter)).size());
        CPPUNIT_ASSERT_MESSAGE("one probe in a period", m_silence.takeDueProbes(m_now + milliseconds(1)).empty());
        UpstreamSilence other;
        other.onUnanswered(m_engine, m_begin, m_begin + milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), other.takeDueProbes(m_begin + milliseconds(500)).size());
    }

    auto probesEndWhenTheEngineIsHeard() -> void
    {
        leaveUnanswered();
        m_silence.onAwaited(m_engine, m_begin, m_now);
        m_silence.onHeard("e", after(seconds(1)));
        CPPUNIT_ASSERT(m_silence.takeDueProbes(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(0, m_silence.unanswered("e"));
    }

    auto answersDuringACallOutweighIt() -> void
    {
        m_silence.onHeard("e", after(milliseconds(200)));
        CPPUNIT_ASSERT(!m_silence.onUnanswered(m_engine, m_begin, after(milliseconds(500))));
    }

    auto silentEnginesAreAvoidedUntilTheyAreHeard() -> void
    {
        ExclusionList list;
        list.add({"e", ExclusionReason::Silent, EngineRole::None, UpstreamSilence::SuspicionLifetime}, m_now);
        CPPUNIT_ASSERT(list.contains("e", EngineRole::Decode, false, m_now));
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_now + UpstreamSilence::SuspicionLifetime));
        list.onHeard("e");
        CPPUNIT_ASSERT(!list.contains("e", EngineRole::Decode, false, m_now));
    }

    auto silenceDoesNotReplaceAnotherReason() -> void
    {
        ExclusionList list;
        list.add({"e", ExclusionReason::Outdated, EngineRole::None, seconds(5)}, m_now);
        list.add({"e", ExclusionReason::Silent, EngineRole::None, seconds(2)}, m_now);
        list.onHeard("e");
        CPPUNIT_ASSERT(list.hasObservedOutdated("e", m_now));
    }

    auto onlyOwnFindingsAreAnnounced() -> void
    {
        ExclusionList list;
        list.merge({"other", ExclusionReason::Silent, EngineRole::None, seconds(2)}, m_now);
        list.add({"own", ExclusionReason::Silent, EngineRole::None, seconds(2)}, m_now);
        const auto notices = list.ownNotices(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), notices.size());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), notices.front().upstream);
        LoadMessage message;
        message.source = message.vm = message.place = "v";
        message.exclusions = notices;
        CPPUNIT_ASSERT(decodeLoad(encodeLoad(message))->exclusions == notices);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSilenceTest);
