// Decides whether a run belongs to the process that the engine's entry names. Another process may have the same id and address.
#pragma once

#include "currantstack/decisions/upstream_silence.h"

#include <optional>
#include <string_view>

namespace currantstack
{

/// The process that a report names, or why it names none.
enum class ReportedProcess
{
    Same, // as the entry, or it names no start
    Other,
    Unidentified, // the answer is not an engine's report
    NoAnswer,
};

/// What is known of the process that has begun to answer a request. The reports were asked for after that, so that they come from it or
/// from a later process.
struct RunEvidence
{
    bool namesStart = true; // the entry; otherwise no report can show another process
    EntryState entry = EntryState::Present; // of the process that was chosen
    std::optional<ReportedProcess> report; // the last one
    int reports = 0; // that were asked for
};

enum class RunOwner
{
    Undecided, // a report is to be asked for
    Expected,
    Other,
    Unknown,
};

/// Reports that are asked for before the owner counts as unknown.
inline constexpr int MaxRunReports = 2;

/// Judges whose run it is. The entry was there before the request was sent, so that a later report of the same process proves that no other
/// one has run the request.
auto judgeRunOwner(const RunEvidence &evidence) -> RunOwner;

/// Return the names in logs.
auto name(ReportedProcess process) -> std::string_view;
auto name(RunOwner owner) -> std::string_view;

} // namespace currantstack
