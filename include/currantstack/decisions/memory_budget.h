// Bounds the memory that a process holds for its requests.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace currantstack
{

/// What memory is held for.
enum class MemoryUse : std::uint8_t
{
    Connections, // buffers of the callers' connections
    Requests, // state of requests from their head to their end, whether they wait or are forwarded
    Bodies, // of requests
    Calls, // buffers of calls to upstreams
    Answers, // collected before they are sent
    Backlogs, // of streams: events that their callers have not read
    Tables, // routes and other configuration
};

inline constexpr std::size_t MemoryUseCount = 7;

/// Returns the name of the use in logs and metrics.
auto name(MemoryUse use) -> std::string_view;

/// Returns all uses.
auto memoryUses() -> std::array<MemoryUse, MemoryUseCount>;

class MemoryGrant;

/// The budget of one process. New requests get only a part of it, so that those which are accepted can go on. It must outlive its grants.
class MemoryBudget
{
public:
    static constexpr std::size_t MinMemory = 40U << 20; // bytes; smallest memory of a process that leaves room for a body of 4 MB
    static constexpr std::size_t MaxMemory = std::size_t(1) << 40; // bytes
    static constexpr std::size_t ProcessBytes = 24U << 20; // memory of a process without requests
    static constexpr double HeapShare = 0.85; // of a process's memory; the rest is overhead of the allocator and of sockets
    /// Shares of the budget up to which new requests with small bodies, and larger bodies, may fill it.
    static constexpr double RequestsShare = 0.9;
    static constexpr std::size_t SmallBodyBytes = 64U << 10;
    static constexpr double BodiesShare = 0.75;
    /// Share of the free budget that one backlog may take. All backlogs together never exhaust the budget, however many there are.
    static constexpr double BacklogShare = 0.25;
    static constexpr std::size_t MinBacklog = 16U << 10; // bytes that a backlog may always take, as a part of `RequestBytes`
    static constexpr std::size_t RequestBytes = 48U << 10; // of one request in flight, without its body
    static constexpr std::size_t ConnectionBytes = 8U << 10; // of one connection, without its buffer
    static constexpr std::size_t ConnectionBufferBytes = 48U << 10; // holds a head of 16 KiB with 500 fields
    static constexpr double ConnectionsShare = 0.6; // that connections may fill
    /// Share of the budget up to which large answers may fill it beside others, so that requests with small bodies are still accepted.
    static constexpr double LargeAnswersShare = 0.8;

    /// Returns the budget of a process that may use `memory` bytes.
    static auto budgetOf(std::size_t memory) -> std::size_t
    {
        const auto heap = static_cast<std::size_t>(HeapShare * static_cast<double>(memory));
        return heap > ProcessBytes ? heap - ProcessBytes : 0;
    }

    explicit MemoryBudget(std::size_t bytes)
        : m_bytes(bytes)
    { }

    MemoryBudget(const MemoryBudget &) = delete;
    auto operator=(const MemoryBudget &) -> MemoryBudget & = delete;

    /// Returns an empty grant for the use.
    auto grant(MemoryUse use) -> MemoryGrant;

    /// Returns whether one holder, which has `held` bytes of the use, may take this many more.
    auto hasRoom(MemoryUse use, std::size_t bytes, std::size_t held) const -> bool;

    /// Returns the most bytes of events that may wait for one caller.
    auto backlogLimit() const -> std::size_t;

    auto bytes() const -> std::size_t
    {
        return m_bytes;
    }

    auto inUse() const -> std::size_t
    {
        return m_inUse;
    }

    auto inUse(MemoryUse use) const -> std::size_t
    {
        return m_inUseBy.at(static_cast<std::size_t>(use));
    }

private:
    friend class MemoryGrant;

    auto change(MemoryUse use, std::size_t from, std::size_t to) -> void;

    std::size_t m_bytes;
    std::size_t m_inUse = 0;
    std::array<std::size_t, MemoryUseCount> m_inUseBy{};
};

/// Bytes of a budget, which get them back when the grant ends. A default-constructed grant belongs to no budget and has no limit.
class MemoryGrant
{
public:
    MemoryGrant() = default;

    MemoryGrant(MemoryBudget &budget, MemoryUse use)
        : m_budget(&budget)
        , m_use(use)
    { }

    MemoryGrant(MemoryGrant &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_use(other.m_use)
        , m_bytes(std::exchange(other.m_bytes, 0))
    { }

    auto operator=(MemoryGrant &&other) noexcept -> MemoryGrant &
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_use, other.m_use);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }

    MemoryGrant(const MemoryGrant &) = delete;
    auto operator=(const MemoryGrant &) -> MemoryGrant & = delete;

    ~MemoryGrant()
    {
        set(0);
    }

    auto bytes() const -> std::size_t
    {
        return m_bytes;
    }

    /// Returns the most bytes of events that may wait for one caller.
    auto backlogLimit() const -> std::size_t
    {
        return m_budget == nullptr ? std::numeric_limits<std::size_t>::max() : m_budget->backlogLimit();
    }

    /// Changes the size. Returns false and changes nothing if the budget has no room for the growth.
    auto tryResize(std::size_t bytes) -> bool;

    /// Changes the size without asking for room, for memory that is already held or cannot be refused.
    auto set(std::size_t bytes) -> void;

    /// Gives the text the capacity for `size` bytes, and doubles it at least if it grows, up to `limit`. Accounts the copy while the text
    /// moves. Returns false and changes nothing if the budget has no room.
    auto tryGrow(std::string &text, std::size_t size, std::size_t limit) -> bool;

private:
    MemoryBudget *m_budget = nullptr;
    MemoryUse m_use = MemoryUse::Requests;
    std::size_t m_bytes = 0;
};

/// Memory that a request needs and does not get.
struct MemoryShortage
{
    MemoryUse use = MemoryUse::Bodies;
    std::size_t needed = 0; // bytes
};

} // namespace currantstack
