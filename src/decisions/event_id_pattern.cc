#include "currantstack/decisions/event_id_pattern.h"

#include <algorithm>

namespace currantstack
{

namespace
{

constexpr std::size_t MaxGapEngines = 2;

/// Adds the engine unless it is known or the list is full.
auto addEngine(std::vector<std::string> &engines, std::string_view engine, std::size_t limit) -> void
{
    if (engines.size() < limit && std::find(engines.begin(), engines.end(), engine) == engines.end()) {
        engines.emplace_back(engine);
    }
}

} // namespace

auto EventIdPattern::onStep(std::string_view engine) -> void
{
    ++m_steps;
    addEngine(m_stepEngines, engine, MinEngines);
    if (m_steps >= MemorySteps) {
        m_steps /= 2;
        m_gaps /= 2;
    }
    if (m_gaps == 0) {
        m_gapEngines.clear();
        m_isConsecutive = !m_hasProvenGap && m_steps >= MinSteps && m_stepEngines.size() >= MinEngines;
    }
}

auto EventIdPattern::onGap(std::string_view engine, const IdGap &gap, const std::optional<IdGap> &earlier) -> GapVerdict
{
    ++m_gaps;
    addEngine(m_gapEngines, engine, MaxGapEngines);
    m_hasProvenGap = m_hasProvenGap || earlier == gap;
    m_isConsecutive = m_isConsecutive && !m_hasProvenGap && m_gaps <= MaxGaps && m_gapEngines.size() < MaxGapEngines;
    return m_isConsecutive ? GapVerdict::BreakOff : GapVerdict::Pass;
}

auto EventIdPattern::onFirst(std::string_view engine, std::int64_t id) -> void
{
    if (id != m_firstId) {
        m_firstId = id;
        m_firsts = 0;
        m_firstEngines.clear();
    }
    m_firsts = std::min(m_firsts + 1, MinFirsts);
    addEngine(m_firstEngines, engine, MinEngines);
}

auto EventIdPattern::gapBeforeFirst(std::int64_t id) const -> std::optional<IdGap>
{
    const bool isLearned = m_isConsecutive && m_firsts >= MinFirsts && m_firstEngines.size() >= MinEngines;
    if (!isLearned || m_firstId < 0 || id <= m_firstId) {
        return std::nullopt;
    }
    return IdGap{m_firstId - 1, id};
}

auto name(GapVerdict verdict) -> std::string_view
{
    return verdict == GapVerdict::Pass ? "passed" : "broken_off";
}

} // namespace currantstack
