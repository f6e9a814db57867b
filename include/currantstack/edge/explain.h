// Tells the story of one request from collected log lines.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

/// Returns a sentence for each log line of the request, in the order of time, followed by what its engines and VMs met meanwhile.
/// Lines that are no JSON are passed over. The story is empty where no line names the request.
auto explainRequest(std::istream &lines, std::string_view requestId) -> std::vector<std::string>;

/// Prints the story from the log file, or from standard input where the path is empty. Returns whether there was one.
auto printExplanation(std::string_view requestId, const std::string &path) -> bool;

} // namespace currantstack
