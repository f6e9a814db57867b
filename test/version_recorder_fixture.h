// A VM whose recorder of software versions reads and writes a store that the test scripts.
#pragma once

#include "currantstack/codec.h"
#include "currantstack/decisions/store_history.h"
#include "currantstack/edge/version_record_codec.h"
#include "currantstack/edge/version_recorder.h"

#include "check.h"
#include "documents.h"
#include "protocol.h"

namespace currantstack
{

inline const Error StoreError{ErrorCode::OutcomeUnknown, "call", "store", ""};

/// A store whose calls the test answers, in any order.
class ScriptedRecordStore : public Store
{
public:
    using ReadDone = std::function<void(Result<StoreRange>)>;
    using CommitDone = std::function<void(Result<StoreOutcome>)>;

    auto read(std::string_view /*key*/, bool /*exact*/, ReadDone done) -> void override
    {
        reads.push_back(std::move(done));
    }

    auto readPatiently(std::string_view /*prefix*/, ReadDone /*done*/) -> StoreCallHandle override
    {
        return {};
    }

    auto commit(StoreTransaction transaction, CommitDone done) -> void override
    {
        writes.emplace_back(std::move(transaction), std::move(done));
    }

    auto grantLease(seconds /*ttl*/, std::function<void(Result<std::int64_t>)> /*done*/) -> void override
    { }

    auto renewLease(std::int64_t /*lease*/, std::function<void(Result<bool>)> /*done*/) -> void override
    { }

    auto watch(std::string_view /*prefix*/, std::int64_t /*from*/, WatchHook /*onEvents*/, std::function<void(Error)> /*onEnd*/)
        -> StoreCallHandle override
    {
        return {};
    }

    auto onReturnedFromCopy(std::function<void()> hook) -> void override
    {
        returned = std::move(hook);
    }

    auto range() const -> StoreRange
    {
        return {revision, value ? std::vector<StoreValue>{*value} : std::vector<StoreValue>{}};
    }

    /// Answers the first read that was begun, as of now or as of an earlier time.
    auto answerRead(const std::optional<StoreRange> &shown = {}) -> void
    {
        answerRead(0, shown.value_or(range()));
    }

    auto answerRead(std::size_t index, const Result<StoreRange> &shown) -> void
    {
        CPPUNIT_ASSERT(reads.size() > index);
        const auto done = reads[index];
        reads.erase(reads.begin() + static_cast<std::ptrdiff_t>(index));
        done(shown);
    }

    /// Carries out the first write, and answers it unless the answer is lost.
    auto answerWrite(bool isAnswerLost = false) -> void
    {
        CPPUNIT_ASSERT(!writes.empty());
        const auto [transaction, done] = std::exchange(writes, {writes.begin() + 1, writes.end()}).front();
        const bool applies = transaction.compares.at(0).modRevision == (value ? value->modRevision : 0);
        if (applies) {
            put(transaction.puts.at(0).key, transaction.puts.at(0).value);
        }
        const auto current = applies ? std::vector<StoreValue>{} : range().values;
        done(isAnswerLost ? Result<StoreOutcome>(tl::unexpected(StoreError)) : StoreOutcome{applies, applies ? revision : 0, current});
    }

    auto failWrite() -> void
    {
        CPPUNIT_ASSERT(!writes.empty());
        std::exchange(writes, {writes.begin() + 1, writes.end()}).front().second(tl::unexpected(StoreError));
    }

    auto put(const std::string &key, const std::string &document) -> void
    {
        value = StoreValue{key, document, ++revision};
    }

    std::int64_t revision = 6;
    std::optional<StoreValue> value; // the record of the only service
    std::vector<ReadDone> reads; // not answered
    std::vector<std::pair<StoreTransaction, CommitDone>> writes; // not answered
    std::function<void()> returned;
};

/// A VM that has routes to a service of engines and to a plain one.
struct RecordingVm
{
    RecordingVm()
    {
        RouteTable routes;
        routes.services = {{"llm", "/", 0, EngineSpec()}, {"plain", "/", 0, std::nullopt}};
        context.routeTable = std::make_shared<const RouteTable>(std::move(routes));
        recorder.setReadHandler([this](TimePoint /*bootBegunAt*/, bool isComplete) { completeReads.push_back(isComplete); });
    }

