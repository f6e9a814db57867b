#include "currantstack/decisions/upstream_reach.h"

#include "check.h"

#include <set>

using namespace currantstack;

class UpstreamReachTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamReachTest);
    CPPUNIT_TEST(failuresAtSeveralUpstreamsAreACut);
    CPPUNIT_TEST(aSilentUpstreamIsNoCut);
    CPPUNIT_TEST(anUpstreamOutlivesWhatItAnswersLater);
    CPPUNIT_TEST(answersOnOldConnectionsProveNothing);
    CPPUNIT_TEST(aPartOfTheUpstreamsIsNoCut);
    CPPUNIT_TEST(oneFailureSufficesDuringAnotherCut);
    CPPUNIT_TEST(aCutEndsWhenSeveralProbesAreAnswered);
    CPPUNIT_TEST(refusalsProveAnEndOnlyWhileLinksWork);
    CPPUNIT_TEST(probesGoToTheUpstreamTriedLongestAgo);
    CPPUNIT_TEST(outcomesExpire);
    CPPUNIT_TEST(everyUpstreamIsProbedWhileManyStayDown);
    CPPUNIT_TEST(aCutEndsAtTheOnlyUpstreamThatAnswers);
    CPPUNIT_TEST(aDeadUpstreamIsNoCutWhileOthersAnswerDuringAnotherCut);
    CPPUNIT_TEST(aCutFromAGroupWithoutUpstreamsIsForgotten);
    CPPUNIT_TEST(upstreamsThatAreSilentForTwoSecondsAreNoCut);
    CPPUNIT_TEST(longSilenceOfSeveralUpstreamsIsACut);
    CPPUNIT_TEST(silentUpstreamsAreProbedUntilAllAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_clock = ManualClock();
        m_clock.advance(seconds(100));
        m_reach = UpstreamReach();
        m_upstreams.clear();
        for (const auto *id : {"a", "b", "c", "d", "e"}) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "llm";
            upstream.role = EngineRole::Decode;
            m_upstreams.push_back(upstream);
        }
    }

    auto failuresAtSeveralUpstreamsAreACut() -> void
    {
        failNext(2);
        CPPUNIT_ASSERT(!update());
        CPPUNIT_ASSERT(!m_reach.isCutOff("llm"));
        m_reach.onFailed(m_upstreams[2], later());
        const auto change = update();
        CPPUNIT_ASSERT(change && change->isCutOff);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), change->upstreams);
        CPPUNIT_ASSERT(m_reach.isCutOff("llm"));
        CPPUNIT_ASSERT(!m_reach.isCutOff("llm", EngineRole::Prefill));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_reach.cutOffServices().size());
        CPPUNIT_ASSERT(!update()); // reported once
    }

    auto aSilentUpstreamIsNoCut() -> void
    {
        for (int count = 0; count < 10; ++count) {
            m_reach.onFailed(m_upstreams[0], later());
        }
        CPPUNIT_ASSERT(!update());
        CPPUNIT_ASSERT(m_reach.isUnreached("a", m_clock.now()));
        m_reach.onReached(m_upstreams[0], later());
        CPPUNIT_ASSERT(!m_reach.isUnreached("a", m_clock.now()));
        CPPUNIT_ASSERT(m_reach.hasReached("a", m_clock.now()));
        CPPUNIT_ASSERT(!m_reach.hasServed("a", m_clock.now())); // a front process may have answered
    }

    auto anUpstreamOutlivesWhatItAnswersLater() -> void
    {
        const auto end = m_clock.now();
        const auto margin = milliseconds(100);
        m_reach.onAnswered(m_upstreams[0], end + milliseconds(1), end + seconds(1)); // by the next process, perhaps
        m_reach.onAnswered(m_upstreams[0], end - seconds(1), end + milliseconds(99)); // sent before the end, perhaps
        CPPUNIT_ASSERT(!m_reach.hasOutlived("a", end, margin));
        m_reach.onAnswered(m_upstreams[0], end - seconds(1), end + margin);
        CPPUNIT_ASSERT(m_reach.hasOutlived("a", end, margin) && !m_reach.hasOutlived("b", end, margin));
    }

    auto answersOnOldConnectionsProveNothing() -> void
    {
        const auto openedBefore = later();
        failNext(3);
        m_reach.onReached(m_upstreams[3], openedBefore);
        CPPUNIT_ASSERT(update());
        m_reach.onReached(m_upstreams[3], openedBefore);
        m_reach.onReached(m_upstreams[0], openedBefore);
        CPPUNIT_ASSERT(m_reach.isCutOff("llm"));
    }

    auto aPartOfTheUpstreamsIsNoCut() -> void
    {
        failNext(2);
        m_reach.onReached(m_upstreams[3], later());
        m_reach.onFailed(m_upstreams[2], later());
        CPPUNIT_ASSERT(!update());
    }

    auto oneFailureSufficesDuringAnotherCut() -> void
    {
        failNext(3);
        CPPUNIT_ASSERT(update());
        Upstream service;
        service.id = "s";
        service.service = "booking";
        Upstream other = service;
        other.id = "t";
        m_reach.onFailed(service, later());
        const std::vector<const Upstream *> group{&service, &other};
        CPPUNIT_ASSERT(m_reach.update(group, m_clock.now()));
        CPPUNIT_ASSERT(m_reach.isCutOff("booking"));
    }

    auto aCutEndsWhenSeveralProbesAreAnswered() -> void
    {
        failNext(3);
        CPPUNIT_ASSERT(update());
        m_reach.onReached(m_upstreams[0], later());
        CPPUNIT_ASSERT(!update());
        m_reach.onReached(m_upstreams[0], later()); // the same again
        CPPUNIT_ASSERT(!update());
        m_reach.onFailed(m_upstreams[0], later());
        m_reach.onReached(m_upstreams[1], later());
        CPPUNIT_ASSERT(!update());
        m_reach.onReached(m_upstreams[2], later());
        const auto change = update();
        CPPUNIT_ASSERT(change && !change->isCutOff);
        CPPUNIT_ASSERT(!m_reach.isCutOff("llm"));
    }

    auto refusalsProveAnEndOnlyWhileLinksWork() -> void
    {
        m_reach.onRefused(m_upstreams[0], later());
        const auto proved = m_reach.onReached(m_upstreams[1], later());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), proved.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), proved.front().id);
        CPPUNIT_ASSERT(m_reach.onReached(m_upstreams[1], later()).empty()); // reported once
        for (int index = 0; index < 3; ++index) {
            m_reach.onRefused(m_upstreams[static_cast<std::size_t>(index)], later());
        }
        CPPUNIT_ASSERT(update());
        CPPUNIT_ASSERT(m_reach.onReached(m_upstreams[3], later()).empty());
        CPPUNIT_ASSERT(m_reach.nextDoubtful() == nullptr);
        m_reach.onReached(m_upstreams[4], later());
        CPPUNIT_ASSERT(update());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_reach.nextDoubtful()->id);
        m_reach.onRefused(m_upstreams[0], later()); // once more, after the cut
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_reach.onReached(m_upstreams[4], later()).front().id);
    }

    auto probesGoToTheUpstreamTriedLongestAgo() -> void
    {
        failNext(3);
        CPPUNIT_ASSERT(update());
        const auto group = pointers();
        CPPUNIT_ASSERT_EQUAL(std::string("d"), m_reach.nextProbe(group)->id); // not tried at all
        m_reach.onReached(m_upstreams[3], later());
        m_reach.onFailed(m_upstreams[4], later());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_reach.nextProbe(group)->id);
    }

    auto outcomesExpire() -> void
    {
        failNext(2);
        m_clock.advance(UpstreamReach::OutcomeLifetime + milliseconds(1));
        m_reach.onFailed(m_upstreams[2], later());
        CPPUNIT_ASSERT(!update());
        m_reach.expire(m_clock.now());
        CPPUNIT_ASSERT(!m_reach.isUnreached("a", m_clock.now()));
        CPPUNIT_ASSERT(m_reach.isUnreached("c", m_clock.now()));
    }

    auto everyUpstreamIsProbedWhileManyStayDown() -> void
    {
        m_upstreams = std::vector<Upstream>(60, m_upstreams.front());
        for (std::size_t index = 0; index < m_upstreams.size(); ++index) {
            m_upstreams[index].id = std::to_string(100 + index);
        }
        failNext(3);
        CPPUNIT_ASSERT(update());
        std::set<std::string> probed;
        for (std::size_t count = 0; count < 2 * m_upstreams.size(); ++count) {
            m_clock.advance(milliseconds(300));
            m_reach.expire(m_clock.now());
            const auto *upstream = m_reach.nextProbe(pointers());
            m_reach.onProbe(*upstream, m_clock.now());
            m_reach.onFailed(*upstream, m_clock.now());
            probed.insert(upstream->id);
        }
        CPPUNIT_ASSERT_EQUAL(m_upstreams.size(), probed.size());
    }

    auto aCutEndsAtTheOnlyUpstreamThatAnswers() -> void
    {
        failNext(3);
        CPPUNIT_ASSERT(update());
        m_reach.onReached(m_upstreams[4], later());
        failNext(3);
        CPPUNIT_ASSERT(!update());
        m_reach.onFailed(m_upstreams[3], later());
        const auto change = update();
        CPPUNIT_ASSERT(change && !change->isCutOff);
    }

    auto aDeadUpstreamIsNoCutWhileOthersAnswerDuringAnotherCut() -> void
    {
        Upstream other;
        other.id = "s";
        other.service = "booking";
        m_reach.onFailed(other, later());
        const std::vector<const Upstream *> group{&other};
        CPPUNIT_ASSERT(m_reach.update(group, m_clock.now()));
        m_reach.onReached(m_upstreams[0], later());
        m_reach.onRefused(m_upstreams[1], later());
        CPPUNIT_ASSERT(!update());
    }

    auto aCutFromAGroupWithoutUpstreamsIsForgotten() -> void
    {
        failNext(3);
        CPPUNIT_ASSERT(update());
        m_clock.advance(UpstreamReach::OutcomeLifetime);
        m_reach.onProbe(m_upstreams[0], m_clock.now());
        later();
        m_reach.expire(m_clock.now());
        CPPUNIT_ASSERT(m_reach.isCutOff("llm"));
        m_clock.advance(UpstreamReach::OutcomeLifetime); // all upstreams have left, so that there are no probes
        m_reach.expire(m_clock.now());
        CPPUNIT_ASSERT(!m_reach.isCutOff("llm"));
        CPPUNIT_ASSERT(m_reach.cutOffServices().empty());
    }

    auto upstreamsThatAreSilentForTwoSecondsAreNoCut() -> void
    {
        const auto silentSince = m_clock.now();
        while (m_clock.now() - silentSince < seconds(2)) {
            const auto openedAt = m_clock.now();
            m_clock.advance(milliseconds(100));
            for (const auto &upstream : m_upstreams) {
                m_reach.onLate(upstream, openedAt, m_clock.now());
            }
            CPPUNIT_ASSERT(!update());
        }
        for (const auto &upstream : m_upstreams) {
            m_reach.onReached(upstream, later());
        }
        m_clock.advance(milliseconds(100));
        for (const auto &upstream : m_upstreams) {
            m_reach.onLate(upstream, m_clock.now(), m_clock.now()); // another silence begins
        }
        CPPUNIT_ASSERT(!update());
        CPPUNIT_ASSERT(!m_reach.isUnreached("a", m_clock.now()));
    }

    auto longSilenceOfSeveralUpstreamsIsACut() -> void
    {
        const auto openedAt = later();
        m_clock.advance(UpstreamReach::SilenceUntilFailed);
        for (std::size_t index = 0; index < UpstreamReach::FailuresUntilCutOff; ++index) {
            m_reach.onLate(m_upstreams[index], openedAt, m_clock.now());
        }
        CPPUNIT_ASSERT(update());
        CPPUNIT_ASSERT(m_reach.isUnreached("a", m_clock.now()));
    }

    auto silentUpstreamsAreProbedUntilAllAnswer() -> void
    {
        const auto openedAt = later();
        m_clock.advance(milliseconds(500));
        for (std::size_t index = 0; index < UpstreamReach::FailuresUntilCutOff; ++index) {
            CPPUNIT_ASSERT(m_reach.nextLate(pointers(), m_clock.now()) == nullptr); // one or two late upstreams are common
            m_reach.onLate(m_upstreams[index], openedAt, m_clock.now());
            CPPUNIT_ASSERT(!update());
        }
        std::set<std::string> probed;
        while (const auto *next = m_reach.nextLate(pointers(), m_clock.now())) {
            probed.insert(next->id);
            m_reach.onProbe(*next, m_clock.now());
            const auto &answering = probed.size() < 3 ? m_upstreams[4] : *next;
            m_reach.onReached(answering, later());
            if (probed.size() == 3) {
                m_reach.onReached(m_upstreams[0], later());
                m_reach.onReached(m_upstreams[1], later());
            }
        }
        CPPUNIT_ASSERT_EQUAL(UpstreamReach::FailuresUntilCutOff, probed.size());
        m_reach.onLate(m_upstreams[0], later(), m_clock.now());
        CPPUNIT_ASSERT(!update());
        CPPUNIT_ASSERT(m_reach.nextLate(pointers(), m_clock.now()) == nullptr);
    }

private:
    auto later() -> TimePoint
    {
        m_clock.advance(milliseconds(100));
        return m_clock.now();
    }

    auto failNext(std::size_t count) -> void
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_reach.onFailed(m_upstreams[index], later());
        }
    }

    auto pointers() const -> std::vector<const Upstream *>
    {
        std::vector<const Upstream *> result;
        for (const auto &upstream : m_upstreams) {
            result.push_back(&upstream);
        }
        return result;
    }

    auto update() -> std::optional<UpstreamReach::Change>
    {
        return m_reach.update(pointers(), m_clock.now());
    }

    ManualClock m_clock;
    UpstreamReach m_reach;
    std::vector<Upstream> m_upstreams;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamReachTest);
