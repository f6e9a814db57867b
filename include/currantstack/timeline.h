// A bounded ring of typed events, merged over all processes into one time line.
#pragma once

#include "currantstack/clock.h"
#include "currantstack/json.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace currantstack
{

enum class EventKind
{
    RequestAccepted,
    RequestRefused,
    SlotRequested,
    SlotGranted,
    SlotRefused,
    PrefillStarted,
    PrefillDone,
    DecodeStarted,
    FirstToken,
    Retried,
    Moved,
    Hedged,
    CancelSent,
    CancelConfirmed,
    RequestDone,
    CallerDisconnected,
    IntentWritten,
    AnswerReplayed,
    VmChanged,
    OwnershipChanged,
    ConfigInForce,
    ConfigSubmitted,
    UpstreamWeightChanged,
    OrderSent,
    Quarantined,
    StoreUnreachable,
    StoreReachable,
};

auto name(EventKind kind) -> std::string_view;

/// One event. The logical time orders events over processes: it is above that of every message received before.
struct Event
{
    std::int64_t logical = 0;
    std::int64_t wallMs = 0;
    EventKind kind = EventKind::RequestAccepted;
    std::string vm;
    std::string request;
    std::string peer; // engine, service upstream or VM
    std::int64_t revision = 0;
    std::string cause; // a short sentence where something was refused, retried, moved or hedged
};

struct TimelineFilter
{
    std::string request;
    std::string upstream;
    std::int64_t revision = 0;
    std::int64_t sinceMs = 0; // wall time
};

/// The ring of one process.
class Timeline
{
public:
    Timeline(const Clock &clock, std::string vm, std::size_t capacity);

    auto add(EventKind kind, std::string_view request, std::string_view peer, std::string_view cause = {}, std::int64_t revision = 0)
        -> void;

    /// Raises the logical time above one that a message carried.
    auto observe(std::int64_t logical) -> void;

    auto logical() const -> std::int64_t
    {
        return m_logical;
    }

    /// Returns the matching events, oldest first, at most `limit` of the newest.
    auto select(const TimelineFilter &filter, std::size_t limit) const -> std::vector<Event>;

private:
    const Clock &m_clock;
    std::string m_vm;
    std::vector<Event> m_ring;
    std::size_t m_capacity;
    std::size_t m_next = 0;
    std::int64_t m_logical = 0;
};

auto toJson(const Event &event) -> Json;

/// Sorts events of several processes into causal order.
auto mergeEvents(std::vector<Json> events) -> std::vector<Json>;

} // namespace currantstack
