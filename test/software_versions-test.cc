#include "currantstack/decisions/knowledge_gap.h"
#include "currantstack/decisions/software_versions.h"

#include "check.h"

using namespace currantstack;

class SoftwareVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
    CPPUNIT_TEST(keysDifferByServiceAndVersion);
    CPPUNIT_TEST(aServiceStaysMixedForLongerThanItsStreamsLive);
    CPPUNIT_TEST(versionsOfAFirstReadAreNotSettled);
    CPPUNIT_TEST(versionsThatAppearTogetherSettle);
    CPPUNIT_TEST(aFurtherVersionSettles);
    CPPUNIT_TEST(aVmThatStartsLearnsForHowLongVersionsAreKnown);
    CPPUNIT_TEST(theOnlyVersionOfAllVmsIsSettled);
    CPPUNIT_TEST(aVmWithoutOthersNeedNotWaitAtItsStart);
    CPPUNIT_TEST(aVersionThatHalfOfTheFleetCannotKnowIsNotUsed);
    CPPUNIT_TEST(aVmThatKnowsOnlyUnconfirmedVersionsUsesThem);
    CPPUNIT_TEST(aVersionThatHasNoAlternativeIsUsed);
    CPPUNIT_TEST(aVersionThatIsLearnedOfLateMayHaveStreams);
    CPPUNIT_TEST(noStreamBeginsBeforeOtherVmsKnowThatTheyAreOutdated);
    CPPUNIT_TEST(aVersionIsSettledOnceItIsSettledAtAnyVm);
    CPPUNIT_TEST(noticesCarryAVersionToAVmThatHasNotSeenIt);
    CPPUNIT_TEST_SUITE_END();

    SoftwareVersions m_versions;
    TimePoint m_now = TimePoint() + seconds(1000);

    auto see(std::string_view service, std::string_view version) -> void
    {
        m_versions.currency().confirm(m_now);
        m_versions.onHalfHeard(m_now + VersionCurrency::ContactTime);
        m_versions.observe(service, version, m_now, m_now);
    }

