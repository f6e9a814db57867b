#include "currantstack/decisions/memory_budget.h"

#include <algorithm>

namespace currantstack
{

namespace
{

/// Returns the share of the budget up to which a holder of this use and size may fill it. `isAlone`: no other holds memory for the use.
auto shareOf(MemoryUse use, std::size_t total, bool isAlone) -> double
{
    switch (use) {
    case MemoryUse::Bodies:
        return total <= MemoryBudget::SmallBodyBytes ? MemoryBudget::RequestsShare : MemoryBudget::BodiesShare;
    case MemoryUse::Requests:
    case MemoryUse::Connections:
        return MemoryBudget::RequestsShare;
    case MemoryUse::Answers:
        // One large answer can always go on, so that requests whose bodies fill the memory do not wait for each other.
        return total <= MemoryBudget::SmallBodyBytes || isAlone ? 1 : MemoryBudget::LargeAnswersShare;
    case MemoryUse::Calls:
    case MemoryUse::Backlogs:
    case MemoryUse::Tables:
        break;
    }
    return 1;
}

} // namespace

auto name(MemoryUse use) -> std::string_view
{
    switch (use) {
    case MemoryUse::Connections:
        return "connections";
    case MemoryUse::Requests:
        return "requests";
    case MemoryUse::Bodies:
        return "bodies";
    case MemoryUse::Calls:
        return "calls";
    case MemoryUse::Answers:
        return "answers";
    case MemoryUse::Backlogs:
        return "backlogs";
    case MemoryUse::Tables:
        break;
    }
    return "tables";
}

auto memoryUses() -> std::array<MemoryUse, MemoryUseCount>
{
    return {MemoryUse::Connections, MemoryUse::Requests, MemoryUse::Bodies, MemoryUse::Calls,
            MemoryUse::Answers,     MemoryUse::Backlogs, MemoryUse::Tables};
}

auto MemoryBudget::grant(MemoryUse use) -> MemoryGrant
{
    return {*this, use};
}

auto MemoryBudget::hasRoom(MemoryUse use, std::size_t bytes, std::size_t held) const -> bool
{
    const auto ofBudget = [this](double share) { return static_cast<std::size_t>(share * static_cast<double>(m_bytes)); };
    if (use == MemoryUse::Connections && inUse(use) + bytes > ofBudget(ConnectionsShare)) {
        return false;
    }
    const auto ceiling = ofBudget(shareOf(use, held + bytes, inUse(use) <= held));
    return m_inUse <= ceiling && bytes <= ceiling - m_inUse;
}

auto MemoryBudget::backlogLimit() const -> std::size_t
{
    const auto unused = m_bytes > m_inUse ? m_bytes - m_inUse : 0;
    return std::max(MinBacklog, static_cast<std::size_t>(BacklogShare * static_cast<double>(unused)));
}

auto MemoryBudget::change(MemoryUse use, std::size_t from, std::size_t to) -> void
{
    m_inUse = m_inUse - from + to;
    auto &inUseBy = m_inUseBy.at(static_cast<std::size_t>(use));
    inUseBy = inUseBy - from + to;
}

auto MemoryGrant::tryResize(std::size_t bytes) -> bool
{
    if (m_budget != nullptr && bytes > m_bytes && !m_budget->hasRoom(m_use, bytes - m_bytes, m_bytes)) {
        return false;
    }
    set(bytes);
    return true;
}

auto MemoryGrant::set(std::size_t bytes) -> void
{
    if (m_budget != nullptr) {
        m_budget->change(m_use, m_bytes, bytes);
        m_bytes = bytes;
    }
}

auto MemoryGrant::tryGrow(std::string &text, std::size_t size, std::size_t limit) -> bool
{
    if (size <= text.capacity()) {
        return true;
    }
    const auto capacity = std::max(size, std::min(2 * text.capacity(), limit));
    if (!tryResize(m_bytes + capacity)) {
        return false;
    }
    std::string grown; // `reserve` of a text that has a buffer may allocate more than it is asked for
    grown.reserve(capacity);
    grown.append(text);
    text.swap(grown);
    set(capacity);
    return true;
}

} // namespace currantstack
