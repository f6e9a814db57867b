// Keeps the store's record of the software versions that streams can have begun at, and reads it when a stream is continued.
#pragma once

#include "currantstack/edge/context.h"
#include "currantstack/edge/unreadable_entries.h"

namespace currantstack
{

/// Writes each version of a service of engines into the record before streams begin there, and marks it as settled later. The record is
/// read at the start, when a version becomes known, and on demand; it is not watched, because few streams are continued.
class VersionRecorder
{
public:
    /// VMs that learn of a version together act after a random part of this time for each VM, so that few of them write.
    static constexpr Duration DelayPerVm = milliseconds(5);
    static constexpr Duration LongestDelay = milliseconds(1500);
    static constexpr Duration RetryDelay = milliseconds(300); // after a call to the store failed, at first
    static constexpr Duration LongestRetryDelay = seconds(3);
    static constexpr Duration ReadPeriod = milliseconds(50); // between reads, however many streams ask for them
    static constexpr Duration ReadPatience = milliseconds(300); // until a read is repeated beside the ones in flight
    static constexpr int MostReads = 4; // in flight
    static constexpr Duration ReadAgainPeriod = milliseconds(500); // between reads that no caller waits for
    static constexpr Duration SilentReadPeriod = seconds(1); // between reads while the store does not answer
    /// Between reads while a service is mixed, by which VMs learn that another one has dropped a version.
    static constexpr Duration MixedReadPeriod = seconds(30);
    /// In which all VMs have written again what the store lost when it returned from an older copy.
    static constexpr Duration ReturnDoubt = seconds(6);
    /// A VM that has just started reads the list of VMs before it writes the first record of a service.
    static constexpr Duration LongestListWait = milliseconds(400);
    static constexpr Duration ListWaitPeriod = milliseconds(20);

    /// Access to the other VMs.
    struct Fleet
    {
        std::function<bool()> isListed; // the list of VMs has been read
        std::function<std::size_t()> vms; // their number, this one included
        std::function<bool()> allUseRecord; // none is of an earlier build, which does not read the record
        std::function<void()> readList;
    };

    /// Receives, after a read, when it was begun on the boot clock, and whether it shows all versions that streams can have begun at.
    using ReadHandler = std::function<void(TimePoint bootBegunAt, bool isComplete)>;

    /// `bootClock` also advances while the process or its machine is suspended.
    VersionRecorder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock, Fleet fleet);

    auto start() -> void;

    auto setReadHandler(ReadHandler handler) -> void
    {
        m_onRead = std::move(handler);
    }

    /// Reads the record, unless a read has just begun.
    auto read() -> void;

    /// Reads the record, unless a read has begun lately.
    auto readAgain() -> void;

    /// Writes what the record lacks, after a random delay. To be called periodically, and when a version becomes known.
    auto check() -> void;

    /// Records that this VM may have missed entries of upstreams.
    auto onInterrupted() -> void
    {
        m_absentSince = m_context.clock.now();
    }

    /// Returns whether the store has returned from an older copy, so that the record may lack what other VMs have not written again.
    auto isInDoubt() const -> bool;

    /// Returns whether the store has left reads unanswered for so long that this VM may have missed a version.
    auto isSilent() const -> bool;

private:
    struct Stored
    {
        std::optional<VersionRecord> record; // none: it cannot be read
        std::int64_t revision = 0;
    };

    auto onRange(const StoreRange &range, TimePoint begunAt, TimePoint bootBegunAt) -> void;
    auto onReturnedFromCopy() -> void;
    auto onValue(const StoreValue &value) -> void;
    auto services() const -> std::vector<std::string>;
    auto isOfKnownService(std::string_view key) const -> bool;
    auto isDue() const -> bool;
    auto dueRecords() const -> std::vector<VersionRecord>;
    auto isFirstSettled() const -> bool;
    auto refresh() -> void;
    auto schedule(Duration delay) -> void;
    auto act() -> void;
    auto writeDue() -> void;
    auto write(const VersionRecord &record) -> void;
    auto onWritten(const VersionRecord &record, const std::string &key, const Result<StoreOutcome> &outcome) -> void;
    auto keyOf(std::string_view service) const -> std::string;
    auto onFailure(std::string_view step, const Error &error) -> void;

    EdgeContext &m_context;
    const StoreCodec &m_codec;
    Store &m_store;
    const Clock &m_bootClock;
    Fleet m_fleet;
    ReadHandler m_onRead = [](TimePoint /*bootBegunAt*/, bool /*isComplete*/) {};
    std::unique_ptr<Timer> m_timer;
    bool m_isScheduled = false;
    bool m_isListRequested = false; // of VMs
    bool m_writesAfterRead = false;
    std::map<std::string, Stored, std::less<>> m_stored; // by key
    UnreadableEntries m_unreadable;
    std::int64_t m_revision = 0; // of the store, the highest that a read or a write has shown
    bool m_hasRead = false;
    int m_reads = 0; // in flight
    int m_writes = 0; // in flight
    int m_failures = 0; // of attempts to write, in a row
    bool m_hasReadFailed = false; // the last read that was answered
    std::optional<TimePoint> m_readBegunAt; // of the last one
    std::optional<TimePoint> m_silentSince; // when the first read that was not answered began
    TimePoint m_doubtUntil;
    TimePoint m_startedAt;
    TimePoint m_absentSince; // all entries of upstreams have been seen
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace currantstack
