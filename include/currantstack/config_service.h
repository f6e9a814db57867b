// The configuration over all VMs: submitting, spreading and keeping what is in force.
#pragma once

#include "currantstack/announcer.h"

#include <deque>

namespace currantstack
{

/// One wish to change the configuration.
struct Submission
{
    std::string id; // chosen by the submitter; settles lost replies
    std::int64_t base = 0; // revision that the document was made from
    std::string operatorName; // checked by the caller of `submit`; empty for the bootstrap token
    Json document;
};

/// What became of a submission.
struct SubmissionResult
{
    bool accepted = false;
    std::int64_t revision = 0; // in force by it, or of the winner
    ValidationErrors errors; // of the document, or of the operator's rights
    std::vector<std::string> differing; // paths that differ from the winner's document
};

/// Keeps the configuration in force. It never goes to a lower revision.
class ConfigService
{
public:
    using OnChange = std::function<void()>;

    static constexpr std::size_t WatchersPerPlace = 2;
    static constexpr std::size_t KeptDocuments = 8; // for differences to peers
    static constexpr Duration RereadPeriod = seconds(30);

    ConfigService(Context &context, Announcer &announcer);

    auto onChange(OnChange hook) -> void;
    auto start() -> void;

    auto submit(Submission submission, std::function<void(Result<SubmissionResult>)> done) -> void;

    /// Reads the trail of accepted changes from the store, newest first, as a JSON list.
    auto history(std::function<void(Result<Json>)> done) -> void;

    auto document() const -> const Json &
    {
        return m_document;
    }

    /// Decides again which VMs hold the store's watch.
    auto reconsider() -> void;

private:
    struct Kept
    {
        std::int64_t revision = 0;
        std::string text; // parsed when a peer needs the difference, which takes a tenth of the memory
    };

    auto apply(const Json &document, std::string_view from) -> void;
    auto read() -> void;
    auto watch(std::int64_t fromRevision) -> void;
    auto isWatcher() const -> bool;
    auto pullFrom(const std::string &vm) -> void;
    auto handlePull(const Json &body, const PeerRouter::Reply &reply) -> void;
    auto takePull(const std::string &vm, const Json &reply) -> void;
    auto compareAndSwap(Submission submission, const StoreValue &current, std::function<void(Result<SubmissionResult>)> done) -> void;
    auto settle(Submission submission, int tries, std::function<void(Result<SubmissionResult>)> done) -> void;
    auto trailEntry(const Submission &submission, const Json &before) const -> Json;

    Context &m_context;
    Announcer &m_announcer;
    std::vector<OnChange> m_onChange;
    Json m_document = Json::object();
    std::deque<Kept> m_kept;
    std::unique_ptr<Timer> m_reread;
    std::function<void()> m_endWatch;
    bool m_watching = false;
    bool m_pulling = false;
    int m_watchFailures = 0;
};

} // namespace currantstack