public:
    auto keysDifferByServiceAndVersion() -> void
    {
        CHECK_PROPERTY("different names have different keys", [](const std::string &one, const std::string &other) {
            RC_PRE(one != other);
            RC_ASSERT(softwareVersionKey("s", one) != softwareVersionKey("s", other));
            RC_ASSERT(softwareVersionKey(one, "v1") != softwareVersionKey(other, "v1"));
            RC_ASSERT(softwareVersionKey("s", one) != AnySoftwareVersion);
        });
    }

    auto aServiceStaysMixedForLongerThanItsStreamsLive() -> void
    {
        see("llm", "v1");
        see("other", "v1");
        CPPUNIT_ASSERT(!m_versions.isMixed("llm") && m_versions.notices(NoticeScope::MixedServices, m_now).empty());
        CPPUNIT_ASSERT_EQUAL(softwareVersionKey("llm", "v1"), m_versions.onlyVersion("llm"));
        see("llm", "v2");
        CPPUNIT_ASSERT_EQUAL(AnySoftwareVersion, m_versions.onlyVersion("llm"));
        CPPUNIT_ASSERT_EQUAL(AnySoftwareVersion, m_versions.onlyVersion("unknown"));
        CPPUNIT_ASSERT(m_versions.isMixed("llm") && !m_versions.isMixed("other"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.notices(NoticeScope::MixedServices, m_now).size());
        m_now += SoftwareVersions::Lifetime - seconds(1);
        see("llm", "v2");
        m_versions.expire(m_now);
        CPPUNIT_ASSERT(m_versions.isMixed("llm"));
        m_now += seconds(1);
        m_versions.expire(m_now);
        CPPUNIT_ASSERT(!m_versions.isMixed("llm"));
        CPPUNIT_ASSERT(m_versions.has("llm", softwareVersionKey("llm", "v2")));
        CPPUNIT_ASSERT(!m_versions.has("llm", softwareVersionKey("llm", "v1")));
    }

    // Load: a VM starts within the second of a release and reads old and new versions together.
    auto versionsOfAFirstReadAreNotSettled() -> void
    {
        m_versions.onHalfHeard(m_now + seconds(2));
        for (const auto *version : {"v1", "v2"}) {
            m_versions.observe("llm", version, m_now, m_now);
            CPPUNIT_ASSERT(!m_versions.isSettled("llm", version, m_now + SoftwareVersions::SettlingTime - milliseconds(1)));
            CPPUNIT_ASSERT(m_versions.isSettled("llm", version, m_now + SoftwareVersions::SettlingTime));
            m_now += milliseconds(20);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("either can have streams of other VMs", std::size_t(2),
                                     m_versions.possibleOrigins("llm", m_now).size());
    }

    // Load: a service gets its first engines, in two versions.
    auto versionsThatAppearTogetherSettle() -> void
    {
        see("other", "v1");
        m_now += seconds(100);
        for (const auto *version : {"v1", "v2"}) {
            see("llm", version);
            CPPUNIT_ASSERT(!m_versions.isSettled("llm", version, m_now));
            m_now += milliseconds(20);
        }
        m_now += SoftwareVersions::SettlingTime;
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now) && m_versions.isSettled("llm", "v2", m_now));
    }

    auto aFurtherVersionSettles() -> void
    {
        see("llm", "v1");
        m_now += milliseconds(20);
        see("llm", "v2");
        m_now += seconds(5);
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now) && m_versions.isSettled("llm", "v2", m_now));
        see("llm", "v3");
        CPPUNIT_ASSERT(!m_versions.isSettled("llm", "v3", m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v3", m_now + SoftwareVersions::SettlingTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_versions.possibleOrigins("llm", m_now + SoftwareVersions::EarliestUse).size());
    }

    // Load: a VM is replaced in calm; its callers must not wait until the versions settle.
    auto aVmThatStartsLearnsForHowLongVersionsAreKnown() -> void
    {
        see("llm", "v1");
        m_now += seconds(30);
        SoftwareVersions started;
        started.observe("llm", "v1", m_now, m_now);
        CPPUNIT_ASSERT(!started.isSettled("llm", "v1", m_now));
        CPPUNIT_ASSERT_MESSAGE("a VM in step is not told again and again", m_versions.notices(NoticeScope::MixedServices, m_now).empty());
        const auto told = m_versions.notices(NoticeScope::AllServices, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        CPPUNIT_ASSERT(started.settlesIn("llm", m_now + milliseconds(500)) == SoftwareVersions::SettlingTime - milliseconds(500));
        started.merge(told.front(), "vm1", m_now);
        CPPUNIT_ASSERT(started.isSettled("llm", "v1", m_now) && started.settlesIn("llm", m_now) == Duration::zero());
        const auto passedOn = started.notices(NoticeScope::AllServices, m_now);
        CPPUNIT_ASSERT_MESSAGE("the age is passed on", passedOn.front().knownFor == told.front().knownFor);
    }

    // Load: all VMs start together, so that nobody has known a version for long.
    auto theOnlyVersionOfAllVmsIsSettled() -> void
    {
        m_versions.observe("llm", "v2", m_now, m_now);
        const std::vector<std::string> vms{"vm1", "vm2"};
        const std::vector<SoftwareVersionNotice> same{{"llm", "v2"}};
        const std::vector<SoftwareVersionNotice> former{{"llm", "v1"}};
        const std::vector<SoftwareVersionNotice> both{{"llm", "v1"}, {"llm", "v2"}};
        m_versions.onAllTold("vm1", same);
        m_versions.settleShared(vms, m_now);
        CPPUNIT_ASSERT_MESSAGE("one VM has not told", !m_versions.isSettled("llm", "v2", m_now));
        for (const auto &other : {former, both, {}}) {
            m_versions.onAllTold("vm2", other);
            m_versions.settleShared(vms, m_now);
            CPPUNIT_ASSERT(!m_versions.isSettled("llm", "v2", m_now));
        }
        m_versions.onAllTold("vm2", same);
        m_versions.settleShared(vms, m_now);
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v2", m_now));
    }

    auto aVmWithoutOthersNeedNotWaitAtItsStart() -> void
    {
        m_versions.observe("llm", "v1", m_now, m_now);
        m_versions.settleAll(m_now);
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now));
        m_versions.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT_MESSAGE("another VM may have started", !m_versions.isSettled("llm", "v2", m_now));
    }

    // Load: a VM reaches the store, but not the others, while engines of a new version join.
    auto aVersionThatHalfOfTheFleetCannotKnowIsNotUsed() -> void
    {
        see("llm", "v1");
        m_now += seconds(10);
        m_versions.observe("llm", "v2", m_now, m_now);
        const auto learnedAt = m_now;
        while (m_now - learnedAt < SoftwareVersions::IsolationTime) {
            m_now += seconds(1);
            m_versions.observe("llm", "v1", m_now, m_now);
            CPPUNIT_ASSERT(!m_versions.isSettled("llm", "v2", m_now));
            CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now));
        }
        m_versions.onHalfHeard(learnedAt);
        CPPUNIT_ASSERT_MESSAGE("a datagram that was on its way is no contact", !m_versions.isSettled("llm", "v2", m_now));
        m_versions.onHalfHeard(learnedAt + VersionCurrency::ContactTime);
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v2", m_now));
    }

    // Load: a VM starts in a release while most others are down.
    auto aVmThatKnowsOnlyUnconfirmedVersionsUsesThem() -> void
    {
        for (const auto *version : {"v1", "v2"}) {
            m_versions.observe("llm", version, m_now, m_now);
        }
        m_now += SoftwareVersions::SettlingTime;
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now) && m_versions.isSettled("llm", "v2", m_now));
    }

    // Load: a VM reaches only the store, and the engines of the former version leave.
    auto aVersionThatHasNoAlternativeIsUsed() -> void
    {
        see("llm", "v1");
        m_now += seconds(10);
        m_versions.observe("llm", "v1", m_now, m_now);
        m_versions.observe("llm", "v2", m_now, m_now);
        m_now += SoftwareVersions::PresenceTime;
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v2", m_now));
    }

    auto aVersionThatIsLearnedOfLateMayHaveStreams() -> void
    {
        see("llm", "v1");
        m_now += seconds(3);
        m_versions.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT(!m_versions.isSettled("llm", "v2", m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
    }

    auto noStreamBeginsBeforeOtherVmsKnowThatTheyAreOutdated() -> void
    {
        CPPUNIT_ASSERT(VersionCurrency::MaxAge + KnowledgeGap::SuspensionTime < SoftwareVersions::SettlingTime);
        CPPUNIT_ASSERT(SoftwareVersions::EarliestUse <= SoftwareVersions::SettlingTime);
    }

    auto aVersionIsSettledOnceItIsSettledAtAnyVm() -> void
    {
        SoftwareVersions late;
        for (auto *versions : {&m_versions, &late}) {
            versions->observe("llm", "v1", m_now, m_now);
        }
        m_now += seconds(5);
        see("llm", "v2");
        m_now += SoftwareVersions::SettlingTime;
        late.onHalfHeard(m_now);
        late.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT(!late.isSettled("llm", "v2", m_now));
        for (const auto &notice : m_versions.notices(NoticeScope::MixedServices, m_now)) {
            late.merge(notice, "vm1", m_now);
        }
        CPPUNIT_ASSERT(late.isSettled("llm", "v2", m_now));
    }

    auto noticesCarryAVersionToAVmThatHasNotSeenIt() -> void
    {
        see("llm", "v1");
        m_now += seconds(1);
        see("llm", "v2");
        SoftwareVersions other;
        other.observe("llm", "v2", m_now, m_now);
        for (const auto &notice : m_versions.notices(NoticeScope::MixedServices, m_now)) {
            other.merge(notice, "vm1", m_now);
        }
        CPPUNIT_ASSERT(other.isMixed("llm"));
        other.expire(m_now + SoftwareVersions::Lifetime - milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE("the age of a version that is told is lost", !other.isMixed("llm"));
        other.merge({"llm", "v0", SoftwareVersions::Lifetime}, "vm1", m_now);
        CPPUNIT_ASSERT(!other.has("llm", softwareVersionKey("llm", "v0")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionsTest);
