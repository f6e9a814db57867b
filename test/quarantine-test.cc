#include "currantstack/decisions/quarantine.h"
#include "currantstack/placement.h"

#include "check.h"

#include <algorithm>
#include <fmt/format.h>

using namespace currantstack;

namespace
{

const TimePoint Start{seconds(1000)};
constexpr Duration Length = seconds(600);
constexpr Fingerprint Poison = 7;
constexpr Fingerprint Sound = 8;

auto crash(std::string_view upstream, std::vector<Traits> requests, TimePoint at = Start) -> CrashRecord
{
    return {std::string(upstream), "vm0", at, std::move(requests)};
}

auto isQuarantined(const Quarantine &quarantine, const Traits &traits, TimePoint now = Start) -> bool
{
    return quarantine.find(traits, now).has_value();
}

} // namespace

class QuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuarantineTest);
    CPPUNIT_TEST(quarantinesAfterTwoUpstreamsCrash);
    CPPUNIT_TEST(sameUpstreamTwiceCountsOnce);
    CPPUNIT_TEST(oldCrashesDoNotCount);
    CPPUNIT_TEST(mergesEntriesAndExpires);
    CPPUNIT_TEST(crashesSeenByDifferentVmsAddUp);
    CPPUNIT_TEST(neighboursOfAPoisonRequestAreServed);
    CPPUNIT_TEST(crashWaveStopsNoRequest);
    CPPUNIT_TEST(popularRequestSurvivesTheLossOfARack);
    CPPUNIT_TEST(simultaneousCrashesHaveACommonCause);
    CPPUNIT_TEST(repeatsInParallelCountOneByOne);
    CPPUNIT_TEST(successLiftsTheQuarantineOnAllVms);
    CPPUNIT_TEST(successIsReportedToVmsThatKnowOnlyTheEntry);
    CPPUNIT_TEST(oneMoreCrashAfterTheQuarantineRenewsIt);
    CPPUNIT_TEST(memoryIsBoundedAndEntriesAreNotEvicted);
    CPPUNIT_TEST(poisonRequestIsFoundInAnyOrderOfRecords);
    CPPUNIT_TEST(refusalNamesItsReason);
    CPPUNIT_TEST(poisonPartIsDistinguishedFromTheOthers);
    CPPUNIT_TEST(partsThatOnlyCameTogetherAreRefusedTogether);
    CPPUNIT_TEST(laterCrashSinglesOutThePoisonPart);
    CPPUNIT_TEST(repeatedRequestDoesNotHideThePart);
    CPPUNIT_TEST(twoPoisonPartsAreBothFound);
    CPPUNIT_TEST(poisonPartIsFoundAmongRandomPrompts);
    CPPUNIT_TEST_SUITE_END();

