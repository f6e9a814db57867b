#include "currantstack/decisions/knowledge_gap.h"
#include "currantstack/decisions/software_versions.h"
#include "currantstack/edge/software_version_codec.h"

#include "check.h"

using namespace currantstack;

class SoftwareVersionsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoftwareVersionsTest);
    CPPUNIT_TEST(keysDifferByServiceAndVersion);
    CPPUNIT_TEST(aServiceStaysMixedForLongerThanItsStreamsLive);
    CPPUNIT_TEST(aVersionGetsNoStreamsBeforeTheRecordHasNamedItForAWhile);
    CPPUNIT_TEST(versionsOfTheFirstRecordHaveStreamsAtOnceIfAllVmsRelyOnIt);
    CPPUNIT_TEST(aVmThatStartsUsesSettledVersionsAtOnce);
    CPPUNIT_TEST(aFurtherVersionSettles);
    CPPUNIT_TEST(aServiceWithoutRecordHidesItsVersions);
    CPPUNIT_TEST(aVersionThatHasLeftStaysInTheRecord);
    CPPUNIT_TEST(aVersionIsNotDroppedByAVmThatMayHaveMissedIt);
    CPPUNIT_TEST(aVersionThatLeavesTheRecordIsForgotten);
    CPPUNIT_TEST(aVersionThatReturnsIsRecordedAnew);
    CPPUNIT_TEST(whatAnotherVmHasWrittenReplacesWhatWasKnown);
    CPPUNIT_TEST(besideEarlierBuildsAVersionMayHaveStreamsBeforeItIsRecorded);
    CPPUNIT_TEST(streamsWaitForTheVersionThatReplacesTheLast);
    CPPUNIT_TEST(whatTheStoreHasLostIsRecordedAgain);
    CPPUNIT_TEST(aVersionThatTheRecordDoesNotNameHasNoStreams);
    CPPUNIT_TEST(aVersionThatIsLearnedOfLateMayHaveStreams);
    CPPUNIT_TEST(noStreamBeginsBeforeOtherVmsKnowThatTheyAreOutdated);
    CPPUNIT_TEST(noticesCarryAVersionToAVmThatHasNotSeenIt);
    CPPUNIT_TEST(noticesCarryAVersionThatOnlyTheRecordNames);
    CPPUNIT_TEST_SUITE_END();

    SoftwareVersions m_versions;
    TimePoint m_now = TimePoint() + seconds(1000);

    auto see(std::string_view service, std::string_view version) -> void
    {
        m_versions.currency().confirm(m_now);
        m_versions.observe(service, version, m_now, m_now);
    }

    auto plan(const VersionRecord *stored, bool isFirstSettled = true, Duration unseen = seconds(1000)) const -> VersionRecord
    {
        return m_versions.planRecord("llm", stored, isFirstSettled, m_now - unseen, m_now);
    }

    auto isSettled(std::string_view version) const -> bool
    {
        return m_versions.isSettled("llm", version, m_now);
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

    // Load: engines of a new version join; another VM may have read the record a moment before it names the version.
    auto aVersionGetsNoStreamsBeforeTheRecordHasNamedItForAWhile() -> void
    {
        const VersionRecord former{"llm", {{"v1", true}}};
        m_versions.onRecordRead({&former, 1}, {m_now, true, true}, m_now);
        see("llm", "v2");
        m_now += seconds(30);
        see("llm", "v2");
        CPPUNIT_ASSERT(isSettled("v1") && !isSettled("v2"));
        const auto planned = plan(&former);
        CPPUNIT_ASSERT((planned == VersionRecord{"llm", {{"v1", true}, {"v2", false}}}));
        m_versions.onRecorded(planned, m_now);
        m_now += SoftwareVersions::SettlingTime - milliseconds(1);
        see("llm", "v1");
        CPPUNIT_ASSERT(!isSettled("v2") && plan(&planned) == planned);
        CPPUNIT_ASSERT(m_versions.settlesIn("llm", m_now) == Duration::zero());
        m_now += milliseconds(1);
        CPPUNIT_ASSERT(isSettled("v2") && (plan(&planned) == VersionRecord{"llm", {{"v1", true}, {"v2", true}}}));
    }

    // Load: a fleet starts for the first time, or a service gets its first engines, in two versions.
    auto versionsOfTheFirstRecordHaveStreamsAtOnceIfAllVmsRelyOnIt() -> void
    {
        see("llm", "v1");
        see("llm", "v2");
        CPPUNIT_ASSERT_MESSAGE("VMs of earlier builds rely on what they have heard",
                               (plan(nullptr, false) == VersionRecord{"llm", {{"v1"}, {"v2"}}}));
        CPPUNIT_ASSERT(m_versions.settlesIn("llm", m_now) == SoftwareVersions::SettlingTime);
        const auto first = plan(nullptr);
        CPPUNIT_ASSERT((first == VersionRecord{"llm", {{"v1", true}, {"v2", true}}}));
        m_versions.onRecorded(first, m_now);
        CPPUNIT_ASSERT(isSettled("v1") && isSettled("v2"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("either can have streams of other VMs", std::size_t(2),
                                     m_versions.possibleOrigins("llm", m_now).size());
    }

    // Load: a VM is replaced, or the whole fleet restarts; callers must not wait until versions settle.
    auto aVmThatStartsUsesSettledVersionsAtOnce() -> void
    {
        const VersionRecord record{"llm", {{"v1", true}, {"v2", false}}};
        m_versions.onRecordRead({&record, 1}, {m_now, true, true}, m_now);
        CPPUNIT_ASSERT(isSettled("v1") && !isSettled("v2"));
        CPPUNIT_ASSERT(*m_versions.knownSince("llm", "v1") == m_now - SoftwareVersions::SettlingTime);
        CPPUNIT_ASSERT_MESSAGE("v2 may be settled at other VMs", m_versions.isMixed("llm"));
        m_now += SoftwareVersions::SettlingTime;
        CPPUNIT_ASSERT(isSettled("v2"));
    }

    auto aFurtherVersionSettles() -> void
    {
        const VersionRecord former{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&former, 1}, {m_now, true, true}, m_now);
        see("llm", "v3");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_versions.possibleOrigins("llm", m_now + SoftwareVersions::EarliestUse).size());
        m_versions.onRecorded(plan(&former), m_now);
        CPPUNIT_ASSERT(!isSettled("v3"));
        m_now += SoftwareVersions::SettlingTime;
        CPPUNIT_ASSERT(isSettled("v3"));
    }

    // Load: a VM lists the engines of a service that gets its first record at another VM, with versions that it does not list.
    auto aServiceWithoutRecordHidesItsVersions() -> void
    {
        CPPUNIT_ASSERT_MESSAGE("no streams can have begun", m_versions.hasRecord("llm"));
        see("llm", "v1");
        CPPUNIT_ASSERT(!m_versions.hasRecord("llm"));
        const VersionRecord record{"llm", {{"v1"}}};
        m_versions.onRecorded(record, m_now);
        CPPUNIT_ASSERT(m_versions.hasRecord("llm"));
    }

    // Load: engines of a version crash soon after they joined, and all VMs that knew it restart.
    auto aVersionThatHasLeftStaysInTheRecord() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        const auto readAt = m_now;
        while (m_now - readAt < SoftwareVersions::RecordRetention - seconds(1)) {
            m_now += seconds(1);
            see("llm", "v1");
            m_versions.expire(m_now);
            CPPUNIT_ASSERT(m_versions.isMixed("llm") && plan(&both, true, m_now - readAt) == both);
        }
        m_now += seconds(1);
        see("llm", "v1");
        CPPUNIT_ASSERT((plan(&both, true, m_now - readAt) == VersionRecord{"llm", {{"v1", true}}}));
    }

    // Load: a version comes and leaves while a VM is cut off from the store.
    auto aVersionIsNotDroppedByAVmThatMayHaveMissedIt() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        m_now += 2 * SoftwareVersions::RecordRetention;
        CPPUNIT_ASSERT_MESSAGE("no version is in use that could replace it", plan(&both) == both);
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        for (const auto end = m_now + 2 * SoftwareVersions::RecordRetention; m_now < end; m_now += SoftwareVersions::Lifetime / 2) {
            see("llm", "v1");
            m_versions.onRecorded({"llm", {{"v1", true}}}, m_now);
        }
        CPPUNIT_ASSERT(plan(&both, true, SoftwareVersions::RecordRetention - milliseconds(1)) == both);
        CPPUNIT_ASSERT(plan(&both, true, SoftwareVersions::RecordRetention) != both);
    }

    auto aVersionThatLeavesTheRecordIsForgotten() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        const VersionRecord one{"llm", {{"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        m_now += SoftwareVersions::Lifetime;
        m_versions.onRecordRead({&one, 1}, {m_now, true, true}, m_now);
        m_versions.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(softwareVersionKey("llm", "v2"), m_versions.onlyVersion("llm"));
        see("llm", "v1");
        CPPUNIT_ASSERT_MESSAGE("it is new when it returns", !isSettled("v1"));
    }

    // Load: a release is rolled back minutes later, while another VM drops the former version from the record.
    auto aVersionThatReturnsIsRecordedAnew() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        see("llm", "v2");
        m_now += SoftwareVersions::Lifetime;
        see("llm", "v2");
        CPPUNIT_ASSERT(!isSettled("v2") && m_versions.hasUnrecorded("llm", m_now));
        const auto planned = plan(&both);
        CPPUNIT_ASSERT((planned == VersionRecord{"llm", {{"v1", true}, {"v2", false}}}));
        m_versions.onRecorded(planned, m_now);
        CPPUNIT_ASSERT(!isSettled("v2") && !m_versions.hasUnrecorded("llm", m_now));
        m_now += SoftwareVersions::SettlingTime;
        CPPUNIT_ASSERT(isSettled("v2"));
    }

    // Load: two VMs write the record at once.
    auto whatAnotherVmHasWrittenReplacesWhatWasKnown() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        m_versions.onReplaced({"llm", {{"v2", true}, {"v3"}}}, m_now);
        CPPUNIT_ASSERT(!isSettled("v1") && isSettled("v2") && !isSettled("v3"));
    }

    // Load: the store takes no writes beside VMs that do not need them.
    auto besideEarlierBuildsAVersionMayHaveStreamsBeforeItIsRecorded() -> void
    {
        const VersionRecord record{"llm", {{"v1", true}}};
        m_versions.onRecordRead({&record, 1}, {m_now, true, false}, m_now);
        see("llm", "v2");
        m_now += SoftwareVersions::EarliestUse;
        m_versions.onRecordRead({&record, 1}, {m_now, true, false}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
    }

    // Load: all engines are replaced at once by ones of another version.
    auto streamsWaitForTheVersionThatReplacesTheLast() -> void
    {
        const VersionRecord record{"llm", {{"v1", true}}};
        m_versions.onRecordRead({&record, 1}, {m_now, true, true}, m_now);
        CPPUNIT_ASSERT(m_versions.settlesIn("llm", m_now) == Duration::zero());
        see("llm", "v2");
        CPPUNIT_ASSERT(m_versions.settlesIn("llm", m_now) == SoftwareVersions::SettlingTime);
    }

    // Load: the store returns from an older copy.
    auto whatTheStoreHasLostIsRecordedAgain() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        const VersionRecord older{"llm", {{"v1", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        m_now += seconds(100);
        m_versions.onRecordRead({&older, 1}, {m_now, false, true}, m_now);
        CPPUNIT_ASSERT(m_versions.isMixed("llm") && !m_versions.currency().isCurrent(m_now));
        CPPUNIT_ASSERT(plan(&older) == both);
        see("llm", "v3");
        CPPUNIT_ASSERT_MESSAGE("a lost record is not a first one", !plan(nullptr).versions.back().isSettled);
    }

    // Load: callers return while engines of a new version join.
    auto aVersionThatTheRecordDoesNotNameHasNoStreams() -> void
    {
        const VersionRecord record{"llm", {{"v1", true}}};
        m_versions.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_versions.possibleOrigins("llm", m_now).size());
        m_versions.onRecordRead({&record, 1}, {m_now, true, true}, m_now);
        CPPUNIT_ASSERT_EQUAL(softwareVersionKey("llm", "v1"), m_versions.possibleOrigins("llm", m_now).front());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_versions.possibleOrigins("llm", m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now + SoftwareVersions::EarliestUse).size());
    }

    auto aVersionThatIsLearnedOfLateMayHaveStreams() -> void
    {
        see("llm", "v1");
        m_now += seconds(3);
        m_versions.observe("llm", "v2", m_now, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_versions.possibleOrigins("llm", m_now).size());
    }

    auto noStreamBeginsBeforeOtherVmsKnowThatTheyAreOutdated() -> void
    {
        CPPUNIT_ASSERT(VersionCurrency::MaxAge + KnowledgeGap::SuspensionTime < SoftwareVersions::SettlingTime);
        CPPUNIT_ASSERT(SoftwareVersions::EarliestUse <= SoftwareVersions::SettlingTime);
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

    // Load: a VM that has lost the store asks one that has read the record, but not the entries yet.
    auto noticesCarryAVersionThatOnlyTheRecordNames() -> void
    {
        const VersionRecord both{"llm", {{"v1", true}, {"v2", true}}};
        m_versions.onRecordRead({&both, 1}, {m_now, true, true}, m_now);
        const auto notices = decodeVersions(encodeVersions(m_versions.notices(NoticeScope::AllServices, m_now)));
        SoftwareVersions other;
        for (const auto &notice : *notices) {
            other.merge(notice, "vm1", m_now);
        }
        CPPUNIT_ASSERT(other.isMixed("llm"));
        CPPUNIT_ASSERT_MESSAGE("only a VM that has read the record writes it",
                               other.planRecord("llm", nullptr, true, m_now, m_now).versions.empty());
        other.expire(m_now + SoftwareVersions::Lifetime - milliseconds(1));
        CPPUNIT_ASSERT(other.isMixed("llm"));
        other.expire(m_now + SoftwareVersions::Lifetime);
        CPPUNIT_ASSERT(!other.isMixed("llm"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoftwareVersionsTest);
