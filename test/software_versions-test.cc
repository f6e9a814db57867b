#include "currantstack/decisions/knowledge_gap.h"
#include "currantstack/decisions/software_versions.h"

#include "check.h"

using namespace currantstack;

class SoftwareVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
    CPPUNIT_TEST(keysDifferByServiceAndVersion);
    CPPUNIT_TEST(aServiceStaysMixedForLongerThanItsStreamsLive);
    CPPUNIT_TEST(onlyAFurtherVersionSettles);
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
        CPPUNIT_ASSERT(!m_versions.isMixed("llm") && m_versions.notices(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(softwareVersionKey("llm", "v1"), m_versions.onlyVersion("llm"));
        see("llm", "v2");
        CPPUNIT_ASSERT_EQUAL(AnySoftwareVersion, m_versions.onlyVersion("llm"));
        CPPUNIT_ASSERT_EQUAL(AnySoftwareVersion, m_versions.onlyVersion("unknown"));
        CPPUNIT_ASSERT(m_versions.isMixed("llm") && !m_versions.isMixed("other"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.notices(m_now).size());
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

    auto onlyAFurtherVersionSettles() -> void
    {
        see("llm", "v1");
        m_now += milliseconds(20); // of the same read
        see("llm", "v2");
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v1", m_now) && m_versions.isSettled("llm", "v2", m_now));
        m_now += seconds(5);
        see("llm", "v3");
        CPPUNIT_ASSERT(!m_versions.isSettled("llm", "v3", m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
        CPPUNIT_ASSERT(m_versions.isSettled("llm", "v3", m_now + SoftwareVersions::SettlingTime));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_versions.possibleOrigins("llm", m_now + SoftwareVersions::EarliestUse).size());
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
        late.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT(!late.isSettled("llm", "v2", m_now));
        for (const auto &notice : m_versions.notices(m_now)) {
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
        for (const auto &notice : m_versions.notices(m_now)) {
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
