#include "currantstack/decisions/load_table.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr char PartSeparator = '#'; // before the number of a further part of a report

} // namespace

auto InFlightWork::operator+=(const InFlightWork &other) -> InFlightWork &
{
    promptTokens += other.promptTokens;
    kvTokens += other.kvTokens;
    requests += other.requests;
    urgentPromptTokens += other.urgentPromptTokens;
    urgentRequests += other.urgentRequests;
    return *this;
}

auto InFlightWork::operator-=(const InFlightWork &other) -> InFlightWork &
{
    promptTokens = std::max(0.0, promptTokens - other.promptTokens);
    kvTokens = std::max(0.0, kvTokens - other.kvTokens);
    requests = std::max(0, requests - other.requests);
    urgentPromptTokens = std::max(0.0, urgentPromptTokens - other.urgentPromptTokens);
    urgentRequests = std::max(0, urgentRequests - other.urgentRequests);
    return *this;
}

auto InFlightWork::isEmpty() const -> bool
{
    return promptTokens <= 0 && kvTokens <= 0 && requests == 0;
}

auto LoadTable::add(std::string_view upstream, const InFlightWork &work) -> void
{
    const auto found = m_local.find(upstream);
    if (found == m_local.end()) {
        m_local.emplace(std::string(upstream), work);
    } else {
        found->second += work;
    }
}

auto LoadTable::remove(std::string_view upstream, const InFlightWork &work) -> void
{
    const auto found = m_local.find(upstream);
    if (found == m_local.end()) {
        return;
    }
    found->second -= work;
    if (found->second.isEmpty()) {
        m_local.erase(found);
    }
}

auto LoadTable::merge(std::string_view source, std::uint64_t sequence, std::span<const UpstreamLoad> loads, TimePoint now) -> void
{
    auto &report = m_reports[std::string(source)];
    if (sequence < report.sequence && now - report.receivedAt < ReportLifetime) {
        return; // delivered out of order
    }
    report.sequence = sequence;
    report.receivedAt = now;
    report.work.clear();
    for (const auto &entry : loads) {
        report.work.emplace(entry.upstream, entry.work);
    }
}

auto LoadTable::total(std::string_view upstream, TimePoint now) const -> InFlightWork
{
    InFlightWork sum;
    if (const auto found = m_local.find(upstream); found != m_local.end()) {
        sum += found->second;
    }
    for (const auto &[source, report] : m_reports) {
        if (now - report.receivedAt >= ReportLifetime) {
            continue;
        }
        if (const auto found = report.work.find(upstream); found != report.work.end()) {
            sum += found->second;
        }
    }
    return sum;
}

auto LoadTable::localReporters(std::string_view upstream, TimePoint now) const -> std::vector<std::string_view>
{
    std::vector<std::string_view> reporters;
    for (const auto &[source, report] : m_reports) {
        const auto found = report.work.find(upstream);
        if (now - report.receivedAt < ReportLifetime && !source.starts_with(AggregatePrefix) && found != report.work.end()
            && found->second.requests > 0) {
            reporters.push_back(std::string_view(source).substr(0, source.find(PartSeparator)));
        }
    }
    return reporters;
}

auto LoadTable::requestsOfPlace(std::string_view place, std::string_view upstream, TimePoint now) const -> int
{
    const auto first = std::string(AggregatePrefix) + std::string(place); // further parts of an aggregate have a suffix
    int requests = 0;
    for (auto entry = m_reports.lower_bound(first); entry != m_reports.end() && entry->first.starts_with(first); ++entry) {
        const auto &[source, report] = *entry;
        const bool isOfPlace = source.size() == first.size() || source[first.size()] == PartSeparator;
        const auto found = report.work.find(upstream);
        if (isOfPlace && now - report.receivedAt < ReportLifetime && found != report.work.end()) {
            requests += found->second.requests;
        }
    }
    return requests;
}

auto LoadTable::own() const -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> loads;
    for (const auto &[upstream, work] : m_local) {
        loads.push_back({upstream, work});
    }
    return loads;
}

auto LoadTable::aggregate(const std::function<bool(std::string_view source)> &accepts, TimePoint now) const -> std::vector<UpstreamLoad>
{
    auto sum = m_local;
    for (const auto &[source, report] : m_reports) {
        if (now - report.receivedAt >= ReportLifetime || !accepts(source)) {
            continue;
        }
        for (const auto &[upstream, work] : report.work) {
            sum[upstream] += work;
        }
    }
    std::vector<UpstreamLoad> loads;
    for (const auto &[upstream, work] : sum) {
        loads.push_back({upstream, work});
    }
    return loads;
}

auto LoadTable::reportingPeers(TimePoint now) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_reports.begin(), m_reports.end(),
                                                  [now](const auto &entry) { return now - entry.second.receivedAt < ReportLifetime; }));
}

} // namespace currantstack
