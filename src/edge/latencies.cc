#include "currantstack/edge/latencies.h"

#include <array>
#include <fmt/format.h>

namespace currantstack
{

auto metricsText(const Counters &counters, const Latencies &latencies) -> std::string
{
    constexpr std::array<double, 4> Quantiles = {0.5, 0.9, 0.95, 0.99};
    std::string text;
    auto out = std::back_inserter(text);
    counters.forEach([&out](std::string_view name, std::int64_t value) { fmt::format_to(out, "currantstack_{} {}\n", name, value); });
    for (const auto &[name, histogram] : latencies.all()) {
        for (const auto quantile : Quantiles) {
            fmt::format_to(out, "currantstack_{}_seconds{{quantile=\"{}\"}} {:.6f}\n", name, quantile,
                           toSeconds(histogram.quantile(quantile)));
        }
        fmt::format_to(out, "currantstack_{}_seconds_count {}\n", name, histogram.count());
    }
    return text;
}

} // namespace currantstack
