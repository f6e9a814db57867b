// Reconstructs the timeline of one request from collected log lines.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Returns a sentence for each log line of the request and for related events of its upstreams and its VM, in order of time. Lines that
/// are not JSON objects are skipped. The timeline is empty if no line names the request.
auto explainRequest(std::istream &lines, std::string_view requestId) -> std::vector<std::string>;

/// Prints the timeline from the log file, or from standard input if the path is empty. Returns false if the timeline is empty.
auto printExplanation(std::string_view requestId, const std::string &path) -> bool;

} // namespace currantstack