    static auto bootstrapSettings() -> EdgeSettings
    {
        EdgeSettings result;
        result.bootstrap = true;
        return result;
    }

    auto now() const -> TimePoint
    {
        return clock.now();
    }

    /// Runs timers for the time, by which the clock advances too.
    auto runFor(Duration time) -> void
    {
        clock.advance(time);
        loop.after(time, [this]() { loop.stop(); });
        loop.run();
    }

    /// Runs until a record that is due is about to be written: its read is not answered.
    auto runToRead() -> void
    {
        recorder.check();
        runFor(VersionRecorder::ReadPeriod + 2 * VersionRecorder::DelayPerVm);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.reads.size());
        CPPUNIT_ASSERT(store.writes.empty());
    }

    auto runToWrite() -> void
    {
        runToRead();
        store.answerRead();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.writes.size());
    }

    auto checkNothingIsDue() -> void
    {
        recorder.check();
        runFor(VersionRecorder::ReadPeriod + 2 * VersionRecorder::DelayPerVm);
        CPPUNIT_ASSERT(store.reads.empty() && store.writes.empty());
    }

    auto observe(const std::string &version, const std::string &service = "llm") -> void
    {
        context.versions.observe(service, version, now(), now());
    }

    /// Writes as another VM does.
    auto putRecord(const std::vector<RecordedVersion> &versions) -> void
    {
        store.put(key, encodeVersionRecord({"llm", versions}));
    }

    /// Starts with this record in the store.
    auto startWith(const std::vector<RecordedVersion> &versions) -> void
    {
        putRecord(versions);
        recorder.start();
        store.answerRead();
    }

    auto checkWrite(std::int64_t expectedRevision, const std::vector<RecordedVersion> &versions) const -> void
    {
        const auto &transaction = store.writes.at(0).first;
        CPPUNIT_ASSERT(transaction.compares.size() == 1 && transaction.puts.size() == 1);
        CPPUNIT_ASSERT_EQUAL(key, transaction.compares[0].key);
        CPPUNIT_ASSERT_EQUAL(expectedRevision, transaction.compares[0].modRevision);
        CPPUNIT_ASSERT_EQUAL(key, transaction.puts[0].key);
        CPPUNIT_ASSERT_EQUAL(encodeVersionRecord({"llm", versions}), transaction.puts[0].value);
    }

    auto isRecorded(const std::string &version) const -> bool
    {
        return context.versions.recordedSince("llm", version).has_value();
    }

    auto confirmedAt() const -> TimePoint
    {
        return context.versions.currency().currentAt();
    }

    ManualClock clock;
    Loop loop;
    Random random{1};
    EdgeSettings settings = bootstrapSettings();
    HttpClient client{loop};
    platform::PlatformProtocol protocol;
    platform::PlatformCodec codec;
    EventLog log{clock, "vm", [](std::string_view bytes) { return bytes.size(); }};
    Counters counters;
    Latencies latencies;
    MemoryBudget memory{std::size_t(64) << 20};
    EdgeContext context{loop,
                        clock,
                        random,
                        settings,
                        client,
                        protocol,
                        log,
                        counters,
                        latencies,
                        memory,
                        FleetRetryBudget(RetryBound()),
                        PendingQueue(loop, clock),
                        FleetRateLimiter(random),
                        TenantQuotas(random)};
    const std::string key = codec.versionsPrefix() + fingerprintText(hash64("llm"));
    ScriptedRecordStore store;
    bool isListed = true;
    bool allUseRecord = true;
    int listReads = 0;
    std::vector<bool> completeReads;
    VersionRecorder recorder{
        context,
        codec,
        store,
        clock,
        {[this]() { return isListed; }, []() { return std::size_t(1); }, [this]() { return allUseRecord; }, [this]() { ++listReads; }}};
};

} // namespace currantstack
