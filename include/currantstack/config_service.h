// Configuration management across VMs: submits changes, propagates them and applies the newest revision.
#pragma once

#include "currantstack/announcer.h"

#include <deque>

namespace currantstack
{

/// A request to change the configuration.
struct Submission
{
    std::string id; // chosen by the submitter; identifies a resubmission after a lost reply
    std::int64_t baseRevision = 0; // that the document is based on
    std::string operatorName; // authenticated by the caller of `submit`; empty for the bootstrap token
    Json document;
};

/// The outcome of a submission.
struct SubmissionResult
{
    bool accepted = false;
    std::int64_t revision = 0; // made by the submission if accepted, else the one in the store
    ValidationErrors errors; // in the document, or changes that the operator is not permitted to make
    std::vector<std::string> differing; // on a conflict, the paths at which the document differs from the one in the store
};

/// Applies configurations and holds the one in force. Never applies a lower revision than that.
class ConfigService
{
public:
    using OnChange = std::function<void()>;

    static constexpr std::size_t WatchersPerPlace = 2;
    static constexpr std::size_t MaxRetainedDocuments = 8; // to compute patches for peers with an older revision
    static constexpr Duration PollPeriod = seconds(30); // of the store, besides the watch

    ConfigService(Context &context, Announcer &announcer);

    auto onChange(OnChange hook) -> void;
    auto start() -> void;

    /// Validates the document and commits it to the store by compare-and-swap. After a lost reply the store is read to find out whether
    /// the change took effect.
    auto submit(Submission submission, std::function<void(Result<SubmissionResult>)> done) -> void;

    /// Reads the audit log of accepted changes from the store, as a JSON list with the newest first.
    auto history(std::function<void(Result<Json>)> done) -> void;

    /// Returns the document of the configuration in force.
    auto document() const -> const Json &
    {
        return m_document;
    }

    /// Starts or ends this VM's watch of the store after a change of the live VMs.
    auto updateWatch() -> void;

private:
    struct RetainedDocument
    {
        std::int64_t revision = 0;
        std::string text; // parsed only to compute a patch; the text takes a tenth of the memory
    };

    auto apply(const Json &document, std::string_view source) -> void;
    auto readCurrent() -> void;
    auto watch(std::int64_t fromRevision) -> void;
    auto shouldWatch() const -> bool;
    auto pullFrom(const std::string &vm) -> void;
    auto handlePull(const Json &body, const PeerRouter::Reply &reply) -> void;
    auto applyPull(const std::string &vm, const Json &reply) -> void;
    auto compareAndSwap(Submission submission, const StoreValue &current, std::function<void(Result<SubmissionResult>)> done) -> void;
    auto resolveOutcome(Submission submission, int attempts, std::function<void(Result<SubmissionResult>)> done) -> void;
    auto auditEntry(const Submission &submission, const Json &currentDocument) const -> Json;

    Context &m_context;
    Announcer &m_announcer;
    std::vector<OnChange> m_onChange;
    Json m_document = Json::object();
    std::deque<RetainedDocument> m_retainedDocuments;
    std::unique_ptr<Timer> m_pollTimer;
    StoreCallHandle m_watch;
    bool m_watching = false;
    bool m_pulling = false;
    int m_watchFailures = 0;
};

} // namespace currantstack