public:
    auto quarantinesAfterTwoUpstreamsCrash() -> void
    {
        Quarantine quarantine({2, Length});
        quarantine.recordCrash(crash("e0", {{Poison}}), Start);
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Poison}));
        CPPUNIT_ASSERT(quarantine.isSuspect(Traits{Poison}, Start));
        quarantine.recordCrash(crash("e1", {{Poison}}), Start);
        CPPUNIT_ASSERT(isQuarantined(quarantine, {Poison}));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Sound}));
    }

    auto sameUpstreamTwiceCountsOnce() -> void
    {
        Quarantine quarantine({2, Length});
        quarantine.recordCrash(crash("e0", {{Poison}}), Start);
        CPPUNIT_ASSERT(!quarantine.recordCrash(crash("e0", {{Poison}}), Start));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Poison}));
    }

    auto oldCrashesDoNotCount() -> void
    {
        Quarantine quarantine({2, Length});
        const auto later = Start + Quarantine::RecordLifetime + seconds(1);
        quarantine.recordCrash(crash("e0", {{Poison}}), Start);
        quarantine.recordCrash(crash("e1", {{Poison}}, later), later);
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Poison}, later));
    }

    auto mergesEntriesAndExpires() -> void
    {
        Quarantine first({2, Length});
        Quarantine second({2, Length});
        first.recordCrash(crash("e0", {{Poison}}), Start);
        first.recordCrash(crash("e1", {{Poison}}), Start);
        QuarantineReport report;
        report.entries = first.entries(Start);
        CPPUNIT_ASSERT(second.merge(report, Start));
        CPPUNIT_ASSERT(!second.merge(report, Start));
        CPPUNIT_ASSERT(isQuarantined(second, {Poison}, Start + Length - seconds(1)));
        CPPUNIT_ASSERT(!isQuarantined(second, {Poison}, Start + Length));
        second.expire(Start + 2 * Length);
        CPPUNIT_ASSERT(second.isEmpty());
    }

    auto crashesSeenByDifferentVmsAddUp() -> void
    {
        std::vector<Quarantine> vms(3);
        for (std::size_t number = 0; number < vms.size(); ++number) {
            vms[number].recordCrash(crash(fmt::format("e{}", number), {{Poison}}), Start);
        }
        vms[0].merge(vms[1].report(Start), Start);
        CPPUNIT_ASSERT(!isQuarantined(vms[0], {Poison}));
        vms[0].merge(vms[2].report(Start), Start);
        CPPUNIT_ASSERT(isQuarantined(vms[0], {Poison}));
    }

    auto neighboursOfAPoisonRequestAreServed() -> void
    {
        Quarantine quarantine;
        for (Fingerprint number = 0; number < 5; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {{Poison}, {100 + number}, {200 + number / 2}}), Start);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, {Poison}));
        for (const Fingerprint neighbour : {100, 101, 104, 200, 201}) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, {neighbour}));
        }
    }

    /// Upstreams crash by themselves; each request is repeated once and then answered or given up.
    auto crashWaveStopsNoRequest() -> void
    {
        CHECK_PROPERTY("a crash wave stops no request", [](std::uint32_t seed) {
            Quarantine quarantine;
            Random random(seed);
            Fingerprint next = 1;
            std::vector<Traits> repeated;
            for (int number = 0; number < 30; ++number) {
                std::vector<Traits> inFlight;
                for (int fresh = 0; fresh < 6; ++fresh) {
                    inFlight.push_back({next++});
                }
                const auto fresh = inFlight;
                inFlight.insert(inFlight.end(), repeated.begin(), repeated.end());
                quarantine.recordCrash(crash(fmt::format("e{}", number), inFlight), Start);
                repeated.clear();
                std::copy_if(fresh.begin(), fresh.end(), std::back_inserter(repeated), [&](const Traits &) { return random() % 2 == 0; });
            }
            RC_ASSERT(quarantine.entries(Start).empty());
        });
    }

    auto popularRequestSurvivesTheLossOfARack() -> void
    {
        Quarantine quarantine;
        quarantine.recordSuccess(Traits{Sound}, Start - seconds(2));
        for (int number = 0; number < 6; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {{Sound}}), Start);
        }
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Sound}));
    }

    /// Racks lose power again and again; some requests of one session are in flight at two engines each time, and none of them succeeds.
    auto simultaneousCrashesHaveACommonCause() -> void
    {
        Quarantine quarantine;
        for (Fingerprint wave = 0; wave < 4; ++wave) {
            const auto at = Start + seconds(6 * static_cast<int>(wave));
            for (Fingerprint number = 0; number < 8; ++number) {
                auto requests = std::vector<Traits>{traitsOf(1000 + 100 * wave + number, Traits{2000 + 100 * wave + number})};
                if (number < 2) {
                    requests.push_back(traitsOf(3000 + 100 * wave + number, Traits{Sound}));
                }
                quarantine.recordCrash(crash(fmt::format("e{}.{}", wave, number), requests, at + milliseconds(10 * number)),
                                       at + seconds(1));
            }
        }
        CPPUNIT_ASSERT(quarantine.entries(Start + seconds(20)).empty());
    }

    auto repeatsInParallelCountOneByOne() -> void
    {
        Quarantine quarantine;
        for (int number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {{Poison}, {Sound}}, Start + milliseconds(number)), Start);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, {Poison}));
    }

    auto successLiftsTheQuarantineOnAllVms() -> void
    {
        Quarantine first;
        Quarantine second;
        for (int number = 0; number < 3; ++number) {
            first.recordCrash(crash(fmt::format("e{}", number), {{Sound}}), Start);
        }
        second.recordSuccess(Traits{Sound}, Start + seconds(1));
        CPPUNIT_ASSERT(isQuarantined(first, {Sound}));
        const auto now = Start + seconds(2);
        second.merge(first.report(now), now); // the second VM recognizes the fingerprint and reports its success
        CPPUNIT_ASSERT(!isQuarantined(second, {Sound}, now));
        CPPUNIT_ASSERT(first.merge(second.report(now), now));
        CPPUNIT_ASSERT(!isQuarantined(first, {Sound}, now));
    }

    /// A VM that has just started reads the entry from the store; the records of the crashes are gone with the VM that wrote it.
    auto successIsReportedToVmsThatKnowOnlyTheEntry() -> void
    {
        Quarantine started;
        Quarantine peer;
        QuarantineReport stored;
        stored.entries = {{{Sound}, Length, {"e0", "e1", "e2"}, "vm0", seconds(1)}};
        started.merge(stored, Start);
        CPPUNIT_ASSERT(isQuarantined(started, {Sound}));
        peer.recordSuccess(Traits{Sound}, Start);
        peer.merge(started.report(Start), Start);
        CPPUNIT_ASSERT(!isQuarantined(peer, {Sound}) && !peer.isEmpty());
        CPPUNIT_ASSERT(started.merge(peer.report(Start), Start));
        CPPUNIT_ASSERT(!isQuarantined(started, {Sound}));
    }

    auto oneMoreCrashAfterTheQuarantineRenewsIt() -> void
    {
        Quarantine quarantine;
        for (int number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {{Poison}}), Start);
        }
        const auto later = Start + Length + seconds(5);
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Poison}, later));
        quarantine.recordCrash(crash("e9", {{Poison}, {Sound}}, later), later);
        CPPUNIT_ASSERT(isQuarantined(quarantine, {Poison}, later));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, {Sound}, later));
    }

    auto memoryIsBoundedAndEntriesAreNotEvicted() -> void
    {
        Quarantine quarantine;
        auto now = Start;
        const auto crashUnder = [&quarantine, &now](Fingerprint fingerprint) {
            now += seconds(1);
            for (int number = 0; number < 3; ++number) {
                quarantine.recordCrash(crash(fmt::format("e{}.{}", fingerprint, number), {{fingerprint}}, now), now);
            }
        };
        crashUnder(Poison);
        for (Fingerprint made = 1000; made < 1000 + 2 * Quarantine::MaxEntries; ++made) {
            crashUnder(made);
            quarantine.recordSuccess(Traits{1'000'000 + made}, now);
        }
        const auto report = quarantine.report(now);
        CPPUNIT_ASSERT_EQUAL(Quarantine::MaxEntries, report.entries.size());
        CPPUNIT_ASSERT(report.crashes.size() <= Quarantine::MaxRecords);
        CPPUNIT_ASSERT(isQuarantined(quarantine, {Poison}, now));
        std::vector<Traits> flood;
        for (Fingerprint made = 0; made < 1000; ++made) {
            Traits traits(100);
            std::generate(traits.begin(), traits.end(), [&made, next = 0]() mutable { return 5'000'000 + 1000 * made + next++; });
            flood.push_back(traits);
        }
        Quarantine other;
        other.recordCrash(crash("e", flood), Start);
        const auto record = other.report(Start).crashes.front();
        CPPUNIT_ASSERT_EQUAL(Quarantine::MaxRequestsPerRecord, record.requests.size());
        CPPUNIT_ASSERT_EQUAL(Quarantine::MaxTraits, record.requests.front().size());
        SuccessHistory history;
        for (Fingerprint made = 0; made < 3 * SuccessHistory::MaxFingerprints; ++made) {
            history.add(made, Start);
        }
        CPPUNIT_ASSERT(history.size() <= SuccessHistory::MaxFingerprints);
    }

    auto poisonRequestIsFoundInAnyOrderOfRecords() -> void
    {
        CHECK_PROPERTY("the request present at all crashes is quarantined in any order of the records", [](std::uint32_t seed) {
            Random random(seed);
            std::vector<CrashRecord> records;
            for (int number = 0; number < 5; ++number) {
                records.push_back(crash(fmt::format("e{}", number), {{Poison}, {100 + random() % 6}, {100 + random() % 6}}));
            }
            std::shuffle(records.begin(), records.end(), random);
            Quarantine quarantine;
            for (const auto &record : records) {
                quarantine.recordCrash(record, Start);
            }
            RC_ASSERT(isQuarantined(quarantine, {Poison}));
        });
    }

    auto poisonPartIsDistinguishedFromTheOthers() -> void
    {
        Quarantine quarantine;
        quarantine.recordSuccess(traitsOf(50, Traits{Sound, 9}), Start);
        for (Fingerprint number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {traitsOf(100 + number, Traits{Sound, Poison})}), Start);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(200, Traits{Sound, Poison})));
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(201, Traits{Poison})));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, traitsOf(202, Traits{Sound, 9})));
    }

    auto partsThatOnlyCameTogetherAreRefusedTogether() -> void
    {
        Quarantine quarantine;
        for (Fingerprint number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {traitsOf(100 + number, Traits{Sound, Poison})}), Start);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(200, Traits{Sound, Poison})));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, traitsOf(201, Traits{Sound, 9})));
        // The success of a request with one of the parts leaves the other.
        quarantine.recordSuccess(traitsOf(201, Traits{Sound, 9}), Start + seconds(1));
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(202, Traits{9, Poison}), Start + seconds(1)));
    }

    auto laterCrashSinglesOutThePoisonPart() -> void
    {
        Quarantine quarantine;
        for (Fingerprint number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {traitsOf(100 + number, Traits{Sound, Poison})}), Start);
        }
        CPPUNIT_ASSERT(!isQuarantined(quarantine, traitsOf(200, Traits{9, Poison})));
        quarantine.recordCrash(crash("e3", {traitsOf(200, Traits{9, Poison})}), Start);
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(201, Traits{10, Poison})));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, traitsOf(202, Traits{Sound, 9})));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantine.entries(Start).size());
    }

    auto repeatedRequestDoesNotHideThePart() -> void
    {
        Quarantine quarantine;
        for (Fingerprint number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {traitsOf(100, Traits{Sound, Poison})}), Start);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(100, Traits{Sound, Poison})));
        quarantine.recordCrash(crash("e3", {traitsOf(101, Traits{Sound, Poison})}), Start);
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(102, Traits{Sound, Poison})));
    }

    auto twoPoisonPartsAreBothFound() -> void
    {
        Quarantine quarantine;
        for (Fingerprint number = 0; number < 4; ++number) {
            const auto at = Start + seconds(number);
            const auto later = at + milliseconds(500);
            quarantine.recordCrash(crash(fmt::format("a{}", number), {traitsOf(100 + number, Traits{20 + number, Poison})}, at), at);
            quarantine.recordCrash(crash(fmt::format("b{}", number), {traitsOf(200 + number, Traits{30 + number, 6})}, later), later);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(300, Traits{Poison})));
        CPPUNIT_ASSERT(isQuarantined(quarantine, traitsOf(300, Traits{6})));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, traitsOf(300, Traits{20, 30})));
    }

    auto poisonPartIsFoundAmongRandomPrompts() -> void
    {
        CHECK_PROPERTY("the poison part is found, and no sound prompt is refused", [](std::uint32_t seed) {
            Random random(seed);
            Quarantine quarantine;
            const auto sound = [&random]() { return traitsOf(1000 + random(), Traits{100 + random() % 4, 200 + random() % 8}); };
            const auto poison = [&random]() { return traitsOf(1000 + random(), Traits{100 + random() % 4, Poison}); };
            auto now = Start;
            for (int number = 0; number < 6; ++number) {
                for (int served = 0; served < 20; ++served) {
                    quarantine.recordSuccess(sound(), now);
                }
                now += milliseconds(500);
                quarantine.recordCrash(crash(fmt::format("e{}", number), {poison(), sound(), sound()}, now), now);
            }
            RC_ASSERT(isQuarantined(quarantine, poison(), now));
            for (int number = 0; number < 20; ++number) {
                RC_ASSERT(!isQuarantined(quarantine, sound(), now));
            }
        });
    }

    auto refusalNamesItsReason() -> void
    {
        Quarantine quarantine;
        for (int number = 0; number < 3; ++number) {
            quarantine.recordCrash(crash(fmt::format("e{}", number), {{Poison}}, Start + seconds(number)), Start + seconds(number));
        }
        const auto entry = quarantine.find(Traits{Poison}, Start + seconds(5));
        CPPUNIT_ASSERT(entry && entry->observer == "vm0" && entry->age == Duration(seconds(3)));
        CPPUNIT_ASSERT(entry->upstreams == (std::vector<std::string>{"e0", "e1", "e2"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
