#include "currantstack/decisions/upstream_directory.h"

#include <algorithm>
#include <utility>

namespace currantstack
{

auto name(EngineRole role) -> std::string_view
{
    switch (role) {
    case EngineRole::None:
        return "none";
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        break;
    }
    return "decode";
}

auto UpstreamDirectory::setRecognizer(Recognizer recognizes) -> void
{
    m_recognizes = std::move(recognizes);
    for (auto &[id, entry] : m_entries) {
        entry.isRecognized = isRecognized(entry.upstream);
    }
}

auto UpstreamDirectory::apply(Upstream upstream, TimePoint writtenAfter) -> UpstreamChange
{
    const bool recognized = isRecognized(upstream);
    const auto [found, isNew] = m_entries.try_emplace(upstream.id);
    auto &entry = found->second;
    const auto previous = std::exchange(entry, Entry{std::move(upstream), recognized, false, {}, writtenAfter});
    if (!isNew && previous.upstream.startedAtMs == entry.upstream.startedAtMs) {
        entry.writtenAfter = std::max(previous.writtenAfter, writtenAfter);
    }
    if (entry.upstream.draining) {
        return !isNew && previous.upstream.draining ? UpstreamChange::None : UpstreamChange::Draining;
    }
    if (isNew || previous.expired || previous.upstream.draining) {
        return UpstreamChange::Joined;
    }
    const bool isSame =
        previous.upstream.startedAtMs == entry.upstream.startedAtMs && previous.upstream.softwareVersion == entry.upstream.softwareVersion;
    return isSame ? UpstreamChange::Updated : UpstreamChange::Restarted;
}

auto UpstreamDirectory::applyFromCopy(Upstream upstream, TimePoint now) -> UpstreamChange
{
    if (const auto known = m_entries.find(upstream.id); known != m_entries.end()) {
        const auto &entry = known->second.upstream;
        upstream.draining = upstream.draining || (entry.draining && entry.startedAtMs == upstream.startedAtMs);
        return apply(std::move(upstream));
    }
    const auto removed = m_removed.find(upstream.id);
    const bool isGone =
        removed != m_removed.end() && removed->second.startedAtMs == upstream.startedAtMs && now - removed->second.at < RemovedLifetime;
    return isGone ? UpstreamChange::None : apply(std::move(upstream));
}

auto UpstreamDirectory::rememberRemoved(const Upstream &upstream, TimePoint now) -> void
{
    std::erase_if(m_removed, [now](const auto &entry) { return now - entry.second.at >= RemovedLifetime; });
    m_removed.insert_or_assign(upstream.id, Removed{upstream.startedAtMs, now});
}

auto UpstreamDirectory::remove(std::string_view id, bool mayHaveExpired, TimePoint now) -> UpstreamChange
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return UpstreamChange::None;
    }
    if (mayHaveExpired && !found->second.upstream.draining) {
        if (!found->second.expired) {
            found->second.expired = true;
            found->second.expiredAt = now;
        }
        return UpstreamChange::None;
    }
    rememberRemoved(found->second.upstream, now);
    m_entries.erase(found);
    return UpstreamChange::Removed;
}

auto UpstreamDirectory::expired(TimePoint now) const -> std::vector<Upstream>
{
    std::vector<Upstream> result;
    for (const auto &[id, entry] : m_entries) {
        if (entry.expired && now - entry.expiredAt >= ExpiryGrace) {
            result.push_back(entry.upstream);
        }
    }
    return result;
}

auto UpstreamDirectory::expire(TimePoint now) -> std::vector<std::string>
{
    std::vector<std::string> removed;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (entry->second.expired && now - entry->second.expiredAt >= ExpiryGrace) {
            removed.push_back(entry->first);
            rememberRemoved(entry->second.upstream, now);
            entry = m_entries.erase(entry);
        } else {
            ++entry;
        }
    }
    return removed;
}

auto UpstreamDirectory::ids() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    result.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        result.push_back(id);
    }
    return result;
}

auto UpstreamDirectory::find(std::string_view id) const -> const Upstream *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.upstream;
}

auto UpstreamDirectory::hasWritten(const Upstream &upstream, TimePoint since) const -> bool
{
    const auto found = m_entries.find(upstream.id);
    return found != m_entries.end() && upstream.startedAtMs != 0 && found->second.upstream.startedAtMs == upstream.startedAtMs
        && found->second.writtenAfter >= since;
}

auto UpstreamDirectory::usable(std::string_view service) const -> std::vector<const Upstream *>
{
    std::map<std::string_view, const Upstream *> newest; // by address
    for (const auto &[id, entry] : m_entries) {
        if (!entry.isRecognized) {
            continue;
        }
        auto &current = newest[entry.upstream.address];
        if (current == nullptr || current->revision < entry.upstream.revision) {
            current = &entry.upstream;
        }
    }
    std::vector<const Upstream *> result;
    for (const auto &[id, entry] : m_entries) {
        const auto &upstream = entry.upstream;
        if (upstream.service != service || upstream.draining) {
            continue;
        }
        const auto found = newest.find(upstream.address);
        const bool isHidden =
            found != newest.end() && found->second != &upstream && (entry.isRecognized || found->second->revision > upstream.revision);
        if (!isHidden) {
            result.push_back(&upstream);
        }
    }
    return result;
}

} // namespace currantstack
