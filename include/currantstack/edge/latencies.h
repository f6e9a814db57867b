// Latency histograms by name, and their text form for collectors.
#pragma once

#include "currantstack/counters.h"
#include "currantstack/histogram.h"

#include <map>
#include <string>
#include <string_view>

namespace currantstack
{

/// Named histograms of durations.
class Latencies
{
public:
    /// Records one duration; names carry no unit, the text form says seconds.
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

/// Returns all numbers in the Prometheus text format; each name begins with "currantstack_".
auto metricsText(const Counters &counters, const Latencies &latencies) -> std::string;

} // namespace currantstack
