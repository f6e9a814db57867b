#include "currantstack/edge/version_recorder.h"

#include "currantstack/decisions/store_history.h"
#include "currantstack/edge/version_record_codec.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr int MostDoublings = 10; // of the delay after failed calls, without overflow

auto describeVersions(const VersionRecord &record) -> LogFields
{
    auto versions = LogFields::array();
    for (const auto &version : record.versions) {
        versions.push_back({{"software_version", version.version}, {"settled", version.isSettled}});
    }
    return versions;
}

} // namespace

VersionRecorder::VersionRecorder(EdgeContext &context, const StoreCodec &codec, Store &store, const Clock &bootClock, Fleet fleet)
    : m_context(context)
    , m_codec(codec)
    , m_store(store)
    , m_bootClock(bootClock)
    , m_fleet(std::move(fleet))
    , m_timer(context.loop.timer([this]() { act(); }))
    , m_startedAt(context.clock.now())
    , m_absentSince(context.clock.now())
{
    m_store.onReturnedFromCopy([this, alive = m_alive]() {
        if (*alive) {
            onReturnedFromCopy();
            read();
        }
    });
}

auto VersionRecorder::start() -> void
{
    read();
}

auto VersionRecorder::isInDoubt() const -> bool
{
    return m_context.clock.now() < m_doubtUntil;
}

auto VersionRecorder::isSilent() const -> bool
{
    return m_silentSince && m_context.clock.now() - *m_silentSince >= VersionCurrency::MaxAge;
}

auto VersionRecorder::keyOf(std::string_view service) const -> std::string
{
    return m_codec.versionsPrefix() + fingerprintText(hash64(service));
}

auto VersionRecorder::read() -> void
{
    const auto now = m_context.clock.now();
    const bool isUnanswered = m_reads > 0 || m_hasReadFailed;
    const bool isTooSoon = m_readBegunAt && now - *m_readBegunAt < (isUnanswered ? ReadPatience : ReadPeriod);
    if (isTooSoon || m_reads >= MostReads) {
        return;
    }
    ++m_reads;
    m_readBegunAt = now;
    m_silentSince = m_silentSince.value_or(now);
    m_context.counters.at("version_record_reads").add();
    m_store.read(m_codec.versionsPrefix(), false,
                 [this, alive = m_alive, now, bootNow = m_bootClock.now()](const Result<StoreRange> &range) {
                     if (!*alive) {
                         return;
                     }
                     --m_reads;
                     if (range) {
                         onRange(*range, now, bootNow);
                     } else {
                         onFailure("read", range.error());
                     }
                 });
}

auto VersionRecorder::readAgain() -> void
{
    if (!m_readBegunAt || m_context.clock.now() - *m_readBegunAt >= ReadAgainPeriod) {
        read();
    }
}

auto VersionRecorder::onReturnedFromCopy() -> void
{
    m_doubtUntil = m_context.clock.now() + ReturnDoubt;
    m_stored.clear();
    m_revision = 0;
    m_context.log.write("versions", "record_in_doubt", {{"doubt_ms", toMilliseconds(ReturnDoubt)}});
}

auto VersionRecorder::onRange(const StoreRange &range, TimePoint begunAt, TimePoint bootBegunAt) -> void
{
    m_silentSince.reset();
    m_hasReadFailed = false;
    if (m_revision != 0 && !StoreHistory::isSame(m_revision, range.revision)) {
        onReturnedFromCopy();
    }
    if (range.revision < m_revision) { // another read or a write was answered first, and is newer
        m_writesAfterRead = false;
        check();
        return;
    }
    m_revision = range.revision;
    m_hasRead = true;
    std::set<std::string> seen;
    std::vector<VersionRecord> records;
    bool isComplete = !isInDoubt();
    for (const auto &value : range.values) {
        seen.insert(value.key);
        onValue(value);
        const auto &stored = m_stored[value.key];
        if (stored.record) {
            records.push_back(*stored.record);
        }
        isComplete = isComplete && (stored.record || !isOfKnownService(value.key));
    }
    std::erase_if(m_stored, [&seen](const auto &entry) { return !seen.contains(entry.first); });
    m_unreadable.retain(range.values);
    m_context.versions.onRecordRead(records, {begunAt, isComplete, m_fleet.isListed() && m_fleet.allUseRecord()}, m_context.clock.now());
    if (std::exchange(m_writesAfterRead, false)) {
        writeDue();
    }
    check();
    m_onRead(bootBegunAt, isComplete);
}

auto VersionRecorder::onValue(const StoreValue &value) -> void
{
    auto record = decodeVersionRecord(value.value);
    if (record && keyOf(record->service) != value.key) {
        record = fail(ErrorCode::BadInput, "decode version record", "", "the key is not that of the service");
    }
    if (!record) {
        m_stored[value.key] = {std::nullopt, value.modRevision};
        if (m_unreadable.add(value)) {
            m_context.log.write("versions", "record_unreadable",
                                {{"key", excerpt(value.key)}, {"revision", value.modRevision}, {"error", describe(record.error())}});
        }
        return;
    }
    m_unreadable.remove(value.key);
    auto &stored = m_stored[value.key];
    if (stored.revision != value.modRevision) {
        m_context.log.write("versions", "record_changed",
                            {{"service", record->service}, {"versions", describeVersions(*record)}, {"revision", value.modRevision}});
    }
    stored = {std::move(*record), value.modRevision};
}

auto VersionRecorder::isFirstSettled() const -> bool
{
    return m_context.settings.bootstrap && m_hasRead && !isInDoubt() && m_fleet.isListed() && m_fleet.allUseRecord();
}

