// Named latency histograms and the Prometheus text format.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/histogram.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// Histograms of durations by name.
class Latencies
{
public:
    /// Records one duration. Names carry no unit; `metricsText` appends "_seconds".
    auto record(std::string_view name, Duration value) -> void
    {
        m_histograms[std::string(name)].record(value);
    }

    auto all() const -> const std::map<std::string, Histogram, std::less<>> &
    {
        return m_histograms;
    }

private:
    std::map<std::string, Histogram, std::less<>> m_histograms;
};

/// Returns all counters and quantiles in the Prometheus text format, with the prefix "currantstack_".
auto metricsText(const Counters &counters, const Latencies &latencies) -> std::string;

} // namespace currantstack
