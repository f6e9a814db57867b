// A bounded record of typed events. The timelines of several processes can be merged in causal order.
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

/// An event with its Lamport timestamp `logical`, which is greater than that of every message received before it.
struct Event
{
    std::int64_t logical = 0;
    std::int64_t wallMs = 0;
    EventKind kind = EventKind::RequestAccepted;
    std::string vm;
    std::string request;
    std::string peer; // name of an engine, service upstream or VM
    std::int64_t revision = 0; // of the configuration
    std::string cause; // why something was refused, retried, moved or hedged
};

/// Selects events that match all fields; empty and zero fields match everything.
struct TimelineFilter
{
    std::string request; // prefix of the request's id
    std::string upstream; // equals the event's peer
    std::int64_t revision = 0;
    std::int64_t sinceMs = 0; // wall time since the Unix epoch
};

/// A ring buffer with the latest events of one process.
class Timeline
{
public:
    Timeline(const Clock &clock, std::string vm, std::size_t capacity);

    auto add(EventKind kind, std::string_view request, std::string_view peer, std::string_view cause = {}, std::int64_t revision = 0)
        -> void;

    /// Advances the Lamport clock to at least the timestamp of a received message.
    auto observe(std::int64_t logical) -> void;

    auto logical() const -> std::int64_t
    {
        return m_logical;
    }

    /// Returns the newest matching events, at most `limit`, oldest first.
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

/// Sorts events of several processes into an order consistent with causality, by Lamport timestamp and then wall time.
auto mergeEvents(std::vector<Json> events) -> std::vector<Json>;

} // namespace currantstack
