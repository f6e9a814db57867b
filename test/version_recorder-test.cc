#include "version_recorder_fixture.h"

using namespace currantstack;

class VersionRecorderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionRecorderTest);
    CPPUNIT_TEST(aNewVersionIsWrittenOnConditionOfTheRevisionRead);
    CPPUNIT_TEST(theFirstRecordIsSettledOnlyIfAllVmsAreKnownToUseIt);
    CPPUNIT_TEST(theFirstRecordAfterTheFirstStartOfTheSystemIsNotSettled);
    CPPUNIT_TEST(aConflictTakesOverWhatWasWrittenAndAddsWhatIsMissing);
    CPPUNIT_TEST(aRecordThatWasRemovedMeanwhileIsWrittenAgain);
    CPPUNIT_TEST(anAnswerOlderThanAWriteIsIgnored);
    CPPUNIT_TEST(anAnswerOlderThanAnotherReadIsIgnored);
    CPPUNIT_TEST(anOlderAnswerDoesNotHoldUpAWrite);
    CPPUNIT_TEST(aWriteInFlightIsNotRepeated);
    CPPUNIT_TEST(failedCallsAreTriedAgainAfterADelay);
    CPPUNIT_TEST(aWriteWhoseAnswerIsLostIsFoundByTheNextRead);
    CPPUNIT_TEST(aReturnFromACopyIsDoubtedAndWhatItLostIsWrittenAgain);
    CPPUNIT_TEST(aReturnFromACopyIsReadAlsoJustAfterARead);
    CPPUNIT_TEST(aReturnFromACopyIsNoticedByTheRevision);
    CPPUNIT_TEST(unreadableRecordsConfirmNothingAndAreReplaced);
    CPPUNIT_TEST(servicesWithoutEnginesAreNotRecorded);
    CPPUNIT_TEST(readsAreBounded);
    CPPUNIT_TEST(aStoreThatAnswersNoReadIsSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    // A write undoes what another VM has added since, or is sent without a look at the record as it is.
    auto aNewVersionIsWrittenOnConditionOfTheRevisionRead() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v1");
        vm.checkNothingIsDue();
        vm.observe("v2");
        vm.runToRead();
        vm.putRecord({{"v1", true}, {"v3", true}});
        vm.store.answerRead();
        vm.checkWrite(8, {{"v1", true}, {"v2", false}, {"v3", true}});
        CPPUNIT_ASSERT(!vm.isRecorded("v2"));
        vm.store.answerWrite();
        CPPUNIT_ASSERT(vm.isRecorded("v2") && !vm.context.versions.isSettled("llm", "v2", vm.now()));
        vm.checkNothingIsDue();
        vm.clock.advance(SoftwareVersions::SettlingTime);
        vm.runToWrite();
        vm.checkWrite(9, {{"v1", true}, {"v2", true}, {"v3", true}});
    }

    // Streams begin at once beside VMs that take them for streams of another version.
    auto theFirstRecordIsSettledOnlyIfAllVmsAreKnownToUseIt() -> void
    {
        for (const auto &[isListed, allUseRecord] : {std::pair(true, true), std::pair(true, false), std::pair(false, true)}) {
            RecordingVm vm;
            vm.isListed = isListed;
            vm.allUseRecord = allUseRecord;
            vm.recorder.start();
            vm.observe("v1");
            vm.store.answerRead();
            vm.runFor(VersionRecorder::ReadPeriod + 2 * VersionRecorder::DelayPerVm);
            if (!isListed) {
                CPPUNIT_ASSERT(vm.store.reads.empty());
                CPPUNIT_ASSERT_EQUAL(1, vm.listReads);
                vm.clock.advance(VersionRecorder::LongestListWait);
                vm.runFor(2 * VersionRecorder::ListWaitPeriod);
            }
            vm.store.answerRead();
            vm.checkWrite(0, {{"v1", isListed && allUseRecord}});
        }
    }

    // A VM that starts after the store has lost the record takes its own for the first one.
    auto theFirstRecordAfterTheFirstStartOfTheSystemIsNotSettled() -> void
    {
        RecordingVm vm;
        vm.settings.bootstrap = false;
        vm.recorder.start();
        vm.observe("v1");
        vm.store.answerRead();
        vm.runToWrite();
        vm.checkWrite(0, {{"v1", false}});
    }

    // A write that another VM has overtaken is dropped, or undoes the other's.
    auto aConflictTakesOverWhatWasWrittenAndAddsWhatIsMissing() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.putRecord({{"v1", true}, {"v3", false}});
        vm.store.answerWrite();
        CPPUNIT_ASSERT(vm.isRecorded("v3") && !vm.isRecorded("v2"));
        vm.runToWrite();
        vm.checkWrite(8, {{"v1", true}, {"v2", false}, {"v3", false}});
        vm.store.answerWrite();
        CPPUNIT_ASSERT(vm.isRecorded("v2"));
        vm.checkNothingIsDue();
    }

    // A write is repeated with the revision of a record that no longer exists, and never succeeds.
    auto aRecordThatWasRemovedMeanwhileIsWrittenAgain() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.store.value.reset();
        ++vm.store.revision;
        vm.store.answerWrite();
        vm.runToWrite();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), vm.store.writes.at(0).first.compares.at(0).modRevision);
        vm.store.answerWrite();
        CPPUNIT_ASSERT(vm.isRecorded("v2"));
    }

    // A version that this VM has recorded, and begins streams at, is forgotten because of a read from before.
    auto anAnswerOlderThanAWriteIsIgnored() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.recorder.read();
        const auto before = vm.store.range();
        vm.store.answerWrite();
        const auto confirmedAt = vm.confirmedAt();
        vm.store.answerRead(before);
        CPPUNIT_ASSERT(vm.isRecorded("v2") && vm.confirmedAt() == confirmedAt);
        vm.checkNothingIsDue();
    }

    // A version that a later read has shown is forgotten because an earlier one is answered late.
    auto anAnswerOlderThanAnotherReadIsIgnored() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.recorder.read();
        const auto before = vm.store.range();
        vm.clock.advance(VersionRecorder::ReadPatience);
        vm.recorder.read();
        vm.putRecord({{"v1", true}, {"v2", true}});
        vm.store.answerRead(1, vm.store.range());
        CPPUNIT_ASSERT(vm.isRecorded("v2"));
        vm.store.answerRead(before);
        CPPUNIT_ASSERT(vm.isRecorded("v2") && vm.confirmedAt() == vm.now());
        vm.checkNothingIsDue();
    }

    // A write waits for a read whose answer is ignored, and for ever if no caller causes another read.
    auto anOlderAnswerDoesNotHoldUpAWrite() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.recorder.read();
        const auto before = vm.store.range();
        vm.store.answerWrite();
        vm.observe("v3");
        vm.runToRead();
        vm.store.answerRead(before);
        vm.recorder.check();
        vm.runFor(VersionRecorder::RetryDelay);
        if (!vm.store.reads.empty()) {
            vm.store.answerRead();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), vm.store.writes.size());
        vm.checkWrite(8, {{"v1", true}, {"v2", false}, {"v3", false}});
    }

    // While the store is slow to write, each VM sends it the same write again and again, with a read each.
    auto aWriteInFlightIsNotRepeated() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        for (int repeat = 0; repeat < 10; ++repeat) {
            vm.recorder.check();
            vm.runFor(VersionRecorder::ReadPeriod + 2 * VersionRecorder::DelayPerVm);
            while (!vm.store.reads.empty()) {
                vm.store.answerRead();
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), vm.store.writes.size());
        vm.observe("v3");
        vm.store.answerWrite();
        vm.runToWrite();
        vm.checkWrite(8, {{"v1", true}, {"v2", false}, {"v3", false}});
    }

    // A version is never recorded after a call failed, or the calls follow one another without a pause.
    auto failedCallsAreTriedAgainAfterADelay() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.store.failWrite();
        vm.recorder.check();
        vm.runFor(VersionRecorder::RetryDelay - milliseconds(100));
        CPPUNIT_ASSERT(vm.store.reads.empty());
        vm.runFor(milliseconds(110));
        vm.store.answerRead(0, tl::unexpected(StoreError));
        vm.recorder.check();
        vm.runFor(2 * VersionRecorder::RetryDelay - milliseconds(100));
        CPPUNIT_ASSERT(vm.store.reads.empty());
        vm.runFor(milliseconds(110));
        vm.store.answerRead();
        vm.checkWrite(7, {{"v1", true}, {"v2", false}});
    }

    // A version that the store has recorded is written a second time, or never counts as recorded.
    auto aWriteWhoseAnswerIsLostIsFoundByTheNextRead() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.observe("v2");
        vm.runToWrite();
        vm.store.answerWrite(true);
        CPPUNIT_ASSERT(!vm.isRecorded("v2"));
        vm.runFor(VersionRecorder::RetryDelay + milliseconds(10));
        vm.store.answerRead();
        CPPUNIT_ASSERT(vm.isRecorded("v2"));
        vm.checkNothingIsDue();
    }

    // Streams of a version go on at another one, because the store has lost the record of it.
    auto aReturnFromACopyIsDoubtedAndWhatItLostIsWrittenAgain() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.putRecord({{"v1", true}, {"v2", true}});
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.recorder.read();
        vm.store.answerRead();
        const auto confirmedAt = vm.confirmedAt();
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.store.revision = (std::int64_t(1) << StoreHistory::RevisionBits) + 6;
        vm.putRecord({{"v1", true}});
        vm.store.returned();
        vm.store.answerRead();
        CPPUNIT_ASSERT(!vm.completeReads.back() && vm.confirmedAt() == confirmedAt && vm.isRecorded("v2"));
        vm.runToWrite();
        vm.checkWrite(vm.store.revision, {{"v1", true}, {"v2", true}});
        vm.store.answerWrite();
        vm.clock.advance(VersionRecorder::ReturnDoubt - seconds(1));
        vm.recorder.read();
        vm.store.answerRead();
        CPPUNIT_ASSERT(!vm.completeReads.back() && vm.confirmedAt() == confirmedAt);
        vm.clock.advance(seconds(1));
        vm.recorder.read();
        vm.store.answerRead();
        CPPUNIT_ASSERT(vm.completeReads.back() && vm.confirmedAt() == vm.now() && vm.isRecorded("v2"));
    }

    // What the store lost is not written again, because the read at the return is left out.
    auto aReturnFromACopyIsReadAlsoJustAfterARead() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.store.revision = (std::int64_t(1) << StoreHistory::RevisionBits) + 2;
        vm.store.value.reset();
        vm.store.returned();
        CPPUNIT_ASSERT(vm.store.reads.empty());
        vm.runToWrite();
        vm.checkWrite(0, {{"v1", true}});
    }

    // The answer that shows the return is itself taken for complete.
    auto aReturnFromACopyIsNoticedByTheRevision() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}, {"v2", true}});
        const auto confirmedAt = vm.confirmedAt();
        vm.clock.advance(VersionRecorder::ReadPeriod);
        vm.store.revision = (std::int64_t(1) << StoreHistory::RevisionBits) + 2;
        vm.store.value.reset();
        vm.recorder.read();
        vm.store.answerRead();
        CPPUNIT_ASSERT(!vm.completeReads.back() && vm.confirmedAt() == confirmedAt);
        CPPUNIT_ASSERT(vm.isRecorded("v1") && vm.isRecorded("v2"));
        vm.runToWrite();
        vm.checkWrite(0, {{"v1", true}, {"v2", true}});
    }

    // A record that cannot be read counts as one without versions, or stays unreadable for ever.
    auto unreadableRecordsConfirmNothingAndAreReplaced() -> void
    {
        for (const auto *document : {"{", R"({"service":"other","versions":[{"version":"v1","settled":true}]})"}) {
            RecordingVm vm;
            vm.store.put(vm.key, document);
            vm.recorder.start();
            vm.store.answerRead();
            CPPUNIT_ASSERT(vm.completeReads == std::vector<bool>{false} && vm.confirmedAt() == TimePoint() && !vm.isRecorded("v1"));
            vm.observe("v1");
            vm.runToWrite();
            vm.checkWrite(7, {{"v1", false}});
            vm.store.answerWrite();
            CPPUNIT_ASSERT(vm.isRecorded("v1"));
            vm.clock.advance(VersionRecorder::ReadPeriod);
            vm.recorder.read();
            vm.store.answerRead();
            CPPUNIT_ASSERT(vm.completeReads.back() && vm.confirmedAt() == vm.now());
        }
    }

    // Records of services whose versions do not matter fill the store.
    auto servicesWithoutEnginesAreNotRecorded() -> void
    {
        RecordingVm vm;
        vm.recorder.start();
        vm.store.answerRead();
        vm.observe("v1", "plain");
        vm.observe("v1", "unknown");
        vm.checkNothingIsDue();
        vm.context.routeTable = nullptr;
        vm.observe("v1");
        vm.checkNothingIsDue();
    }

    // Callers that return together load the store with a read each.
    auto readsAreBounded() -> void
    {
        RecordingVm vm;
        const auto readAfter = [&vm](Duration time) {
            vm.clock.advance(time);
            vm.recorder.read();
            return vm.store.reads.size();
        };
        vm.recorder.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), readAfter(Duration::zero()));
        vm.store.answerRead();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), readAfter(VersionRecorder::ReadPeriod - milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), readAfter(milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), readAfter(VersionRecorder::ReadPatience - milliseconds(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), readAfter(milliseconds(1)));
        for (int repeat = 0; repeat < 2 * VersionRecorder::MostReads; ++repeat) {
            readAfter(VersionRecorder::ReadPatience);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(VersionRecorder::MostReads), vm.store.reads.size());
        vm.store.answerRead(0, tl::unexpected(StoreError));
        CPPUNIT_ASSERT_EQUAL(std::size_t(VersionRecorder::MostReads), readAfter(Duration::zero()));
    }

    // Streams are refused beside a store that answers, or a VM relies on what it has read long ago.
    auto aStoreThatAnswersNoReadIsSilent() -> void
    {
        RecordingVm vm;
        vm.startWith({{"v1", true}});
        vm.clock.advance(seconds(60));
        CPPUNIT_ASSERT(!vm.recorder.isSilent());
        vm.recorder.read();
        vm.clock.advance(VersionCurrency::MaxAge - milliseconds(1));
        vm.recorder.read();
        CPPUNIT_ASSERT(!vm.recorder.isSilent());
        vm.clock.advance(milliseconds(1));
        CPPUNIT_ASSERT(vm.recorder.isSilent());
        vm.store.answerRead(0, tl::unexpected(StoreError));
        CPPUNIT_ASSERT(vm.recorder.isSilent());
        vm.store.answerRead();
        CPPUNIT_ASSERT(!vm.recorder.isSilent());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionRecorderTest);
