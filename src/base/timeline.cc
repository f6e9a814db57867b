#include "currantstack/timeline.h"

#include <algorithm>
#include <array>

namespace currantstack
{

namespace
{

constexpr std::array<std::string_view, 27> KindNames = {
    "request taken",    "request refused",   "slot asked",     "slot granted",    "slot refused", "prefill started",   "prefill done",
    "decode started",   "first token",       "retried",        "moved",           "hedged",       "cancel sent",       "cancel confirmed",
    "request done",     "caller gone",       "intent written", "answer replayed", "vm changed",   "ownership changed", "config in force",
    "config submitted", "upstream weighted", "order sent",     "quarantined",     "store away",   "store back"};

auto matches(const Event &event, const TimelineFilter &filter) -> bool
{
    if (!filter.request.empty() && !event.request.starts_with(filter.request)) {
        return false;
    }
    if (!filter.upstream.empty() && event.peer != filter.upstream) {
        return false;
    }
    if (filter.revision != 0 && event.revision != filter.revision) {
        return false;
    }
    return event.wallMs >= filter.sinceMs;
}

} // namespace

auto name(EventKind kind) -> std::string_view
{
    return KindNames[static_cast<std::size_t>(kind)];
}

Timeline::Timeline(const Clock &clock, std::string vm, std::size_t capacity)
    : m_clock(clock)
    , m_vm(std::move(vm))
    , m_capacity(std::max<std::size_t>(capacity, 1))
{ }

auto Timeline::add(EventKind kind, std::string_view request, std::string_view peer, std::string_view cause, std::int64_t revision) -> void
{
    if (m_ring.size() < m_capacity) {
        m_ring.emplace_back();
        m_next = m_ring.size() - 1;
    }
    auto &event = m_ring[m_next];
    event.logical = ++m_logical;
    event.wallMs = epochMilliseconds(m_clock.wall());
    event.kind = kind;
    event.request.assign(request);
    event.peer.assign(peer);
    event.cause.assign(cause);
    event.revision = revision;
    m_next = (m_next + 1) % m_capacity;
}

auto Timeline::observe(std::int64_t logical) -> void
{
    m_logical = std::max(m_logical, logical);
}

auto Timeline::select(const TimelineFilter &filter, std::size_t limit) const -> std::vector<Event>
{
    std::vector<Event> selected;
    for (const auto &event : m_ring) {
        if (matches(event, filter)) {
            selected.push_back(event);
            selected.back().vm = m_vm;
        }
    }
    std::sort(selected.begin(), selected.end(), [](const Event &left, const Event &right) { return left.logical < right.logical; });
    if (selected.size() > limit) {
        selected.erase(selected.begin(), selected.end() - static_cast<std::ptrdiff_t>(limit));
    }
    return selected;
}

auto toJson(const Event &event) -> Json
{
    Json value = {{"logical", event.logical}, {"wall_ms", event.wallMs}, {"kind", name(event.kind)}, {"vm", event.vm}};
    if (!event.request.empty()) {
        value["request"] = event.request;
    }
    if (!event.peer.empty()) {
        value["peer"] = event.peer;
    }
    if (!event.cause.empty()) {
        value["cause"] = event.cause;
    }
    if (event.revision != 0) {
        value["revision"] = event.revision;
    }
    return value;
}

auto mergeEvents(std::vector<Json> events) -> std::vector<Json>
{
    std::sort(events.begin(), events.end(), [](const Json &left, const Json &right) {
        const auto leftTime = left.value("logical", std::int64_t{0});
        const auto rightTime = right.value("logical", std::int64_t{0});
        if (leftTime != rightTime) {
            return leftTime < rightTime;
        }
        return left.value("wall_ms", std::int64_t{0}) < right.value("wall_ms", std::int64_t{0});
    });
    return events;
}

} // namespace currantstack
