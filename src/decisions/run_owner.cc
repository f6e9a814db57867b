#include "currantstack/decisions/run_owner.h"

namespace currantstack
{

auto judgeRunOwner(const RunEvidence &evidence) -> RunOwner
{
    if (!evidence.namesStart || evidence.report == ReportedProcess::Same) {
        return RunOwner::Expected;
    }
    if (evidence.report == ReportedProcess::Other || evidence.entry == EntryState::Replaced) {
        return RunOwner::Other;
    }
    return evidence.reports < MaxRunReports ? RunOwner::Undecided : RunOwner::Unknown;
}

auto name(ReportedProcess process) -> std::string_view
{
    switch (process) {
    case ReportedProcess::Same:
        return "same";
    case ReportedProcess::Other:
        return "other";
    case ReportedProcess::Unidentified:
        return "unidentified";
    case ReportedProcess::NoAnswer:
        break;
    }
    return "no_answer";
}

auto name(RunOwner owner) -> std::string_view
{
    switch (owner) {
    case RunOwner::Undecided:
        return "undecided";
    case RunOwner::Expected:
        return "expected";
    case RunOwner::Other:
        return "other";
    case RunOwner::Unknown:
        break;
    }
    return "unknown";
}

} // namespace currantstack