/// Returns the services that have a record.
auto VersionRecorder::services() const -> std::vector<std::string>
{
    auto result = m_context.versions.services();
    std::erase_if(result, [this](const auto &service) {
        const auto *known = m_context.routeTable ? m_context.routeTable->service(service) : nullptr;
        return known == nullptr || !known->engine;
    });
    return result;
}

auto VersionRecorder::isOfKnownService(std::string_view key) const -> bool
{
    if (!m_context.routeTable) {
        return true;
    }
    const auto &all = m_context.routeTable->services;
    return std::any_of(all.begin(), all.end(), [this, key](const auto &service) { return service.engine && keyOf(service.name) == key; });
}

auto VersionRecorder::isDue() const -> bool
{
    const auto all = services();
    return !dueRecords().empty() || std::any_of(all.begin(), all.end(), [this](const auto &service) {
        return m_context.versions.hasUnrecorded(service, m_context.clock.now());
    });
}

/// Returns the records that the store should have and does not.
auto VersionRecorder::dueRecords() const -> std::vector<VersionRecord>
{
    std::vector<VersionRecord> result;
    for (const auto &service : services()) {
        const auto found = m_stored.find(keyOf(service));
        const bool isReadable = found != m_stored.end() && found->second.record;
        auto planned = m_context.versions.planRecord(service, isReadable ? &*found->second.record : nullptr,
                                                     isFirstSettled() && found == m_stored.end(), m_absentSince, m_context.clock.now());
        if (!planned.versions.empty() && (!isReadable || planned != *found->second.record)) {
            result.push_back(std::move(planned));
        }
    }
    return result;
}

auto VersionRecorder::check() -> void
{
    if (m_context.clock.now() - m_context.upstreamsCurrentAt >= SoftwareVersions::Lifetime) {
        onInterrupted(); // the watch of the entries may be silent
    }
    refresh();
    if (!m_isScheduled && !m_writesAfterRead && m_writes == 0 && isDue()) {
        schedule(Duration::zero());
    }
}

/// Reads the record again while the store does not answer, and while a service is mixed, so that this ends.
auto VersionRecorder::refresh() -> void
{
    const bool isMixed = !m_context.versions.mixedServices().empty();
    const auto age = m_context.clock.now() - m_readBegunAt.value_or(m_startedAt);
    if ((isSilent() && age >= SilentReadPeriod) || (isMixed && age >= MixedReadPeriod)) {
        read();
    }
}

auto VersionRecorder::schedule(Duration delay) -> void
{
    m_isScheduled = true;
    const auto longest = std::min<Duration>(LongestDelay, DelayPerVm * static_cast<int>(m_fleet.vms()));
    m_timer->startOnce(delay + fromMilliseconds(std::uniform_real_distribution<double>(0, toMilliseconds(longest))(m_context.random)));
}

auto VersionRecorder::act() -> void
{
    const bool mayWait = m_context.clock.now() - m_startedAt < LongestListWait;
    if (!m_fleet.isListed() && mayWait) {
        if (!std::exchange(m_isListRequested, true)) {
            m_fleet.readList();
        }
        m_timer->startOnce(ListWaitPeriod);
        return;
    }
    m_isScheduled = false;
    m_writesAfterRead = true;
    read();
    if (m_reads == 0) { // one has just been answered
        m_writesAfterRead = false;
        writeDue();
    }
}

auto VersionRecorder::writeDue() -> void
{
    for (const auto &record : dueRecords()) {
        write(record);
    }
}

auto VersionRecorder::write(const VersionRecord &record) -> void
{
    const auto key = keyOf(record.service);
    const auto stored = m_stored.find(key);
    StoreTransaction transaction;
    transaction.compares.push_back({key, stored == m_stored.end() ? 0 : stored->second.revision});
    transaction.puts.push_back({key, encodeVersionRecord(record), 0});
    ++m_writes;
    m_store.commit(std::move(transaction), [this, alive = m_alive, record, key](const Result<StoreOutcome> &outcome) {
        if (*alive) {
            --m_writes;
            onWritten(record, key, outcome);
        }
    });
}

auto VersionRecorder::onWritten(const VersionRecord &record, const std::string &key, const Result<StoreOutcome> &outcome) -> void
{
    if (!outcome) {
        onFailure("write", outcome.error());
        return;
    }
    m_context.log.write("versions", "record_written",
                        {{"service", record.service},
                         {"versions", describeVersions(record)},
                         {"written", outcome->applied},
                         {"revision", outcome->revision}});
    m_failures = 0;
    if (outcome->applied) {
        m_revision = std::max(m_revision, outcome->revision);
        m_stored[key] = {record, outcome->revision};
        m_context.versions.onRecorded(record, m_context.clock.now());
        m_context.loop.defer([&context = m_context]() { context.pendingQueue.retryHeads(); });
    } else if (outcome->current.empty()) {
        m_stored.erase(key);
        read();
    } else if (outcome->current.front().modRevision >= m_revision) { // another VM was faster
        m_revision = outcome->current.front().modRevision;
        onValue(outcome->current.front());
        if (const auto &stored = m_stored[key]; stored.record) {
            m_context.versions.onReplaced(*stored.record, m_context.clock.now());
        }
    }
    check();
}

auto VersionRecorder::onFailure(std::string_view step, const Error &error) -> void
{
    m_context.log.write("versions", "store_call_failed", {{"step", step}, {"error", describe(error)}});
    m_hasReadFailed = m_hasReadFailed || step == "read";
    if (!m_hasRead || std::exchange(m_writesAfterRead, false) || step == "write") {
        schedule(std::min<Duration>(LongestRetryDelay, RetryDelay * (1 << std::min(m_failures, MostDoublings))));
        ++m_failures;
    }
}

} // namespace currantstack
