// Shares between VMs which software version began each stream.
#pragma once

#include "currantstack/decisions/knowledge_gap.h"
#include "currantstack/edge/load_exchange.h"
#include "currantstack/edge/origin_message.h"
#include "currantstack/edge/version_recorder.h"

#include <deque>
#include <set>
#include <span>
#include <unordered_map>

namespace currantstack
{

/// Tells the origin of each stream to a few VMs that follow from a hash of the stream, and asks these when a caller comes back. In a large
/// fleet, nothing is told while each service has one software version and the store answers, as the store's record then shows that the
/// origin does not matter; when that changes, each VM tells the origins of the streams that it has relayed lately.
class OriginController
{
public:
    static constexpr std::size_t Copies = 3; // VMs that are told of a stream, beside the one that relays it
    /// VMs of a large fleet that are asked: more than hold copies, as the VMs known to the teller and to the asker may differ by a few. In
    /// a small one all are, and so the one that relayed the stream.
    static constexpr std::size_t AskedVms = 5;
    static constexpr Duration AskPeriod = milliseconds(100); // over twice the way between regions
    static constexpr int MaxAsks = 3;
    /// While this VM may have missed versions, it waits for longer for peers and for the store.
    static constexpr int MaxAsksIfOutdated = 8;
    /// A VM that has just started reads the list of VMs before it asks them.
    static constexpr Duration ListWaitPeriod = milliseconds(20);
    static constexpr int MaxListWaits = 20;
    static constexpr Duration CheckPeriod = milliseconds(100); // well under `KnowledgeGap::SuspensionTime`
    static constexpr Duration RefreshPeriod = seconds(1);
    /// Answers to earlier questions are too old to show anything.
    static constexpr Duration QuestionLifetime = VersionCurrency::MaxAge;
    /// Streams that began earlier have ended when a second version appears.
    static constexpr Duration ToldAge = seconds(20);

    /// `bootClock` also advances while the process or its machine is suspended; `readVms` reads the store's list of VMs.
    OriginController(EdgeContext &context, LoadExchange &exchange, VersionRecorder &recorder, const Clock &bootClock,
                     std::function<void()> readVms);

    auto start() -> void;

private:
    struct Inquiry
    {
        std::vector<OriginFound> callbacks;
        std::unique_ptr<Timer> timer;
        TimePoint begunAt;
        int listWaits = 0;
        int asks = 0;
        std::size_t asked = 0; // VMs
        std::set<std::string> unaware; // VMs that do not know the stream

        /// Returns whether no VM that can be asked knows the stream.
        auto isUnknown() const -> bool
        {
            return asks > 0 && unaware.size() >= asked;
        }
    };

    /// A question for all versions that another VM may answer.
    struct Question
    {
        std::uint32_t number = 0;
        TimePoint askedAt;
        TimePoint bootAskedAt; // on the boot clock
    };

    auto announce(std::string_view firstAttemptId, std::string_view service, SoftwareVersionKey version) -> void;
    auto find(std::string_view firstAttemptId, OriginFound callback) -> void;
    auto ask(Fingerprint stream) -> void;
    auto resolve(Fingerprint stream, std::optional<StreamOrigin> origin) -> void;
    auto onDatagram(std::string_view bytes, const SocketAddress &from) -> void;
    auto onTold(const StreamsOfVersion &row, const SocketAddress &from) -> void;
    auto onReport(const VersionReport &report, const SocketAddress &from) -> void;
    auto askForAllVersions() -> std::uint32_t;
    auto logLearned(const LearnedVersion &version) -> void;
    auto endSettledInquiries() -> void;
    auto onRecordRead(TimePoint bootBegunAt, bool isComplete) -> void;
    auto mayMissVersions() const -> bool;
    auto mayMissUpstreams() const -> bool;
    auto readRecordIfOutdated() -> void;
    auto askedVms() const -> std::size_t;
    auto isStoreSilent() const -> bool;
    auto versionsFor(const OriginMessage &question) const -> std::vector<SoftwareVersionNotice>;
    auto answer(const OriginMessage &question, const SocketAddress &from) -> void;
    auto check() -> void;
    auto logCurrency(TimePoint now) -> void;
    auto refreshVersions(TimePoint now) -> void;
    auto tellRelayedStreams(TimePoint now) -> void;

    EdgeContext &m_context;
    LoadExchange &m_exchange;
    VersionRecorder &m_recorder;
    const Clock &m_bootClock;
    std::function<void()> m_readVms;
    KnowledgeGap m_gap;
    std::optional<TimePoint> m_outdatedSince; // as last logged
    std::unique_ptr<Timer> m_timer;
    TimePoint m_refreshedAt;
    std::vector<std::string> m_mixedServices; // at the last check
    bool m_wasSilent = false; // at the last check, the store did not answer
    std::unordered_map<Fingerprint, Inquiry> m_inquiries;
    std::deque<Question> m_questions; // that were asked within `QuestionLifetime`
    std::uint32_t m_nextQuestion; // begins at random, so that no answer to the process before counts
};

} // namespace currantstack
