#include "currantstack/decisions/send_gate.h"

#include "check.h"

using namespace currantstack;

class SendGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SendGateTest);
    CPPUNIT_TEST(anUnchangedUpstreamGetsTheRequest);
    CPPUNIT_TEST(aDrainingUpstreamGetsNone);
    CPPUNIT_TEST(anUpstreamWithoutEntryGetsNone);
    CPPUNIT_TEST(aLapsedEntryCountsUntilItsGraceEnds);
    CPPUNIT_TEST(anotherProcessUnderTheIdGetsNone);
    CPPUNIT_TEST(anEngineOfAnotherRoleGetsNone);
    CPPUNIT_TEST(noticesKeepRequestsAway);
    CPPUNIT_TEST(theEntryIsNamedBeforeNotices);
    CPPUNIT_TEST(eachReasonHasAName);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{seconds(100)};
    Upstream m_chosen;
    UpstreamDirectory m_directory;

    auto check(const UpstreamStanding &standing = {}) const -> SendBlock
    {
        auto known = standing;
        known.entry = m_directory.find(m_chosen.id);
        return findSendBlock(m_chosen, known);
    }

    auto changed(const std::function<void(Upstream &)> &change) -> SendBlock
    {
        auto upstream = m_chosen;
        ++upstream.revision;
        change(upstream);
        m_directory.apply(std::move(upstream));
        return check();
    }

public:
    auto setUp() -> void override
    {
        m_chosen.id = "i-1";
        m_chosen.service = "llm";
        m_chosen.address = "10.0.0.1:80";
        m_chosen.role = EngineRole::Decode;
        m_chosen.startedAtMs = 1000;
        m_chosen.softwareVersion = "v1";
        m_directory.apply(m_chosen);
    }

    auto anUnchangedUpstreamGetsTheRequest() -> void
    {
        CPPUNIT_ASSERT(check() == SendBlock::None);
        const auto heartbeat = [](Upstream &upstream) {
            ++upstream.orderCount;
            ++upstream.modelVersion;
        };
        CPPUNIT_ASSERT(changed(heartbeat) == SendBlock::None);
    }

    auto aDrainingUpstreamGetsNone() -> void
    {
        CPPUNIT_ASSERT(changed([](Upstream &upstream) { upstream.draining = true; }) == SendBlock::Draining);
        CPPUNIT_ASSERT(changed([](Upstream & /*upstream*/) {}) == SendBlock::None);
    }

    auto anUpstreamWithoutEntryGetsNone() -> void
    {
        m_directory.remove(m_chosen.id, false, m_now);
        CPPUNIT_ASSERT(check() == SendBlock::Removed);
    }

    auto aLapsedEntryCountsUntilItsGraceEnds() -> void
    {
        m_directory.remove(m_chosen.id, true, m_now);
        CPPUNIT_ASSERT(check() == SendBlock::None);
        m_directory.expire(m_now + UpstreamDirectory::ExpiryGrace - milliseconds(1));
        CPPUNIT_ASSERT(check() == SendBlock::None);
        m_directory.expire(m_now + UpstreamDirectory::ExpiryGrace);
        CPPUNIT_ASSERT(check() == SendBlock::Removed);
    }

    auto anotherProcessUnderTheIdGetsNone() -> void
    {
        CPPUNIT_ASSERT(changed([](Upstream &upstream) { upstream.startedAtMs = 2000; }) == SendBlock::Replaced);
        CPPUNIT_ASSERT(changed([](Upstream &upstream) { upstream.softwareVersion = "v2"; }) == SendBlock::Replaced);
        CPPUNIT_ASSERT(changed([](Upstream &upstream) { upstream.address = "10.0.0.2:80"; }) == SendBlock::Replaced);
        const auto restartAndLeave = [](Upstream &upstream) {
            upstream.startedAtMs = 2000;
            upstream.draining = true;
        };
        CPPUNIT_ASSERT(changed(restartAndLeave) == SendBlock::Replaced);
    }

    auto anEngineOfAnotherRoleGetsNone() -> void
    {
        CPPUNIT_ASSERT(changed([](Upstream &upstream) { upstream.role = EngineRole::Prefill; }) == SendBlock::RoleChanged);
    }

    auto noticesKeepRequestsAway() -> void
    {
        UpstreamStanding standing;
        standing.paused = true;
        CPPUNIT_ASSERT(check(standing) == SendBlock::Paused && !isLeaving(check(standing)));
        standing.peerAnnouncedLeaving = true;
        CPPUNIT_ASSERT(check(standing) == SendBlock::PeerAnnouncedLeaving);
        standing.announcedLeaving = true;
        CPPUNIT_ASSERT(check(standing) == SendBlock::AnnouncedLeaving && isLeaving(check(standing)));
    }

    auto theEntryIsNamedBeforeNotices() -> void
    {
        changed([](Upstream &upstream) { upstream.draining = true; });
        UpstreamStanding standing;
        standing.announcedLeaving = standing.paused = true;
        CPPUNIT_ASSERT(check(standing) == SendBlock::Draining);
    }

    auto eachReasonHasAName() -> void
    {
        std::set<std::string_view> names;
        for (int block = 0; block <= static_cast<int>(SendBlock::Paused); ++block) {
            names.insert(name(static_cast<SendBlock>(block)));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), names.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SendGateTest);
