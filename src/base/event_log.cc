#include "currantstack/event_log.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace currantstack
{

auto descriptorSink(int descriptor) -> LogSink
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
    return [descriptor](std::string_view bytes) -> std::size_t {
        const auto written = ::write(descriptor, bytes.data(), bytes.size());
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    };
}

EventLog::EventLog(const Clock &clock, std::string vm, LogSink sink)
    : m_clock(clock)
    , m_vm(std::move(vm))
    , m_sink(std::move(sink))
    , m_refilledAt(clock.now())
{ }

auto EventLog::refill() -> void
{
    const auto now = m_clock.now();
    const auto elapsed = toSeconds(now - m_refilledAt);
    m_tokens = std::min(BurstLines, m_tokens + LinesPerSecond * elapsed);
    m_evidenceTokens = std::min(EvidenceBurst, m_evidenceTokens + EvidencePerSecond * elapsed);
    m_refilledAt = now;
}

auto EventLog::admit(bool isEvidence) -> bool
{
    refill();
    if (m_tokens >= 1 && m_pending.size() <= MaxPendingBytes) {
        m_tokens -= 1;
        return true;
    }
    if (isEvidence && m_evidenceTokens >= 1 && m_pending.size() <= MaxPendingBytes + EvidenceBytes) {
        m_evidenceTokens -= 1;
        return true;
    }
    return false;
}

auto EventLog::append(std::string_view component, std::string_view event, const LogFields &fields) -> void
{
    LogFields line = {{"time_ms", epochMilliseconds(m_clock.wall())}, {"vm", m_vm}, {"part", component}, {"event", event}};
    line.update(fields);
    m_pending += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    m_pending += '\n';
}

auto EventLog::write(std::string_view component, std::string_view event, LogFields fields) -> void
{
    writeIf(admit(false), component, event, fields);
}

auto EventLog::writeEvidence(std::string_view component, std::string_view event, LogFields fields) -> void
{
    writeIf(admit(true), component, event, fields);
}

auto EventLog::writeIf(bool isAdmitted, std::string_view component, std::string_view event, const LogFields &fields) -> void
{
    if (!isAdmitted) {
        ++m_dropped;
        return;
    }
    if (m_dropped > m_reportedDropped) {
        append("log", "lines_dropped", {{"count", m_dropped - m_reportedDropped}, {"total", m_dropped}});
        m_reportedDropped = m_dropped;
    }
    append(component, event, fields);
    flush();
}

auto EventLog::flush() -> void
{
    std::size_t offset = 0;
    while (offset < m_pending.size()) {
        const auto written = m_sink(std::string_view(m_pending).substr(offset));
        if (written == 0) {
            break;
        }
        offset += written;
    }
    m_pending.erase(0, offset);
}

} // namespace currantstack
